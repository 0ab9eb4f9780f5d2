package host

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// fleetServers are the servers of the second customer: 68, 30 and 87, the last divided.
var fleetServers = func() (all []ident.Process) {
	for svc, n := range map[string]int{"lookup": 68, "order": 30, "history": 87} {
		for i := range n {
			all = append(all, ident.Process{Server: ident.Server(fmt.Sprintf("backend-%s-%03d", svc, i)), Incarnation: 1_790_000_000_000 + int64(i)})
		}
	}
	return all
}()

// newLoneFleet returns the fleetLoad of a VM for which the full servers of all services are
// silent.
func newLoneFleet(vm ident.VM) (*fleetLoad, *poll.Hub) {
	hub := poll.NewHub(vm, string(vm)+"-1")
	f := &fleetLoad{hub: hub, state: state.New(nil), log: slog.New(slog.DiscardHandler), modes: map[ident.Service]serviceMode{}}
	all := map[ident.Process]ident.Service{}
	for _, p := range fleetServers {
		svc := ident.Service(strings.Split(string(p.Server), "-")[1])
		all[p], f.modes[svc] = svc, serviceMode{silent: true}
	}
	f.setProcesses(all)
	hub.SetFleet(f)
	return f, hub
}

// observeFleet lets a collector see requests that were sent over a time, a third of them keyed.
func observeFleet(f *fleetLoad, c *fleet.Collector, requests int, req *poll.Request) {
	now := clock.Now()
	for range requests {
		p := fleetServers[rand.IntN(len(fleetServers))]
		svc := f.processes[p]
		c.Offered(now, svc, p)
		c.Sent(now, svc, p)
		answered := fleetServers[rand.IntN(len(fleetServers))]
		work := time.Duration(float64(140*time.Millisecond) * (0.6 + rand.Float64()))
		c.Answered(now, now.Add(-work-time.Duration(rand.IntN(100))*time.Millisecond), f.processes[answered], answered, work, fleet.Load{Known: true, Running: 1 + rand.IntN(4), Waiting: rand.IntN(12)})
		if req == nil {
			continue
		}
		req.LatencySums[answered.Server] = assign.LatencySum{N: 1, Total: work}
		if svc == "history" {
			req.Cells[svc][uint16(rand.IntN(4096))]++
		}
	}
}

// Guards against control traffic above 5 KB/s of a VM: as JSON a list has 16 KB.
// It counts all bytes of a VM's polls, with the counts of keys and of answers in them.
func TestTheLoadOfAllServersFitsIntoTheControlTraffic(t *testing.T) {
	const servers, perSecond, limit = 185, 2000, 5000
	assert.Equal(t, len(fleetServers), servers)
	for _, vms := range []int{65, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			t.Parallel()
			leader, hub := newLoneFleet("vm-leader")
			hub.SetLease(elect.Lease{Holder: "vm-leader", Incarnation: hub.Incarnation(), Epoch: 7}, true)
			web := httptest.NewServer(hub.Handler(leader.mergeReport))
			defer web.Close()
			addr := netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
			follower, _ := newLoneFleet("vm-data-centre-a-12")
			client := poll.NewClient()
			var others fleet.Collector
			var fleetBytes int
			run := func(polls int) (took time.Duration) {
				for range polls {
					req := &poll.Request{VM: "vm-data-centre-a-12", Addr: "10.20.30.40:7102", CPUs: 0.25, Centre: "data-centre-a", Incarnation: hub.Incarnation(), RulesRev: 1234, ServersRev: 123_456, LatencySums: map[ident.Server]assign.LatencySum{}, Cells: map[ident.Service]poll.CellCounts{"history": {}}}
					req.Lease, _ = hub.Lease()
					each := perSecond * 3 / 10 / vms
					observeFleet(follower, &follower.collector, each, req)
					observeFleet(leader, &others, perSecond*3/10-each, nil)
					leader.mu.Lock()
					leader.merge(clock.Now(), others.Take(clock.Now(), leader.isOn).Samples)
					leader.mu.Unlock()
					asked := clock.Now()
					batch := follower.report(req)
					resp, err := client.Poll(t.Context(), addr, req, nil)
					assert.NilError(t, err)
					follower.applyLeader(asked, req, &resp, batch)
					took += clock.Now().Sub(asked)
					fleetBytes += (len(req.Samples.Packed) + len(resp.Fleet.Packed)) * 4 / 3
				}
				return took
			}
			run(2) // the second response holds the last names
			names := client.Bytes()
			fleetBytes = 0
			took := run(8).Seconds()
			rate := float64(client.Bytes()-names) / took
			s := follower.stats(clock.Now())
			t.Logf("%d VMs: %.0f bytes/s, of which %.0f are samples and lists; %d bytes for the first two polls; %d entries, %v old on average", vms, rate, float64(fleetBytes)/took, names, s.entries, s.meanAge)
			assert.Assert(t, rate < limit)
			assert.Assert(t, s.entries > servers*9/10, "few servers are known: %d", s.entries)
		})
	}
}
