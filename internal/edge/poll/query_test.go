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

var all = ranges.Span{First: 0, Last: ranges.KeySpace - 1}

func launch(t *testing.T, b *Hub) (netip.AddrPort, func() []Request) {
	var mu sync.Mutex
	var heard []Request
	web := httptest.NewServer(b.Handler(func(a *Request) {
		mu.Lock()
		defer mu.Unlock()
		heard = append(heard, *a)
	}))
	t.Cleanup(web.Close)
	at, err := netip.ParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
	assert.NilError(t, err)
	return at, func() []Request {
		mu.Lock()
		defer mu.Unlock()
		return heard
	}
}

func leader() *Hub {
	b := NewHub("vm-1", "vm-1-a")
	b.SetLease(elect.Lease{Epoch: 3, Holder: "vm-1", Incarnation: "vm-1-a"}, true)
	return b
}

// A VM is cut off from the store alone. It must learn of rules, servers and owners
// from the leader, and as they change, not at its next question.
func TestNewsReachAWaitingVMAtOnce(t *testing.T) {
	b := leader()
	b.SetRules(RawRules{Rev: 7, Data: []byte(`{"a":1}`)})
	at, heard := launch(t, b)
	c := NewClient()
	n, err := c.Poll(t.Context(), at, &Request{VM: "vm-2", Addr: "10.0.0.2:1", RulesRev: 7}, nil)
	assert.NilError(t, err, "after the wait, with nothing new")
	assert.Assert(t, n.IsLeader && n.Changes == nil)
	assert.Equal(t, n.RulesRev, uint64(7))
	assert.Equal(t, len(heard()), 1)

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
	for len(heard()) < 2 {
		time.Sleep(time.Millisecond)
	}
	b.Publish("lookup", Change{Epoch: 3, Seq: 1, Full: true, Spans: []ranges.Assignment{{Span: all, Server: "s1"}}})
	a := <-got
	web.Wait()
	assert.NilError(t, a.err)
	assert.Equal(t, a.n.Changes["lookup"].Spans[0].Server, ident.Server("s1"))
	assert.Assert(t, time.Since(asked) < 10*PollTimeout)
}

// One that missed some changes gets the difference, one that missed too many or knew
// another leader gets the whole.
func TestWhoWasAwayCatchesUp(t *testing.T) {
	b := leader()
	var want *ranges.View
	for seq := range uint64(keptChanges + 10) {
		name := ident.Server("s" + string(rune('a'+seq%20)))
		span := ranges.Span{First: uint16(seq * 64), Last: uint16(seq*64 + 63)}
		want = b.Publish("lookup", Change{Epoch: 3, Seq: seq + 1, Full: seq == 0, Spans: []ranges.Assignment{{Span: span, Server: name}}})
	}
	for _, ask := range []Request{
		{VM: "x", Incarnation: "vm-1-a", Seqs: map[ident.Service]uint64{"lookup": keptChanges}},
		{VM: "x", Incarnation: "vm-1-a", Seqs: map[ident.Service]uint64{"lookup": 2}},
		{VM: "x", Incarnation: "another", Seqs: map[ident.Service]uint64{"lookup": keptChanges + 10}},
		{VM: "x"},
	} {
		n, worth, _ := b.look(time.Now(), &ask)
		assert.Assert(t, worth)
		c := n.Changes["lookup"]
		assert.Equal(t, c.Full, ask.Incarnation != "vm-1-a" || ask.Seqs["lookup"] == 2)
		assert.Equal(t, c.Seq, uint64(keptChanges+10))
		if c.Full {
			var v *ranges.View
			assert.DeepEqual(t, v.Apply(c.Epoch, c.Seq, true, c.Spans).Spans(), want.Spans())
		}
	}
	_, worth, _ := b.look(time.Now(), &Request{VM: "x", Incarnation: "vm-1-a", Seqs: map[ident.Service]uint64{"lookup": keptChanges + 10}})
	assert.Assert(t, !worth)
}

// A VM that starts while the store is away asks whomever it knows. One that does not
// lead tells what it has at once, and who does.
func TestAnyVMTellsWhatItKnows(t *testing.T) {
	b := NewHub("vm-2", "vm-2-a")
	b.SetLease(elect.Lease{Epoch: 3, Holder: "vm-1", Incarnation: "vm-1-a"}, false)
	b.SetRules(RawRules{Rev: 7, Data: []byte(`{}`)})
	b.SetServers(ServerList{Rev: 9})
	n, worth, _ := b.look(time.Now(), &Request{VM: "vm-3"})
	assert.Assert(t, worth && !n.IsLeader)
	assert.Equal(t, n.RulesRev, uint64(7))
	assert.Equal(t, n.Servers.Rev, uint64(9))
	assert.Equal(t, n.Lease.Holder, ident.VM("vm-1"))
	assert.Equal(t, n.Incarnation, "vm-2-a")
}

