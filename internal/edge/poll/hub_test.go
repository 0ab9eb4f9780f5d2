package poll

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

var allKeys = ranges.Span{First: 0, Last: ranges.KeySpace - 1}

func startHub(t *testing.T, h *Hub) (netip.AddrPort, func() []Request) {
	var mu sync.Mutex
	var requests []Request
	web := httptest.NewServer(h.Handler(func(a *Request) {
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, *a)
	}))
	t.Cleanup(web.Close)
	at, err := netip.ParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	assert.NilError(t, err)
	return at, func() []Request {
		mu.Lock()
		defer mu.Unlock()
		return requests
	}
}

func newLeader() *Hub {
	h := NewHub("vm-1", "vm-1-a")
	h.SetLease(elect.Lease{Epoch: 3, Holder: "vm-1", Incarnation: "vm-1-a"}, true)
	return h
}

// Guards against news that wait for the next poll. A VM that has lost the store must
// learn of rules, servers and key owners from the leader as soon as they change.
func TestNewsReachAWaitingVMAtOnce(t *testing.T) {
	h := newLeader()
	h.SetRules(RawRules{Rev: 7, Data: []byte(`{"a":1}`)})
	at, requests := startHub(t, h)
	c := NewClient()
	n, err := c.Poll(t.Context(), at, &Request{VM: "vm-2", Addr: "10.0.0.2:1", RulesRev: 7}, nil)
	assert.NilError(t, err, "response without news after the timeout")
	assert.Assert(t, n.IsLeader && n.Changes == nil)
	assert.Equal(t, n.RulesRev, uint64(7))
	assert.Equal(t, len(requests()), 1)

	type answer struct {
		n   Response
		err error
	}
	got := make(chan answer, 1)
	asked := time.Now()
	web := sync.WaitGroup{}
	web.Go(func() {
		n, err := c.Poll(t.Context(), at, &Request{VM: "vm-2", RulesRev: 7, Incarnation: "vm-1-a"}, nil)
		got <- answer{n, err}
	})
	for len(requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	h.Publish("lookup", Change{Epoch: 3, Seq: 1, Full: true, Spans: []ranges.Assignment{{Span: allKeys, Server: "s1"}}})
	a := <-got
	web.Wait()
	assert.NilError(t, a.err)
	assert.Equal(t, a.n.Changes["lookup"].Spans[0].Server, ident.Server("s1"))
	assert.Assert(t, time.Since(asked) < 10*PollTimeout)
}

// A VM that missed a few changes gets the difference. One that missed too many or knew
// another leader gets all owners.
func TestAVMCatchesUpOnMissedChanges(t *testing.T) {
	h := newLeader()
	var want *ranges.View
	for seq := range uint64(maxKeptChanges + 10) {
		name := ident.Server("s" + string(rune('a'+seq%20)))
		span := ranges.Span{First: uint16(seq * 64), Last: uint16(seq*64 + 63)}
		want = h.Publish("lookup", Change{Epoch: 3, Seq: seq + 1, Full: seq == 0, Spans: []ranges.Assignment{{Span: span, Server: name}}})
	}
	for _, ask := range []Request{
		{VM: "x", Incarnation: "vm-1-a", Seqs: map[ident.Service]uint64{"lookup": maxKeptChanges}},
		{VM: "x", Incarnation: "vm-1-a", Seqs: map[ident.Service]uint64{"lookup": 2}},
		{VM: "x", Incarnation: "another", Seqs: map[ident.Service]uint64{"lookup": maxKeptChanges + 10}},
		{VM: "x"},
	} {
		n, worth, _ := h.response(time.Now(), &ask)
		assert.Assert(t, worth)
		c := n.Changes["lookup"]
		assert.Equal(t, c.Full, ask.Incarnation != "vm-1-a" || ask.Seqs["lookup"] == 2)
		assert.Equal(t, c.Seq, uint64(maxKeptChanges+10))
		if c.Full {
			var v *ranges.View
			assert.DeepEqual(t, v.Apply(c.Epoch, c.Seq, true, c.Spans).Spans(), want.Spans())
		}
	}
	_, worth, _ := h.response(time.Now(), &Request{VM: "x", Incarnation: "vm-1-a", Seqs: map[ident.Service]uint64{"lookup": maxKeptChanges + 10}})
	assert.Assert(t, !worth)
}

// Guards against a VM that starts during a store outage and learns nothing. A VM that
// does not lead must answer at once with what it knows and who leads.
func TestAnyVMAnswersWithWhatItKnows(t *testing.T) {
	h := NewHub("vm-2", "vm-2-a")
	h.SetLease(elect.Lease{Epoch: 3, Holder: "vm-1", Incarnation: "vm-1-a"}, false)
	h.SetRules(RawRules{Rev: 7, Data: []byte(`{}`)})
	h.SetServers(ServerList{Rev: 9})
	n, worth, _ := h.response(time.Now(), &Request{VM: "vm-3"})
	assert.Assert(t, worth && !n.IsLeader)
	assert.Equal(t, n.RulesRev, uint64(7))
	assert.Equal(t, n.Servers.Rev, uint64(9))
	assert.Equal(t, n.Lease.Holder, ident.VM("vm-1"))
	assert.Equal(t, n.Incarnation, "vm-2-a")
}

func TestOlderRevisionsAreRefused(t *testing.T) {
	h := newLeader()
	assert.Assert(t, h.SetRules(RawRules{Rev: 7}))
	assert.Assert(t, !h.SetRules(RawRules{Rev: 7}))
	assert.Assert(t, !h.SetRules(RawRules{Rev: 6}))
	assert.Assert(t, h.SetServers(ServerList{Rev: 2}))
	assert.Assert(t, !h.SetServers(ServerList{Rev: 1}))
}

// Guards against VMs that disagree on who takes over: the rank follows from the names of
// those that poll, so they need not communicate.
func TestClaimRanksFollowFromNames(t *testing.T) {
	h := newLeader()
	now := time.Now()
	for _, vm := range []ident.VM{"c", "a", "b"} {
		h.notePeer(now, &Request{VM: vm, Addr: string(vm)})
	}
	for vm, rank := range map[ident.VM]int{"a": 0, "b": 1, "c": 2} {
		n, _, _ := h.response(now, &Request{VM: vm})
		assert.Equal(t, n.ClaimRank, rank)
		assert.Equal(t, n.VMCount, 3)
		assert.Equal(t, len(n.VMs), 2, "the other VMs")
	}
	assert.Equal(t, h.VMs(now), 4)
	assert.Equal(t, h.VMs(now.Add(2*PeerTimeout)), 1)
}

// Guards against a leader too weak to renew all grants in time: the VM with the most
// processors ranks first, whatever its name.
func TestStrongestVMRanksFirst(t *testing.T) {
	h := newLeader()
	now := time.Now()
	for vm, power := range map[ident.VM]float64{"a": 0.16, "b": 0.16, "z": 0.8} {
		h.notePeer(now, &Request{VM: vm, Addr: string(vm), CPUs: power})
	}
	for vm, want := range map[ident.VM]struct {
		power float64
		rank  int
	}{"z": {0.8, 0}, "a": {0.16, 1}, "b": {0.16, 2}} {
		n, _, _ := h.response(now, &Request{VM: vm, CPUs: want.power})
		assert.Equal(t, n.ClaimRank, want.rank, string(vm))
	}
	later := now.Add(PeerTimeout)
	assert.Assert(t, !h.HasStronger(later, 0.16, time.Hour), "not for long enough")
	assert.Assert(t, h.HasStronger(later, 0.16, time.Second))
	assert.Assert(t, !h.HasStronger(later, 0.8, time.Second))
	assert.Assert(t, !h.HasStronger(later.Add(1), 0.16, time.Second), "it no longer polls")
}

// Guards against responses that name all VMs. Hundreds poll several times a second, and
// the responses would fill the leader's network link.
func TestResponseDoesNotGrowWithVMCount(t *testing.T) {
	h := newLeader()
	now := time.Now()
	for i := range 520 {
		vm := ident.VM(fmt.Sprintf("entry-%03d", i))
		h.notePeer(now, &Request{VM: vm, Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)})
	}
	n, _, _ := h.response(now, &Request{VM: "entry-007"})
	assert.Equal(t, n.VMCount, 520)
	assert.Equal(t, n.ClaimRank, 7)
	assert.Assert(t, !slices.Contains(n.VMs, "10.0.0.7:7000"), "without the sender of the request")
	text, err := json.Marshal(n)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1000, "%d bytes", len(text))
}

