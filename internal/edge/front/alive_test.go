package front

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

func (g *fakeGuard) SendTime() time.Time { return time.Now() }

func (g *fakeGuard) ServerAnswered(l poison.Life, s ident.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.alive == nil {
		g.alive = map[ident.Server]poison.Life{}
	}
	g.alive[s] = l
}

// Guards against live servers that stay accused although they answer other requests, and
// against another server at the same address that speaks for them.
func TestAnyAnswerShowsThatAServerIsAlive(t *testing.T) {
	for _, c := range []struct {
		status int
		header string // that names the server
		alive  bool
	}{
		{http.StatusOK, "Server-Name", true},
		{http.StatusNotFound, "Server-Name", true},
		{http.StatusInternalServerError, "Server-Name", true},
		{http.StatusServiceUnavailable, "Server-Name", true},
		{http.StatusMisdirectedRequest, "Server-Name", false},
		{http.StatusOK, "", false},
	} {
		t.Run(http.StatusText(c.status)+c.header, func(t *testing.T) {
			runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
				tb.front.Headers = relay.DefaultHeaders()
				tb.front.Headers.Server = c.header
				tb.answerU1(c.status)
				post := func(body string) {
					_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader(body)))
					assert.NilError(t, err)
				}
				post("harmless")
				assert.Equal(t, len(g.alive), 0, "nothing is suspected")
				post("broken")
				assert.Equal(t, len(g.alive), 0, "it has not answered")
				time.Sleep(time.Second)
				asked := time.Now()
				post("harmless")
				life, alive := g.alive["u1"]
				assert.Equal(t, alive, c.alive)
				assert.Assert(t, !alive || !life.Until.Before(asked))
				assert.Equal(t, alive, !life.From.IsZero())
			})
		})
	}
}

// answerU1 replaces the server u1 by one that always answers with a status, except that it
// breaks off under requests with the body "broken".
func (tb *testbed) answerU1(status int) {
	assert.NilError(tb.t, tb.origins["u1"].Close())
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == int64(len("broken")) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	})}
	l := tb.net.Listen(u1Addr)
	tb.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		_ = s.Serve(l)
		return nil
	})
}
