package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is used again after a response that was no answer: the answers
// to later requests may be those to the ones before.
func TestAConnectionEndsWithAResponseThatIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"of another request": "HTTP/1.1 200 OK\r\nHawthorn-Id: another\r\nContent-Length: 0\r\n\r\n",
		"without a status":   "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"with a body":        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"with a late body":   "HTTP/1.1 204 OK\r\nContent-Length: 2\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, s := newTestRelay(t, func(w io.Writer, _ *http.Request, conn, _ int) bool {
				if conn == 1 {
					return writeString(w, response)
				}
				return writeString(w, okResponse)
			})
			_, err := sendRequest(t.Context(), r, httptest.NewRequest("GET", "/x", nil), "r1")
			assert.Assert(t, err != nil)
			time.Sleep(10 * time.Millisecond)
			_, err = sendRequest(t.Context(), r, httptest.NewRequest("GET", "/x", nil), "r2")
			assert.NilError(t, err)
			assert.Equal(t, s.conns.Load(), int32(2))
			assert.Equal(t, r.OpenConns(serverAddr), 1)
		})
	}
}