// Guards against a poll without end. If the leader's machine has lost power, nobody
// answers or resets the connection, and nobody would take over.
func TestPollEndsWithoutResponse(t *testing.T) {
	h := newLeader()
	at, _ := startHub(t, h)
	_ = at
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	_, err := NewClient().Poll(t.Context(), nobody, &Request{VM: "x"}, nil)
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
}

// Watchers rely on this context to read the store anew when this VM becomes leader.
func TestLeaderContextEndsWhenLeadershipChanges(t *testing.T) {
	h := NewHub("vm-1", "a")
	ctx := h.LeaderContext()
	h.SetLease(elect.Lease{Epoch: 1, Holder: "vm-2"}, false)
	assert.NilError(t, ctx.Err(), "it did not lead before either")
	h.SetLease(elect.Lease{Epoch: 2, Holder: "vm-1"}, true)
	assert.Assert(t, ctx.Err() != nil)
	assert.NilError(t, h.LeaderContext().Err())
}

// A VM that starts must learn from a response whether the cluster already had a leader.
func TestResponseSaysWhetherClusterHasFormed(t *testing.T) {
	formed := func(h *Hub) bool {
		n, _, _ := h.response(time.Now(), &Request{VM: "vm-9"})
		return n.ClusterFormed
	}
	h := NewHub("vm-1", "a")
	assert.Assert(t, !formed(h))
	h.SetLease(elect.Lease{Epoch: 1, Incarnation: "b"}, false)
	assert.Assert(t, !formed(h))
	h.SetSynced(time.Now())
	assert.Assert(t, formed(h))

	led := NewHub("vm-2", "b")
	led.SetLease(elect.Lease{Epoch: 1, Incarnation: "b"}, true)
	led.SetLease(elect.Lease{Epoch: 2, Incarnation: "c"}, false)
	assert.Assert(t, formed(led))
}
