package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

func oneServer() []ServerInfo {
	return []ServerInfo{{Name: "a", Slots: 1, Conns: 10}}
}

// A caller hangs up while its request waits behind a long one. If its place
// were kept, the server would sit idle for a request nobody wants and the next
// caller would wait for nothing.
func TestCallerWhoLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{Seed: 1})
		defer g.Close()
		g.SetServers(oneServer())
		first, err := g.Enter(t.Context(), Job{Caller: "first"})
		assert.NilError(t, err)
		for g.Stats().Running < g.Stats().Servers[0].Limit {
			_, err = g.Enter(t.Context(), Job{Caller: "fill"})
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = g.Enter(ctx, Job{Caller: "leaver"})
		assert.Equal(t, kinds.Of(err), kinds.DeadlineMissed)
		assert.Equal(t, g.Stats().Waiting, 0)
		first.Done(Outcome{})
		next, err := g.Enter(t.Context(), Job{Caller: "next"})
		assert.NilError(t, err)
		next.Done(Outcome{})
		next.Done(Outcome{})
		assert.Equal(t, g.Stats().Running, g.Stats().Servers[0].Limit-1)
	})
}

// Many callers enter, wait, leave and finish at once, while servers change. No
// place may be lost or counted twice; the service would otherwise serve fewer and
// fewer requests until the VM is replaced.
func TestManyCallersAtOnce(t *testing.T) {
	g := New(Config{Seed: 1})
	defer g.Close()
	list := []ServerInfo{{Name: "a", Slots: 2, Conns: 10}, {Name: "b", Slots: 2, Conns: 10}}
	g.SetServers(list)
	var callers group.Group
	for i := range 40 {
		callers.Go(func(ctx context.Context) error {
			for n := range 50 {
				ctx, cancel := context.WithTimeout(ctx, time.Duration(1+n%5)*time.Millisecond)
				p, err := g.Enter(ctx, Job{Caller: ident.Caller(rune('a' + i)), Idempotent: true, Deadline: time.Now().Add(time.Second)})
				cancel()
				if err != nil {
					continue
				}
				if h, ok := p.Hedge(); ok {
					h.Done(Cancel())
				}
				if next, ok := p.Retry(context.Background(), Outcome{Kind: kinds.Busy, Refused: true}); ok {
					next.Done(Outcome{})
				}
				if n%20 == 0 {
					g.SetServers(list)
				}
			}
			return nil
		})
	}
	assert.NilError(t, callers.Wait())
	st := g.Stats()
	assert.Equal(t, st.Running, 0)
	assert.Equal(t, st.Waiting, 0)
}
