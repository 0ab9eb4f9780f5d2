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

// largeRulesRev is higher than any revision that a test's store assigns.
const largeRulesRev = 1 << 20

// largeRules returns about 4,200 routes as stored, 0.7 MB of text with names that do not
// repeat. Only a few are rules that a VM compiles, because these tests are about the
// transfer.
func largeRules(t *testing.T) poll.RawRules {
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
	}{rulesWithExtra(10), text.String()}
	b, err := json.Marshal(rules)
	assert.NilError(t, err)
	return poll.RawRules{Rev: largeRulesRev, Data: b}
}

// rulesApplyLimit is the time within which accepted rules must be in force on every VM
// that other VMs can reach.
const rulesApplyLimit = 2500 * time.Millisecond

// Guards against large rules that block other news on a link of 2 Mbit/s. As part of the
// poll response they would make it time out and start again: the VM would answer 404
// for new routes, send requests to former owners of keys, and consider the leader lost.
func TestNewsGoOnWhileManyRulesArrive(t *testing.T) {
	tc := newTestCluster(t, 1)
	leader, h := tc.startFollower(250_000)
	tc.gateways[0].setBlocked(true)
	time.Sleep(poll.PollTimeout) // polls from before the store was blocked end

	leader.SetRules(largeRules(t))
	sentAt := time.Now()
	tookToArrive := time.Duration(0)
	for time.Since(sentAt) < 2*rulesApplyLimit {
		seq := leader.assignAllKeys("l1")
		tc.waitFor(time.Second, "a change of owners is known", tc.knowsOwners(0, seq))
		if rev, _ := h.listeners.parts.Hub.Revs(); rev == largeRulesRev && tookToArrive == 0 {
			tookToArrive = time.Since(sentAt)
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, tookToArrive > 0 && tookToArrive < rulesApplyLimit, "rules in force after %v", tookToArrive)
	assert.NilError(t, h.Close())
	assert.Assert(t, !strings.Contains(tc.logText.String(), "leader lost"), "%s", tc.logText.String())
}

// Guards against a leader that sends the rules to every VM. All VMs are cut off from the
// store and ask the leader at once; its link would be busy for seconds and no VM would
// have the rules in time. It must send a few copies, which the VMs pass on.
func TestTheLeaderSendsFewCopiesOfTheRules(t *testing.T) {
	vms, copies := 40, 4
	if testing.Short() {
		vms = 10
	}
	tc := newTestCluster(t, vms)
	tc.setRules("/lookup/")
	leader := tc.startThrottledLeader(12_500_000)
	for i := range vms {
		tc.startVM(i)
	}
	for i := range vms {
		tc.waitFor(waitLimit, "ready", tc.ready(i))
		tc.gateways[i].setBlocked(true)
	}
	time.Sleep(poll.PollTimeout)

	raw := largeRules(t)
	before := leader.link.bytes()
	leader.SetRules(raw)
	sentAt := time.Now()
	for i, h := range tc.vms {
		tc.waitFor(rulesApplyLimit-time.Since(sentAt), fmt.Sprintf("rules in force on VM %d", i), func() bool {
			rev, _ := h.listeners.parts.Hub.Revs()
			return rev == largeRulesRev
		})
	}
	took, sent := time.Since(sentAt), leader.link.bytes()-before
	t.Logf("%d VMs have %d bytes of rules after %v; the leader sent %d bytes", vms, len(raw.Data), took, sent)
	assert.Assert(t, sent < copies*len(raw.Data), "the leader sent %d bytes", sent)
	var g group.Group
	for _, h := range tc.vms {
		g.Go(func(context.Context) error { return h.Close() })
	}
	assert.NilError(t, g.Wait())
}

// Guards against rules that are sent twice. A VM whose own watch delivers the rules just
// after the leader has them must not fetch them from another VM.
func TestRulesThatTheStoreDeliversAreNotFetched(t *testing.T) {
	tc := newTestCluster(t, 1)
	leader, h := tc.startFollower(1_000_000)
	tc.store.mu.Lock()
	next := tc.store.rev + 1
	tc.store.mu.Unlock()
	leader.SetRules(poll.RawRules{Rev: next, Data: []byte("{}")})
	time.Sleep(storeHeadStart / 4)
	tc.setRules("/new/")
	tc.waitFor(waitLimit, "new rules", func() bool {
		rev, _ := h.listeners.parts.Hub.Revs()
		return rev == next
	})
	time.Sleep(2 * storeHeadStart)
	assert.NilError(t, h.Close())
	assert.Assert(t, !strings.Contains(tc.logText.String(), "rules fetched"), "%s", tc.logText.String())
}

// Guards against a slow response that is taken for a silent leader: 0.16 MB of servers at
// half a Mbit/s take over two seconds. A VM that gave up would never learn the key owners
// and take over from a healthy leader, after which all VMs are sent everything again.
func TestSlowLargeResponseIsNotSilence(t *testing.T) {
	tc := newTestCluster(t, 1)
	leader, h := tc.startFollower(70_000)

	list := poll.ServerList{Rev: largeRulesRev}
	for i := range 1400 {
		list.List = append(list.List, feed.Server{
			Name: ident.Server(fmt.Sprintf("i-%010d", i)), Service: "ledger", Addr: netip.MustParseAddrPort("10.1.2.3:8000"),
			Centre: "here", Slots: 4, Incarnation: int64(i), Rev: uint64(i),
		})
	}
	text, err := json.Marshal(list)
	assert.NilError(t, err)
	leader.SetServers(list)
	sentAt := time.Now()
	tc.waitFor(waitLimit, "all servers are known", func() bool {
		_, servers := h.listeners.parts.Hub.Revs()
		return servers == largeRulesRev
	})
	t.Logf("%d bytes took %v", len(text), time.Since(sentAt))
	assert.Assert(t, time.Since(sentAt) > poll.PeerTimeout, "the response was slow")
	seq := leader.assignAllKeys("l1")
	tc.waitFor(time.Second, "the next change of owners is known", tc.knowsOwners(0, seq))
	assert.Equal(t, tc.leaderIndex(), -1)
	assert.NilError(t, h.Close())
	assert.Assert(t, !strings.Contains(tc.logText.String(), "leader lost"), "%s", tc.logText.String())
}

// Guards against a VM that keeps fetching rules that it cannot decode, for example from a
// later version. Its poll would be answered at once, fifty times a second, by a leader
// that has other VMs to serve.
func TestRulesThatCannotBeReadAreFetchedOnce(t *testing.T) {
	tc := newTestCluster(t, 1)
	leader, h := tc.startFollower(1_000_000)
	tc.gateways[0].setBlocked(true)
	leader.SetRules(poll.RawRules{Rev: largeRulesRev, Data: []byte(`"for a later version"`)})
	tc.waitFor(waitLimit, "the newest revision is known", func() bool {
		return h.listeners.parts.State.Rules.Newest() == largeRulesRev
	})
	asked := leader.polls.Load()
	const while = 2 * time.Second
	time.Sleep(while)
	asked = leader.polls.Load() - asked
	assert.Assert(t, asked <= int64(while/poll.PollTimeout)+1, "%d polls in %v", asked, while)
	assert.NilError(t, h.Close())
	assert.Equal(t, strings.Count(tc.logText.String(), "rules fetched"), 1, "%s", tc.logText.String())
	assert.Equal(t, strings.Count(tc.logText.String(), "rules refused"), 1, "%s", tc.logText.String())
}
