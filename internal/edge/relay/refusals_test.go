package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Guards against a refusal that is sent once more and passes for the answer to the next attempt of its request.
func TestARepeatedRefusalIsNotTakenForTheNextAttempts(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nHawthorn-Id: r1\r\nHawthorn-Ran: no\r\nContent-Length: 0\r\n\r\n"
	for name, late := range map[string]bool{"at once": false, "where the next answer is due": true} {
		t.Run(name, func(t *testing.T) {
			r, s := newTestRelay(t, func(w io.Writer, _ *http.Request, conn, n int) bool {
				switch {
				case conn == 1 && n == 1 && !late:
					return writeString(w, refusal+refusal)
				case conn == 1:
					return writeString(w, refusal)
				}
				return writeString(w, okResponse)
			})
			refusals, unsent := 0, 0
			for {
				body := []byte("load")
				in := httptest.NewRequest("POST", "/x", bytes.NewReader(body))
				ctx, cancel := context.WithCancelCause(t.Context())
				answer, err := r.Send(ctx, cancel, in, bytes.NewReader(body), serverAddr, &Meta{ID: "r1"})
				if err == nil {
					assert.Equal(t, answer.Status(), http.StatusOK)
					assert.NilError(t, answer.Close())
					break
				}
				var fail *Failure
				assert.Assert(t, errors.As(err, &fail), "%v", err)
				if fail.Refused {
					refusals++
				} else {
					unsent++
				}
				assert.Assert(t, !fail.Sent || fail.Refused, "%v", err)
				assert.Assert(t, refusals <= 1 && unsent <= 1, "%d refusals, %d times unsent", refusals, unsent)
			}
			assert.Equal(t, refusals, 1)
			assert.Equal(t, s.count("r1"), 2)
		})
	}
}

// Guards against a refusal without an id that is sent once more and passes for the answer to another request.
func TestARepeatedRefusalWithoutAnIDRefusesNoOther(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nHawthorn-Ran: no\r\nContent-Length: 0\r\n\r\n"
	r, s := newTestRelay(t, func(w io.Writer, in *http.Request, _, n int) bool {
		if in.Header.Get(HeaderID) == "r1" || n > 1 {
			return writeString(w, refusal)
		}
		return writeString(w, okResponse)
	})
	_, err := sendRequest(t.Context(), r, httptest.NewRequest("POST", "/x", nil), "r1")
	assert.Equal(t, kinds.Of(err), kinds.Busy)
	w, err := sendRequest(t.Context(), r, httptest.NewRequest("POST", "/x", nil), "r2")
	assert.NilError(t, err)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, s.count("r2"), 1)
}

// Guards against a connection that another request gets before the answer on it was checked.
func TestAConnectionIsHandedOnOnlyOnceItsAnswerWasChecked(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nHawthorn-Ran: no\r\nContent-Length: 0\r\n\r\n"
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool { return writeString(w, refusal) })
		var g group.Group
		var used atomic.Int32
		for n := range 200 {
			g.Go(func(ctx context.Context) error {
				_, err := sendRequest(ctx, r, httptest.NewRequest("POST", "/x", nil), fmt.Sprint(n))
				var fail *Failure
				if errors.As(err, &fail) && fail.ConnUses > 0 {
					used.Add(1)
				}
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		assert.Equal(t, used.Load(), int32(0))
		synctest.Wait() // the Transport may still be opening a connection
		assert.NilError(t, r.Close())
		assert.NilError(t, s.group.Close())
	})
}
