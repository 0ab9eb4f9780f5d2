package call

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Something between us and the platform, or a newer version of it, answers a
// write with 200 and with bytes that nobody here can read. The write was done.
// Counted as a failure it would be made again by somebody else: a key with two
// owners, or a submission that runs twice.
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

// A balancer in front of the platform answers with a redirect. Followed, the
// write would become a read, and the read's 200 the write's success.
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

// Every status has a kind, and only those that say that nothing was done say so
// for a write.
func TestOnlyARefusalProvesThatAWriteDidNothing(t *testing.T) {
	for status, want := range map[int]kinds.Kind{
		400: kinds.Malformed, 404: kinds.NotFound, 409: kinds.Conflict, 410: kinds.NotFound, 413: kinds.TooLarge, 429: kinds.Unavailable,
		500: kinds.Ambiguous, 502: kinds.Ambiguous, 503: kinds.Unavailable, 504: kinds.Ambiguous,
	} {
		assert.Equal(t, kindOf(status, http.MethodPut), want, "%d", status)
		if status >= 500 {
			assert.Equal(t, kindOf(status, http.MethodGet), kinds.Unavailable, "%d", status)
		}
	}
}
