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

// sluggish is a store that takes long to answer, and later does not.
type sluggish struct {
	*objmem.Store
	mu   sync.Mutex
	down bool
	last time.Time // when the last read that was answered was asked for
}

func (s *sluggish) Get(ctx context.Context, name string) (object.Object, error) {
	asked := time.Now()
	group.Sleep(ctx, 900*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, kinds.New(kinds.Unavailable, "outage")
	}
	s.last = asked
	return s.Store.Get(ctx, name)
}

type nobody struct{}

func (nobody) Send(ident.VM, []byte) {}
func (nobody) Cast(ident.VM, []byte) {}

// The store answers late, as it also seems to when this process is paused
// between a call and its handling, and then not at all; no peer is heard. What
// the last answer showed is as old as its question. Counted from its handling,
// this VM would go on serving by rules that were replaced seconds before.
func TestWhatTheStoreSaidIsAsOldAsTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sluggish{Store: objmem.New()}
		f, err := match.Parse([]byte("[[rule]]\nname = \"a\"\nwhen = { path = \"/a\" }\nthen = { service = \"lookup\" }\n"))
		assert.NilError(t, err)
		_, err = save.Save(t.Context(), s.Store, func(cur *revs.Record) (*revs.Record, error) {
			return revs.Replace(cur, revs.Edit{Author: "test", Token: "t", At: time.Now()}, f.Rules)
		})
		assert.NilError(t, err)
		book := &revs.Holder{}
		n := New(Options{
			Self: gossip.Peer{VM: "vm-1"}, Store: s, Book: book, Peers: nobody{}, Log: slog.New(slog.DiscardHandler),
		})
		n.SetPeers([]gossip.Peer{{VM: "vm-1"}, {VM: "vm-2"}, {VM: "vm-3"}})
		time.Sleep(10 * time.Second)
		assert.Equal(t, book.State(), revs.Serve)
		s.mu.Lock()
		s.down = true
		last := s.last
		s.mu.Unlock()
		time.Sleep(time.Until(last.Add(revs.DefaultLimits.Isolated + tickRules + 50*time.Millisecond)))
		assert.Assert(t, book.State() != revs.Serve, "still serving by old news")
		assert.NilError(t, n.Close())
	})
}
