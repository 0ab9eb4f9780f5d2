package poll

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
)

func serverNamed(i int, rev uint64) feed.Server {
	return feed.Server{Name: ident.Server(fmt.Sprintf("i-%04d", i)), Service: "lookup", Slots: 4, Centre: "east", Rev: rev}
}

// apply is what an asker makes of a list that it is told.
func apply(have map[ident.Server]feed.Server, l ServerList) map[ident.Server]feed.Server {
	next := map[ident.Server]feed.Server{}
	if l.Delta {
		for name, s := range have {
			next[name] = s
		}
	}
	for _, name := range l.Gone {
		delete(next, name)
	}
	for _, s := range l.List {
		next[s.Name] = s
	}
	return next
}

func listed(have map[ident.Server]feed.Server) []feed.Server {
	var list []feed.Server
	for _, s := range have {
		list = append(list, s)
	}
	return list
}

// Servers come, change and go while a VM is away for some of it. Whatever it missed,
// what it is told next must bring it to the same servers as the one that it asks, or
// it sends requests to servers that are gone, or none to those that came.
func TestAPartBringsAnyoneUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l listing
		all := map[int]uint64{}
		mine, place := map[ident.Server]feed.Server{}, uint64(0)
		rev := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			rev += rapid.Uint64Range(1, 3).Draw(t, "jump")
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 3).Draw(t, "changed") {
				if rapid.Bool().Draw(t, "goes") {
					delete(all, i)
				} else {
					all[i] = rev
				}
			}
			next := ServerList{Rev: rev}
			for i, at := range all {
				next.List = append(next.List, serverNamed(i, at))
			}
			l.set(next)
			if rapid.Bool().Draw(t, "asks") {
				told := l.since(place)
				mine, place = apply(mine, told), told.Rev
				assert.Equal(t, SumOf(listed(mine)), told.Sum)
				assert.Equal(t, len(mine), len(all))
			}
		}
	})
}

// More servers go than are remembered while a VM is away. It is told of all that are
// there, since nobody knows any more which of its own are gone.
func TestWhoWasAwayForTooLongIsToldAll(t *testing.T) {
	var l listing
	l.set(ServerList{Rev: 1, List: []feed.Server{serverNamed(0, 1)}})
	for i := range keptGone + 2 {
		rev := uint64(2 + 2*i)
		l.set(ServerList{Rev: rev, List: []feed.Server{serverNamed(0, 1), serverNamed(1, rev)}})
		l.set(ServerList{Rev: rev + 1, List: []feed.Server{serverNamed(0, 1)}})
	}
	assert.Assert(t, !l.since(2).Delta)
	assert.Assert(t, l.since(9).Delta, "everything after the second that was forgotten is known")
	assert.Equal(t, len(l.gone), keptGone)
}

// One of three thousand servers changes, and hundreds of VMs wait for news. If each
// were told all servers, the leader's network link would be full for seconds, its
// renewals of leases would wait behind it, and keys would lapse.
func TestAChangeOfOneServerDoesNotTellOfAll(t *testing.T) {
	b := leader()
	var list []feed.Server
	for i := range 3000 {
		list = append(list, serverNamed(i, 1))
	}
	b.SetServers(ServerList{Rev: 5, List: list})
	changed := append([]feed.Server(nil), list...)
	changed[7].Rev, changed[7].Leaving = 6, true
	b.SetServers(ServerList{Rev: 6, List: changed})
	n, worth, _ := b.look(time.Now(), &Request{VM: "x", ServersRev: 5})
	assert.Assert(t, worth)
	text, err := json.Marshal(n)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1000, "%d bytes", len(text))
	assert.Equal(t, len(n.Servers.List), 1)
	assert.Equal(t, n.Servers.List[0], changed[7])
}