func TestOlderNewsAreRefused(t *testing.T) {
	b := leader()
	assert.Assert(t, b.SetRules(RawRules{Rev: 7}))
	assert.Assert(t, !b.SetRules(RawRules{Rev: 7}))
	assert.Assert(t, !b.SetRules(RawRules{Rev: 6}))
	assert.Assert(t, b.SetServers(ServerList{Rev: 2}))
	assert.Assert(t, !b.SetServers(ServerList{Rev: 1}))
}

// Who goes first when the leader is lost follows from the names of those who ask, so
// that all agree on it without talking.
func TestRanksFollowFromNames(t *testing.T) {
	b := leader()
	now := time.Now()
	for _, vm := range []ident.VM{"c", "a", "b"} {
		b.note(now, &Request{VM: vm, Addr: string(vm)})
	}
	for vm, rank := range map[ident.VM]int{"a": 0, "b": 1, "c": 2} {
		n, _, _ := b.look(now, &Request{VM: vm})
		assert.Equal(t, n.ClaimRank, rank)
		assert.Equal(t, n.VMCount, 3)
		assert.Equal(t, len(n.VMs), 2, "the others")
	}
	assert.Equal(t, b.VMs(now), 4)
	assert.Equal(t, b.VMs(now.Add(2*PeerTimeout)), 1)
}

// VMs differ in what they can do. One that is strong goes first whatever its name, or
// the lead would fall to one that is too weak to renew all grants in time.
func TestTheStrongestGoesFirst(t *testing.T) {
	b := leader()
	now := time.Now()
	for vm, power := range map[ident.VM]float64{"a": 0.16, "b": 0.16, "z": 0.8} {
		b.note(now, &Request{VM: vm, Addr: string(vm), CPUs: power})
	}
	for vm, want := range map[ident.VM]struct {
		power float64
		rank  int
	}{"z": {0.8, 0}, "a": {0.16, 1}, "b": {0.16, 2}} {
		n, _, _ := b.look(now, &Request{VM: vm, CPUs: want.power})
		assert.Equal(t, n.ClaimRank, want.rank, string(vm))
	}
	later := now.Add(PeerTimeout)
	assert.Assert(t, !b.HasStronger(later, 0.16, time.Hour), "not for long enough")
	assert.Assert(t, b.HasStronger(later, 0.16, time.Second))
	assert.Assert(t, !b.HasStronger(later, 0.8, time.Second))
	assert.Assert(t, !b.HasStronger(later.Add(1), 0.16, time.Second), "it asks no more")
}

// Hundreds of VMs ask several times a second. If each answer named all of them, the
// exchange alone would fill the leader's network, and each VM's share of it.
func TestAnAnswerDoesNotGrowWithTheFleet(t *testing.T) {
	b := leader()
	now := time.Now()
	for i := range 520 {
		vm := ident.VM(fmt.Sprintf("entry-%03d", i))
		b.note(now, &Request{VM: vm, Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)})
	}
	n, _, _ := b.look(now, &Request{VM: "entry-007"})
	assert.Equal(t, n.VMCount, 520)
	assert.Equal(t, n.ClaimRank, 7)
	assert.Assert(t, !slices.Contains(n.VMs, "10.0.0.7:7000"), "not the asker")
	text, err := json.Marshal(n)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1000, "%d bytes", len(text))
}

// The leader's machine has no power: nobody answers, and nothing resets the
// connection. The question must end, or nobody would ever take over.
func TestAQuestionEnds(t *testing.T) {
	b := leader()
	at, _ := launch(t, b)
	_ = at
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	_, err := NewClient().Poll(t.Context(), nobody, &Request{VM: "x"}, nil)
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
}

// Turn tells watchers that this VM leads now, so that they ask the store afresh.
func TestTurnEndsWhenTheLeadChanges(t *testing.T) {
	b := NewHub("vm-1", "a")
	turn := b.LeaderContext()
	b.SetLease(elect.Lease{Epoch: 1, Holder: "vm-2"}, false)
	assert.NilError(t, turn.Err(), "it followed before, too")
	b.SetLease(elect.Lease{Epoch: 2, Holder: "vm-1"}, true)
	assert.Assert(t, turn.Err() != nil)
	assert.NilError(t, b.LeaderContext().Err())
}

// A VM that starts cannot tell from an answer whether others followed a leader before.
func TestAnAnswerSaysWhetherALeaderHasAnswered(t *testing.T) {
	settled := func(b *Hub) bool {
		n, _, _ := b.look(time.Now(), &Request{VM: "vm-9"})
		return n.ClusterFormed
	}
	b := NewHub("vm-1", "a")
	assert.Assert(t, !settled(b))
	b.SetLease(elect.Lease{Epoch: 1, Incarnation: "b"}, false)
	assert.Assert(t, !settled(b))
	b.SetSynced(time.Now())
	assert.Assert(t, settled(b))

	led := NewHub("vm-2", "b")
	led.SetLease(elect.Lease{Epoch: 1, Incarnation: "b"}, true)
	led.SetLease(elect.Lease{Epoch: 2, Incarnation: "c"}, false)
	assert.Assert(t, settled(led))
}
