package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an idle timeout that no server has stated, or that overflows: connections would be
// used when their server closes them, or never again.
func TestAnIdleTimeoutIsTakenFromAnswersOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		want     time.Duration
	}{
		"an answer":          {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10, max=5\r\nContent-Length: 0\r\n\r\n", 7 * time.Second},
		"a refusal":          {"HTTP/1.1 503 Full\r\nHawthorn-Ran: no\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", 7 * time.Second},
		"a huge timeout":     {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 0\r\n\r\n", 63 * time.Second},
		"no status":          {"HTTP/1.1 000 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", DefaultReuseIdle},
		"of another request": {"HTTP/1.1 200 OK\r\nHawthorn-Id: another\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", DefaultReuseIdle},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool { return writeString(w, tc.response) })
			_, _ = sendRequest(t.Context(), r, httptest.NewRequest("GET", "/x", nil), "r1")
			assert.Equal(t, r.upstream(serverAddr).maxReuseIdle().Round(time.Millisecond), tc.want)
		})
	}
}
