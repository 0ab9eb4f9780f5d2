package host

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
)

// newRev is above what the store of a test gives out.
const newRev = 1 << 20

// manyRoutes is a configuration of some 4,200 routes as the store holds it, 0.7 MB of
// text with names that do not repeat. Only a handful are rules that a VM compiles: what
// these tests ask is how the text travels.
func manyRoutes(t *testing.T) poll.RawRules {
	const routes, chars = 4200, "abcdefghijklmnopqrstuvwxyz0123456789"
	name := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = chars[rand.IntN(len(chars))]
		}
		return string(b)
	}
	var text strings.Builder
	for range routes {
		fmt.Fprintf(&text, "r-%s: host: %s.example, prefix: /%s/, service: %s, idempotent: true, deadline: 2s, aim: 250ms, attempts: 3, priority: 1, owner: team-%s; ",
			name(7), name(6), name(8), name(7), name(2))
	}
	rules := struct {
		feed.Rules
		Text string
	}{grown(10), text.String()}
	b, err := json.Marshal(rules)
	assert.NilError(t, err)
	return poll.RawRules{Rev: newRev, Data: b}
}

// inForce is within which rules that the store accepted must be in force on every VM
// that others reach.
const inForce = 2500 * time.Millisecond

// An operator adds routes while a VM cannot reach the store, and the leader's link has
// little room: 2 Mbit/s for this VM. The rules alone fill it for seconds. If they travel
// in the answer that also tells who owns which keys, the answer is broken off as late
// and asked for again, from its beginning, for as long as the link is thin: callers of
// the new routes are told 404, requests go to servers that gave their keys away, and the
// VM believes that its leader is gone.
func TestNewsGoOnWhileManyRulesArrive(t *testing.T) {
	w := newWorld(t, 1)
	leader, h := w.follower(250_000)
	w.ways[0].bar(true)
	time.Sleep(poll.PollTimeout) // questions from before

	leader.SetRules(manyRoutes(t))
	told := time.Now()
	came := time.Duration(0)
	for time.Since(told) < 2*inForce {
		seq := leader.move("l1")
		w.within(time.Second, "a change of owners is known", w.moved(0, seq))
		if rev, _ := h.d.p.Board.Revs(); rev == newRev && came == 0 {
			came = time.Since(told)
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, came > 0 && came < inForce, "rules in force after %v", came)
	assert.NilError(t, h.Close())
	assert.Assert(t, !strings.Contains(w.text.String(), "leader lost"), "%s", w.text.String())
}

// An operator adds routes, the store turns many VMs away, and all of them ask the leader
// at once. If each gets the rules from it, they share its link: it sends the same text
// for seconds, and no VM has them in time. It is to send a few copies, and the VMs that
// have one pass it on.
func TestTheLeaderSendsFewCopiesOfTheRules(t *testing.T) {
	vms, copies := 40, 4
	if testing.Short() {
		vms = 10
	}
	w := newWorld(t, vms)
	w.rules("/lookup/")
	leader := w.lead(12_500_000)
	for i := range vms {
		w.start(i)
	}
	for i := range vms {
		w.within(patient, "ready", w.ready(i))
		w.ways[i].bar(true)
	}
	time.Sleep(poll.PollTimeout)

	raw := manyRoutes(t)
	before := leader.link.bytes()
	leader.SetRules(raw)
	told := time.Now()
	for i, h := range w.vms {
		w.within(inForce-time.Since(told), fmt.Sprintf("rules in force on VM %d", i), func() bool {
			rev, _ := h.d.p.Board.Revs()
			return rev == newRev
		})
	}
	took, sent := time.Since(told), leader.link.bytes()-before
	t.Logf("%d VMs have %d bytes of rules after %v; the leader sent %d bytes", vms, len(raw.Data), took, sent)
	assert.Assert(t, sent < copies*len(raw.Data), "the leader sent %d bytes", sent)
	var g group.Group
	for _, h := range w.vms {
		g.Go(func(context.Context) error { return h.Close() })
	}
	assert.NilError(t, g.Wait())
}

// The store reaches a VM a moment after the leader, as on most days. The VM takes the
// rules from there and asks nobody, or each change would travel twice.
func TestRulesThatTheStoreBringsAreNotFetched(t *testing.T) {
	w := newWorld(t, 1)
	leader, h := w.follower(1_000_000)
	w.store.mu.Lock()
	next := w.store.rev + 1
	w.store.mu.Unlock()
	leader.SetRules(poll.RawRules{Rev: next, Data: []byte("{}")})
	time.Sleep(headStart / 4)
	w.rules("/new/")
	w.within(patient, "new rules", func() bool {
		rev, _ := h.d.p.Board.Revs()
		return rev == next
	})
	time.Sleep(2 * headStart)
	assert.NilError(t, h.Close())
	assert.Assert(t, !strings.Contains(w.text.String(), "rules fetched"), "%s", w.text.String())
}

// The leader changes, and tells each VM all servers: 0.16 MB over what its link leaves
// for this VM, half a Mbit/s, which takes over two seconds. An answer that
// comes is word from the leader. If its end decides, the VM breaks it off, asks again from
// the beginning, never knows who owns which keys, and takes the lead from a leader that
// is there: all VMs are then told everything once more.
func TestALargeAnswerIsNoSilence(t *testing.T) {
	w := newWorld(t, 1)
	leader, h := w.follower(70_000)

	list := poll.ServerList{Rev: newRev}
	for i := range 1400 {
		list.List = append(list.List, feed.Server{
			Name: ident.Server(fmt.Sprintf("i-%010d", i)), Service: "ledger", Addr: netip.MustParseAddrPort("10.1.2.3:8000"),
			Centre: "here", Slots: 4, Incarnation: int64(i), Rev: uint64(i),
		})
	}
	text, err := json.Marshal(list)
	assert.NilError(t, err)
	leader.SetServers(list)
	told := time.Now()
	w.within(patient, "all servers are known", func() bool {
		_, servers := h.d.p.Board.Revs()
		return servers == newRev
	})
	t.Logf("%d bytes took %v", len(text), time.Since(told))
	assert.Assert(t, time.Since(told) > poll.PeerTimeout, "the answer was slow")
	seq := leader.move("l1")
	w.within(time.Second, "the next change of owners is known", w.moved(0, seq))
	assert.Equal(t, w.leads(), -1)
	assert.NilError(t, h.Close())
	assert.Assert(t, !strings.Contains(w.text.String(), "leader lost"), "%s", w.text.String())
}

// The operator's rules cannot be put in force by this VM, for example because they are
// for a later version. It keeps the ones before, and must not go on asking for what it
// cannot use: its question would be answered at once, fifty times a second, by a leader
// that has other VMs to answer.
func TestRulesThatCannotBeReadAreFetchedOnce(t *testing.T) {
	w := newWorld(t, 1)
	leader, h := w.follower(1_000_000)
	w.ways[0].bar(true)
	leader.SetRules(poll.RawRules{Rev: newRev, Data: []byte(`"for a later version"`)})
	w.within(patient, "the newest revision is known", func() bool {
		return h.d.p.State.Rules.Newest() == newRev
	})
	asked := leader.asked.Load()
	const while = 2 * time.Second
	time.Sleep(while)
	asked = leader.asked.Load() - asked
	assert.Assert(t, asked <= int64(while/poll.PollTimeout)+1, "%d questions in %v", asked, while)
	assert.NilError(t, h.Close())
	assert.Equal(t, strings.Count(w.text.String(), "rules fetched"), 1, "%s", w.text.String())
	assert.Equal(t, strings.Count(w.text.String(), "rules refused"), 1, "%s", w.text.String())
}
