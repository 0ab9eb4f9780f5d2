package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// endlessLimit is the longest body that a relay of these tests takes, and endlessSlack what
// may be in buffers when it gives up.
const (
	endlessLimit = 1 << 20
	endlessSlack = 256 << 10
	// endlessTimeout is the deadline of the requests, by which none may need to end.
	endlessTimeout = 20 * time.Second
)

// Guards against bytes without end that are taken for an answer for as long as they come.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nHawthorn-Id: r1\r\n"
	chunk := "400\r\n" + strings.Repeat("x", 1024) + "\r\n"
	for name, tc := range map[string]struct{ begin, repeat string }{
		"status line":     {"", "HTTP"},
		"no protocol":     {"", "\x00\xff\x17"},
		"header line":     {ok + "X-Long: ", "x"},
		"headers":         {ok, "X-More: 1\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"chunks":          {ok + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"chunk size":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"tiny chunks":     {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 40) + "\r\nx\r\n"},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
		"until closed":    {ok + "Connection: close\r\n\r\n", "x"},
		"huge length":     {ok + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent int
			ended := make(chan struct{})
			r, _ := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool {
				defer close(ended)
				block := tc.begin + strings.Repeat(tc.repeat, 1+8192/len(tc.repeat))
				for {
					n, err := io.WriteString(w, block)
					sent += n
					if err != nil {
						return false
					}
					block = strings.Repeat(tc.repeat, 1+8192/len(tc.repeat))
				}
			})
			r.cfg.Body, r.cfg.Headers.CloseDelimited = endlessLimit, true
			start := time.Now()
			got, err := sendAndCopy(t, r)
			assert.Assert(t, time.Since(start) < endlessTimeout/2, "only its deadline ended it")
			assert.Assert(t, err != nil, "it never ended")
			assert.Assert(t, kinds.Of(err).Answer().Ran != kinds.RanNo, "%v", err)
			assert.Assert(t, got <= endlessLimit, "%d bytes reached the caller", got)
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open")
			}
			assert.Assert(t, sent <= endlessLimit+endlessSlack+64<<10, "%d bytes were read", sent)
		})
	}
}

// discardWriter is a caller that reads everything.
type discardWriter struct {
	header http.Header
	n      int64
}

func (w *discardWriter) Header() http.Header { return w.header }
func (w *discardWriter) WriteHeader(int)     {}
func (w *discardWriter) Write(b []byte) (int, error) {
	w.n += int64(len(b))
	return len(b), nil
}

// sendAndCopy makes one attempt and copies its answer. It returns the bytes of the body that
// reached the caller.
func sendAndCopy(t *testing.T, r *Relay) (int64, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	attempt, cancelAttempt := context.WithCancelCause(ctx)
	in := httptest.NewRequest(http.MethodGet, "/", nil)
	answer, err := r.Send(attempt, cancelAttempt, in, nil, serverAddr, &Meta{ID: "r1"})
	if err != nil {
		return 0, err
	}
	if err := answer.Buffer(64 << 10); err != nil {
		answer.Close()
		return 0, err
	}
	w := &discardWriter{header: http.Header{}}
	_, err = answer.Copy(w)
	return w.n, err
}
