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

func testServer(i int, rev uint64) feed.Server {
	return feed.Server{Name: ident.Server(fmt.Sprintf("i-%04d", i)), Service: "lookup", Slots: 4, Centre: "east", Rev: rev}
}

// applyList returns the servers that a VM has after it received a list.
func applyList(have map[ident.Server]feed.Server, l ServerList) map[ident.Server]feed.Server {
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

func serversOf(have map[ident.Server]feed.Server) []feed.Server {
	var list []feed.Server
	for _, s := range have {
		list = append(list, s)
	}
	return list
}

// Guards against VMs that keep servers that are gone or lack new ones. After being away
// for any number of changes, the next list must bring a VM to the same servers as the
// sender.
func TestDeltaBringsAnyVMUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l serverHistory
		all := map[int]uint64{}
		servers, knownRev := map[ident.Server]feed.Server{}, uint64(0)
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
				next.List = append(next.List, testServer(i, at))
			}
			l.set(next)
			if rapid.Bool().Draw(t, "asks") {
				update := l.since(knownRev)
				servers, knownRev = applyList(servers, update), update.Rev
				assert.Equal(t, SumOf(serversOf(servers)), update.Sum)
				assert.Equal(t, len(servers), len(all))
			}
		}
	})
}

// Guards against an incomplete delta. If more servers were removed than are remembered
// while a VM was away, it must get the complete list.
func TestLongAbsenceGetsCompleteServerList(t *testing.T) {
	var l serverHistory
	l.set(ServerList{Rev: 1, List: []feed.Server{testServer(0, 1)}})
	for i := range maxKeptGone + 2 {
		rev := uint64(2 + 2*i)
		l.set(ServerList{Rev: rev, List: []feed.Server{testServer(0, 1), testServer(1, rev)}})
		l.set(ServerList{Rev: rev + 1, List: []feed.Server{testServer(0, 1)}})
	}
	assert.Assert(t, !l.since(2).Delta)
	assert.Assert(t, l.since(9).Delta, "every change after the last forgotten removal is known")
	assert.Equal(t, len(l.gone), maxKeptGone)
}

// Guards against a complete list for each change. With three thousand servers and
// hundreds of waiting VMs it would fill the leader's link for seconds, delay its renewals
// of grants and let keys expire.
func TestChangeOfOneServerSendsDelta(t *testing.T) {
	h := newLeader()
	var list []feed.Server
	for i := range 3000 {
		list = append(list, testServer(i, 1))
	}
	h.SetServers(ServerList{Rev: 5, List: list})
	changed := append([]feed.Server(nil), list...)
	changed[7].Rev, changed[7].Leaving = 6, true
	h.SetServers(ServerList{Rev: 6, List: changed})
	n, worth, _ := h.response(time.Now(), &Request{VM: "x", ServersRev: 5})
	assert.Assert(t, worth)
	text, err := json.Marshal(n)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1000, "%d bytes", len(text))
	assert.Equal(t, len(n.Servers.List), 1)
	assert.Equal(t, n.Servers.List[0], changed[7])
}
