package host

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// silentAt reports whether a VM treats the full servers of a service as silent.
func (tc *testCluster) silentAt(i int, svc ident.Service) bool {
	return tc.vms[i].listeners.parts.Fleet.stats(clock.Now()).silent[svc]
}

// setFull sets how a backend handles each request: it is silent, refuses it, or serves it.
func (b *backend) setFull(silent, refuses bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent, b.shedFor = silent, 0
	if refuses {
		b.shedFor = time.Millisecond // less than the second in which Retry-After counts
	}
}

// Guards against VMs that do not learn that full servers are silent, also under the next
// leader, or stay so after a full server has refused a request, and against lists that do
// not reach all VMs.
func TestVMsLearnFromEachOtherHowFullServersBehave(t *testing.T) {
	tc := newTestCluster(t, 4)
	tc.store.write("config/main", feed.Rules{
		List:     []match.Rule{{Name: "receipt", When: match.When{Prefix: "/receipt/"}, Then: match.Then{Service: "ledger", Idempotent: true, Deadline: 400 * time.Millisecond}}},
		Services: []feed.Service{{Name: "ledger", Conns: 50}},
	})
	servers := []*backend{tc.addServer("ledger", "r1"), tc.addServer("ledger", "r2")}
	for i := range 3 {
		tc.startVM(i)
	}
	send := func(n int, vms ...int) {
		var all group.Group
		for i := range n {
			all.Go(func(context.Context) error { tc.get(vms[i%len(vms)], "/receipt/1", ""); return nil })
		}
		assert.NilError(t, all.Wait())
	}
	all := []int{0, 1, 2}
	tc.waitFor(waitLimit, "served", func() bool {
		status, _ := tc.get(2, "/receipt/1", "")
		return status == http.StatusOK && tc.leaderIndex() >= 0
	})
	tc.waitFor(waitLimit, "full servers are known to be silent", func() bool {
		for _, b := range servers {
			b.setFull(true, false)
		}
		send(12, all...)
		for _, b := range servers {
			b.setFull(false, false)
		}
		send(24, all...)
		return tc.silentAt(0, "ledger") && tc.silentAt(1, "ledger") && tc.silentAt(2, "ledger")
	})
	tc.waitFor(waitLimit, "all VMs know both servers", func() bool {
		send(24, all...)
		known := true
		for _, h := range tc.vms {
			known = known && h.listeners.parts.Fleet.stats(clock.Now()).entries == len(servers)
		}
		return known
	})
	first := tc.leaderIndex()
	// A connection that was opened and never used would hold up the stop for five seconds.
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, tc.vms[first].Close())
	tc.startVM(3)
	tc.waitFor(waitLimit, "a new VM learns it from the next leader", func() bool { return tc.silentAt(3, "ledger") })
	tc.waitFor(waitLimit, "a refusal ends it", func() bool {
		for _, b := range servers {
			b.setFull(false, true)
		}
		send(2, 3)
		ended := true
		for i := range tc.vms {
			ended = ended && (i == first || !tc.silentAt(i, "ledger"))
		}
		return ended
	})
	http.DefaultClient.CloseIdleConnections()
	for i, h := range tc.vms {
		if i != first {
			assert.NilError(t, h.Close())
		}
	}
}

// Guards against a change of the mode that is not logged, and one that is logged twice.
func TestEachChangeOfFullServersIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	svc := state.New([]config.Service{{Name: "search"}})
	for _, s := range svc.Services() {
		s.Gate = gate.New(gate.Config{})
		defer s.Gate.Close()
	}
	f := &fleetLoad{state: svc, log: slog.New(slog.NewTextHandler(&out, nil)), modes: map[ident.Service]serviceMode{}}
	lines := func() []string {
		f.decide()
		f.decide()
		defer out.Reset()
		return strings.Split(strings.TrimSpace(out.String()), "\n")
	}
	for _, step := range []struct {
		learn fleet.State
		want  string
	}{
		{fleet.State{}, `msg="full servers" service=search mode=auto silent=false why="no full server observed"`},
		{fleet.State{Full: fleet.FullSilent, Places: 10}, `msg="full servers" service=search mode=auto silent=true why="attempts at two`},
		{fleet.State{Full: fleet.FullAnswers}, `msg="full servers" service=search mode=auto silent=false why="a full server refused a request"`},
	} {
		f.book.Learn(map[ident.Service]fleet.State{"search": step.learn})
		got := lines()
		assert.Equal(t, len(got), 1)
		assert.Assert(t, strings.Contains(got[0], step.want), got[0])
	}
	f.book.Learn(map[ident.Service]fleet.State{"search": {Places: 12}})
	assert.DeepEqual(t, lines(), []string{""})
}

// Guards against latencies of servers, which the key assignment needs, that are lost or
// counted twice because samples state them too.
func TestLatenciesAreStatedOnce(t *testing.T) {
	leader, hub := newLoneFleet("vm-1")
	follower, _ := newLoneFleet("vm-2")
	p := fleetServers[0]
	svc := follower.processes[p]
	pollOnce := func() *poll.Request {
		now := clock.Now()
		follower.collector.Answered(now, now.Add(-128*time.Millisecond), svc, p, 128*time.Millisecond, fleet.Load{Known: true, Running: 1})
		req := &poll.Request{Incarnation: hub.Incarnation(), LatencySums: map[ident.Server]assign.LatencySum{p.Server: {N: 1, Total: 128 * time.Millisecond}}}
		batch := follower.report(req)
		leader.mergeReport(req)
		resp := poll.Response{Lease: elect.Lease{Incarnation: hub.Incarnation()}, Fleet: leader.List(req.Samples, true)}
		follower.applyLeader(now, req, &resp, batch)
		return req
	}
	first, second := pollOnce(), pollOnce()
	assert.Equal(t, len(first.Samples.Plain), 1)
	assert.Equal(t, len(second.Samples.Plain), 0)
	want := map[ident.Server]assign.LatencySum{p.Server: {N: 1, Total: 128 * time.Millisecond}}
	assert.DeepEqual(t, first.LatencySums, want)
	assert.DeepEqual(t, second.LatencySums, want)
}

// Guards against evidence that is lost because it was sent to a new leader with the numbers
// of the one before.
func TestSamplesForTheFormerLeaderAreSentAgain(t *testing.T) {
	former, hub := newLoneFleet("vm-1")
	follower, _ := newLoneFleet("vm-2")
	p := fleetServers[0]
	former.merge(clock.Now(), []fleet.Sample{{Server: p.Server, Incarnation: p.Incarnation, Sent: 1}})
	req := &poll.Request{Incarnation: hub.Incarnation()}
	batch := follower.report(req)
	follower.applyLeader(clock.Now(), req, &poll.Response{Lease: elect.Lease{Incarnation: hub.Incarnation()}, Fleet: former.List(req.Samples, true)}, batch)
	follower.collector.Refused(clock.Now(), follower.processes[p], p, fleet.Load{})
	req = &poll.Request{Incarnation: hub.Incarnation()}
	batch = follower.report(req)
	assert.Assert(t, len(req.Samples.Packed) > 0)
	next, nextHub := newLoneFleet("vm-3")
	next.mergeReport(req)
	follower.applyLeader(clock.Now(), req, &poll.Response{Lease: elect.Lease{Incarnation: nextHub.Incarnation()}, Fleet: next.List(req.Samples, false)}, batch)
	req = &poll.Request{Incarnation: nextHub.Incarnation()}
	follower.report(req)
	next.mergeReport(req)
	assert.Equal(t, next.book.State(next.processes[p]).Full, fleet.FullAnswers)
}
