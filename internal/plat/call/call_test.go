package call

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// A proxy or a newer version of the platform answers a write with status 200 and a
// body that cannot be decoded. The write took effect; if it counted as failed,
// another VM would repeat it: a key with two owners, or a submission that runs twice.
func TestAnUnreadableAnswerToAWriteIsInDoubt(t *testing.T) {
	for name, body := range map[string]string{
		"empty": "", "cut short": `{"version":`, "another form": `{"version":{"major":1}}`, "a page": "<html>", "a list": "[]",
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer srv.Close()
			var out struct {
				Version uint64 `json:"version"`
			}
			var c Client
			for _, method := range []string{http.MethodPut, http.MethodPost, http.MethodDelete} {
				assert.Equal(t, kinds.Of(c.Do(t.Context(), method, srv.URL, []byte("x"), &out)), kinds.Ambiguous, method)
			}
			assert.Equal(t, kinds.Of(c.Do(t.Context(), http.MethodGet, srv.URL, nil, &out)), kinds.Malformed)
		})
	}
}

// A load balancer in front of the platform answers with a redirect. If the client
// followed it, a write would become a read whose status 200 looks like success.
func TestARedirectIsNoAnswer(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		var reads atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/there" {
				reads.Add(1)
				_, _ = io.WriteString(w, `{"version":7}`)
				return
			}
			http.Redirect(w, r, "/there", status)
		}))
		var out struct{ Version uint64 }
		var c Client
		for _, method := range []string{http.MethodPut, http.MethodGet} {
			err := c.Do(t.Context(), method, srv.URL+"/here", []byte("x"), &out)
			assert.Equal(t, kinds.Of(err), kinds.Malformed, "%d", status)
			assert.Assert(t, strings.Contains(err.Error(), "30"), "%v", err)
		}
		assert.Equal(t, reads.Load(), int64(0))
		assert.Equal(t, out.Version, uint64(0))
		srv.Close()
	}
}

// Guards against a write that counts as not done after a status that says nothing.
func TestAWriteWithoutAUsableStatusIsAmbiguous(t *testing.T) {
	for _, status := range []int{0, 99, 101, 201, 204, 600} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %03d Any\r\nConnection: Upgrade\r\nUpgrade: any\r\n\r\n", status)
		}))
		var c Client
		assert.Equal(t, kinds.Of(c.Do(t.Context(), http.MethodPut, srv.URL, []byte("x"), nil)), kinds.Ambiguous, "%d", status)
		assert.Equal(t, kinds.Of(c.Do(t.Context(), http.MethodGet, srv.URL, nil, nil)), kinds.Unavailable, "%d", status)
		srv.Close()
	}
}

// A status of a write that does not prove that nothing was done must not be taken
// for a definite failure.
func TestStatusKindsOfReadsAndWrites(t *testing.T) {
	for status, want := range map[int]kinds.Kind{
		400: kinds.Malformed, 404: kinds.NotFound, 409: kinds.Conflict, 410: kinds.NotFound, 413: kinds.TooLarge, 429: kinds.Unavailable,
		500: kinds.Ambiguous, 502: kinds.Ambiguous, 503: kinds.Unavailable, 504: kinds.Ambiguous,
	} {
		assert.Equal(t, kindOfStatus(status, http.MethodPut), want, "%d", status)
		if status >= 500 {
			assert.Equal(t, kindOfStatus(status, http.MethodGet), kinds.Unavailable, "%d", status)
		}
	}
}

// Guards against a message without a known end, or with malformed fields, that is taken for an answer to a call.
func TestACallTakesOnlyWholeAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\n\r\n{}",
		"malformed header":  "HTTP/1.1 200 OK\r\nX Sum: 5\r\nContent-Length: 2\r\n\r\n{}",
		"malformed trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 5\r\n\r\n",
		"another version":   "HTTP/7.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, answer)
				_ = c.Close()
			}
		}))
		var c Client
		assert.Equal(t, kinds.Of(c.Do(t.Context(), http.MethodPut, srv.URL, []byte("x"), nil)), kinds.Ambiguous, name)
		assert.Equal(t, kinds.Of(c.Do(t.Context(), http.MethodGet, srv.URL, nil, nil)), kinds.Unavailable, name)
		srv.Close()
	}
}
