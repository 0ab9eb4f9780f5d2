package host

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

func newTestFleet() *fleet {
	return &fleet{
		state: state.New(nil), board: poll.NewHub("vm-2", "a"), log: slog.New(slog.DiscardHandler),
		services: map[ident.Service]feed.Service{}, dropped: map[ident.Server]bool{},
	}
}

// The store passes on a change that says nothing new, the leader lists all servers
// once more, and its list has a later place than that of another VM. That VM must say
// that it knows the list: else it is answered with it at once, for ever, and the VMs
// talk of nothing else.
func TestAListWithoutNewsIsKnownAllTheSame(t *testing.T) {
	f := newTestFleet()
	list := []feed.Server{{Name: "lookup-1", Service: "lookup", Rev: 3}}
	f.take(poll.ServerList{Rev: 5, List: list})
	_, rev := f.board.Revs()
	assert.Equal(t, rev, uint64(5))
	f.take(poll.ServerList{Rev: 9, List: list})
	_, rev = f.board.Revs()
	assert.Equal(t, rev, uint64(9))
}

// A VM holds on to a server that the leader has dropped, for whatever reason, and is
// told of changes only. Nothing that changes later would name that server, and it
// would get requests for good. The sum of all servers shows it, and the VM asks for
// all of them once.
func TestAVMThatMissedAServerAsksForAll(t *testing.T) {
	f := newTestFleet()
	one := feed.Server{Name: "lookup-1", Service: "lookup", Rev: 3}
	two := feed.Server{Name: "lookup-2", Service: "lookup", Rev: 6}
	f.take(poll.ServerList{Rev: 5, List: []feed.Server{one, {Name: "lookup-0", Service: "lookup", Rev: 2}}})
	now := time.Now()
	assert.Equal(t, f.known(now), uint64(5))
	f.take(poll.ServerList{Rev: 6, Delta: true, List: []feed.Server{two}, Sum: poll.SumOf([]feed.Server{one, two})})
	assert.Equal(t, f.known(now), uint64(0))
	assert.Equal(t, f.known(now), uint64(6), "not again at once, should the two differ for good reason")
	f.take(poll.ServerList{Rev: 6, List: []feed.Server{one, two}})
	assert.Assert(t, slices.Equal(f.list(), []feed.Server{one, two}))
	assert.Equal(t, f.known(now.Add(wholeEvery)), uint64(6))
}
