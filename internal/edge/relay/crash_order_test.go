package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against missing a crash because net/http opens another connection after the server
// broke the first one, and the attempt ends before that fails.
func TestABrokenConnectionShowsAlthoughTheAttemptEndsDuringTheNextDial(t *testing.T) {
	for name, give := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		},
		"canceled": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeServer{handle: func(w io.Writer, _ *http.Request, _, n int) bool { return n == 1 && writeString(w, okResponse) }}
				r := New(Config{Open: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
					if b.conns.Load() == 0 {
						return b.open(ctx, to)
					}
					<-ctx.Done() // the server's machine is gone, and nothing refuses the connection
					return nil, ctx.Err()
				}})
				_, err := sendRequest(t.Context(), r, httptest.NewRequest("GET", "/warm", nil), "warm")
				assert.NilError(t, err)
				ctx, cancel := give(t.Context())
				defer cancel()
				_, err = sendRequest(ctx, r, httptest.NewRequest("GET", "/x", nil), "broken")
				time.Sleep(DefaultDial)
				assert.NilError(t, r.Close())
				assert.NilError(t, b.group.Close())
				var fail *Failure
				assert.Assert(t, errors.As(err, &fail))
				assert.Equal(t, b.count("broken"), 1)
				assert.Assert(t, fail.Sent)
				assert.Assert(t, fail.ConnClosed, "%v", err)
			})
		})
	}
}
