package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// failureOfPartialAnswer sends a request that gets a part of an answer, and returns its
// failure. The server then closes the connection, unless it is to hang.
func failureOfPartialAnswer(ctx context.Context, t *testing.T, part string, buffer, hang bool) *Failure {
	end := make(chan struct{})
	r, b := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool {
		writeString(w, part)
		if hang {
			<-end
		}
		return false
	})
	ctx, cancel := context.WithCancelCause(ctx)
	answer, err := r.Send(ctx, cancel, httptest.NewRequest("POST", "/x", nil), nil, serverAddr, &Meta{ID: "x"})
	assert.NilError(t, err)
	if buffer {
		err = answer.Buffer(1 << 10)
		assert.NilError(t, answer.Close())
	} else {
		_, err = answer.Copy(httptest.NewRecorder())
	}
	close(end)
	assert.NilError(t, r.Close())
	assert.NilError(t, b.group.Close())
	var fail *Failure
	assert.Assert(t, errors.As(err, &fail), "%v", err)
	assert.Equal(t, kinds.Of(err), kinds.Truncated)
	assert.Assert(t, fail.Sent)
	return fail
}

// Guards against missing a crash because the answer had begun, and against taking the end
// of an attempt on this side for one.
func TestAServerThatBreaksOffItsAnswerIsDistinguishedFromASlowOne(t *testing.T) {
	for name, part := range map[string]string{
		"by length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		for _, buffer := range []bool{true, false} {
			if buffer && name == "chunked" {
				continue // it is streamed
			}
			t.Run(name+map[bool]string{true: ", buffered"}[buffer], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					assert.Assert(t, failureOfPartialAnswer(t.Context(), t, part, buffer, false).ConnClosed)
					late, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					assert.Assert(t, !failureOfPartialAnswer(late, t, part, buffer, true).ConnClosed)
					gone, leave := context.WithCancel(t.Context())
					defer time.AfterFunc(time.Second, leave).Stop()
					assert.Assert(t, !failureOfPartialAnswer(gone, t, part, buffer, true).ConnClosed)
				})
			})
		}
	}
}
