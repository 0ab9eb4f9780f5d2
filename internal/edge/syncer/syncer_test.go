package syncer

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

// slowStore takes 900 ms for every read, and fails while down is set.
type slowStore struct {
	*objmem.Store
	mu        sync.Mutex
	down      bool
	lastAsked time.Time // start of the last read that succeeded
}

func (s *slowStore) Get(ctx context.Context, name string) (object.Object, error) {
	asked := time.Now()
	group.Sleep(ctx, 900*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, kinds.New(kinds.Unavailable, "outage")
	}
	s.lastAsked = asked
	return s.Store.Get(ctx, name)
}

type noPeers struct{}

func (noPeers) Send(ident.VM, []byte) {}
func (noPeers) Cast(ident.VM, []byte) {}

// The store answers late, or this process is paused before it handles the answer; then
// neither store nor peers answer. An answer shows the state at the time of the call: if
// its age counted from its handling, this VM would serve by rules replaced seconds before.
func TestStoreAnswersAgeFromTheirCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: objmem.New()}
		f, err := match.Parse([]byte("[[rule]]\nname = \"a\"\nwhen = { path = \"/a\" }\nthen = { service = \"lookup\" }\n"))
		assert.NilError(t, err)
		_, err = save.Save(t.Context(), store.Store, func(cur *revs.Record) (*revs.Record, error) {
			return revs.Replace(cur, revs.Edit{Author: "test", Token: "t", At: time.Now()}, f.Rules)
		})
		assert.NilError(t, err)
		holder := &revs.Holder{}
		syn := New(Options{
			Self: gossip.Peer{VM: "vm-1"}, Store: store, Rules: holder, Peers: noPeers{}, Log: slog.New(slog.DiscardHandler),
		})
		syn.SetPeers([]gossip.Peer{{VM: "vm-1"}, {VM: "vm-2"}, {VM: "vm-3"}})
		time.Sleep(10 * time.Second)
		assert.Equal(t, holder.State(), revs.Serve)
		store.mu.Lock()
		store.down = true
		last := store.lastAsked
		store.mu.Unlock()
		time.Sleep(time.Until(last.Add(revs.DefaultLimits.Isolated + ruleTickPeriod + 50*time.Millisecond)))
		assert.Assert(t, holder.State() != revs.Serve, "still serving by outdated rules")
		assert.NilError(t, syn.Close())
	})
}
