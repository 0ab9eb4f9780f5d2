package host

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/hub"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// The store passes on a change that says nothing new, the leader lists all servers
// once more, and its list has a later place than that of another VM. That VM must say
// that it knows the list: else it is answered with it at once, for ever, and the VMs
// talk of nothing else.
func TestAListWithoutNewsIsKnownAllTheSame(t *testing.T) {
	b := hub.NewBoard("vm-2", "a")
	f := &fleet{
		state: state.New(nil), board: b, log: slog.New(slog.DiscardHandler),
		services: map[ident.Service]feed.Service{}, dropped: map[ident.Server]bool{},
	}
	list := []feed.Server{{Name: "lookup-1", Service: "lookup", Rev: 3}}
	f.take(hub.ServerList{Rev: 5, List: list})
	_, rev := b.Revs()
	assert.Equal(t, rev, uint64(5))
	f.take(hub.ServerList{Rev: 9, List: list})
	_, rev = b.Revs()
	assert.Equal(t, rev, uint64(9))
}
