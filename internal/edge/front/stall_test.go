package front

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/gate"
)

const stallRules = `
[[rule]]
name = "reads"
when = { path = "/reads/{x}" }
then = { service = "viewer", idempotent = true, deadline = "5s", retry = 1 }
[[rule]]
name = "keyed"
when = { path = "/keyed/{x}" }
then = { service = "lookup", key = "path:x", idempotent = true, deadline = "5s", retry = 1 }
[[rule]]
name = "orders"
when = { path = "/orders/{x}" }
then = { service = "viewer", deadline = "5s", retry = 1 }
`

// mute is a server that does not answer the requests that arrive while it is full.
type mute struct {
	mu      sync.Mutex
	full    bool
	late    time.Duration // after which it answers the requests that it had no place for; zero means never
	arrived map[string]int
}

func (m *mute) arrivals(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arrived[path]
}

// ServeHTTP answers with the id of the request.
func (m *mute) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hawthorn-Id")
	m.mu.Lock()
	m.arrived[id]++
	full, late := m.full, m.late
	m.mu.Unlock()
	switch {
	case full && late == 0:
		<-r.Context().Done()
		return
	case full:
		time.Sleep(late)
	default:
		time.Sleep(100 * time.Millisecond)
	}
	w.Header().Set("Hawthorn-Id", id)
	_, _ = w.Write([]byte(id))
}

func (m *mute) set(full bool, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full, m.late = full, late
}

// stallbed is a testbed whose servers are mute when full, and whose gates hear from the fleet
// every 200 ms that each server works and has just answered a request of another VM.
type stallbed struct {
	*testbed
	servers map[ident.Server]*mute
	noFleet atomic.Bool
	load    atomic.Int32 // of each server, according to the fleet
}

func runWithStallbed(t *testing.T, test func(t *testing.T, b *stallbed)) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		b := &stallbed{testbed: tb, servers: map[ident.Server]*mute{}}
		var g group.Group
		var closers []*http.Server
		defer func() {
			for _, s := range closers {
				s.Close()
			}
			assert.NilError(t, g.Close())
		}()
		for name, at := range map[ident.Server]netip.AddrPort{"l1": l1Addr, "l2": l2Addr, "v1": v1Addr, "v2": v2Addr} {
			m := &mute{arrived: map[string]int{}}
			b.servers[name] = m
			s := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
			l := tb.net.Listen(at)
			g.Go(func(context.Context) error {
				_ = s.Serve(l)
				return nil
			})
			closers = append(closers, s)
		}
		tb.setRulesAt(9, stallRules)
		for _, svc := range tb.state.Services() {
			svc.Gate.SetSilent(true)
		}
		g.Go(func(ctx context.Context) error {
			for ok := true; ok; ok = group.Sleep(ctx, 200*time.Millisecond) {
				b.tellFleet()
			}
			return nil
		})
		synctest.Wait()
		test(t, b)
	})
}

func (b *stallbed) tellFleet() {
	if b.noFleet.Load() {
		return
	}
	for _, svc := range b.state.Services() {
		var list []fleet.Entry
		for _, s := range svc.Servers {
			list = append(list, fleet.Entry{Server: s.Name, Load: int(b.load.Load()), LoadAge: 1, ServedAge: time.Millisecond, Work: 100 * time.Millisecond})
		}
		svc.Gate.ApplyFleet(time.Now(), list, 10)
	}
}

func (b *stallbed) gate(svc ident.Service) *gate.Gate {
	s, _ := b.state.Service(svc)
	return s.Gate
}

// send sends a request, whose id is its path, and returns the status and the time it took.
func (b *stallbed) send(method, path string) (status int, ran string, took time.Duration) {
	r := b.request(method, path, nil)
	r.Header.Set("Hawthorn-Id", path)
	start := time.Now()
	resp, body, err := b.do(r)
	assert.NilError(b.t, err)
	if resp.StatusCode == http.StatusOK {
		assert.Equal(b.t, body, path, "the answer belongs to another request")
	}
	return resp.StatusCode, resp.Header.Get(kinds.HeaderRan), time.Since(start)
}

// arrivals returns how often a request arrived at the servers.
func (b *stallbed) arrivalsOf(path string) int {
	n := 0
	for _, m := range b.servers {
		n += m.arrivals(path)
	}
	return n
}

// firstFull makes the server full that the next request of the service goes to, and no other.
func (b *stallbed) firstFull(path string, late time.Duration) {
	for _, m := range b.servers {
		m.set(true, late)
	}
	b.group.Go(func(context.Context) error {
		for b.arrivalsOf(path) == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, m := range b.servers {
			if m.arrivals(path) == 0 {
				m.set(false, 0)
			}
		}
		return nil
	})
}

// Guards against an idempotent request that waits for its timeout at a full server, and
// against one whose late answer reaches the next request on the connection.
func TestAReadAtAFullServerIsServedByAnother(t *testing.T) {
	for name, late := range map[string]time.Duration{"never answered": 0, "answered late": 1200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runWithStallbed(t, func(t *testing.T, b *stallbed) {
				b.firstFull("/reads/1", late)
				status, _, took := b.send("GET", "/reads/1")
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, took > 900*time.Millisecond && took < 1500*time.Millisecond, "%v", took)
				d := b.decisions.last()
				assert.Equal(t, d.Stalled, 1)
				assert.Equal(t, d.Attempts, 2)
				assert.Assert(t, d.StalledAfter > 900*time.Millisecond)
				for i := range 8 {
					status, _, _ = b.send("GET", fmt.Sprintf("/reads/more-%d", i))
					if late > 0 {
						assert.Equal(t, status, http.StatusOK)
					}
					time.Sleep(100 * time.Millisecond)
				}
				st := b.gate("viewer").Stats()
				assert.Assert(t, st.StalledRetried >= 1 && st.StalledLeft == 0)
				assert.Equal(t, st.Running, 0)
			})
		})
	}
}

// Guards against a request that may run once being cut short, sent again or reported as not
// executed, and against the slot that it holds until its deadline.
func TestAnOrderAtAFullServerGoesOn(t *testing.T) {
	runWithStallbed(t, func(t *testing.T, b *stallbed) {
		b.firstFull("/orders/1", 0)
		status, ran, took := b.send("POST", "/orders/1")
		assert.Equal(t, status, http.StatusBadGateway)
		assert.Equal(t, ran, string(kinds.RanUnknown))
		assert.Equal(t, took.Round(10*time.Millisecond), 5*time.Second)
		assert.Equal(t, b.arrivalsOf("/orders/1"), 1)
		assert.Assert(t, strings.Contains(b.decisions.last().Reason, "the server answered later requests"), b.decisions.last().Reason)
		assert.Equal(t, b.gate("viewer").Stats().StalledLeft, uint64(1))

		b.firstFull("/orders/2", 3*time.Second)
		status, _, took = b.send("POST", "/orders/2")
		assert.Equal(t, status, http.StatusOK, "the late answer was not delivered")
		assert.Equal(t, took.Round(10*time.Millisecond), 3*time.Second)
		assert.Equal(t, b.gate("viewer").Stats().Running, 0)
	})
}

// Guards against ending an attempt that nothing can follow, or whose server still works on it:
// while the VM shuts down, without a budget, on a slow server, and without fleet data before
// the wait that the places imply is over. Each answer comes after 1.2 s.
func TestAttemptsThatGoOn(t *testing.T) {
	for name, prepare := range map[string]func(b *stallbed){
		"the VM shuts down": func(b *stallbed) { b.front.SetClosing() },
		"the VM begins to shut down": func(b *stallbed) {
			time.AfterFunc(500*time.Millisecond, b.front.SetClosing)
		},
		"the budget is empty": func(b *stallbed) {
			for range 12 {
				p, err := b.gate("viewer").Enter(b.t.Context(), gate.Job{Repeat: true})
				assert.NilError(b.t, err)
				p.Done(gate.Cancel())
			}
			time.Sleep(time.Second) // as many at once are a burst, in which a VM waits for its turn
		},
		"no fleet data": func(b *stallbed) {
			b.noFleet.Store(true)
			time.Sleep(2 * time.Second)
		},
		"the server has 8 requests": func(b *stallbed) {
			b.load.Store(8)
			time.Sleep(time.Second)
		},
		"full servers answer": func(b *stallbed) { b.gate("viewer").SetSilent(false) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithStallbed(t, func(t *testing.T, b *stallbed) {
				prepare(b)
				b.firstFull("/reads/1", 1200*time.Millisecond)
				status, _, took := b.send("GET", "/reads/1")
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, took.Round(10*time.Millisecond), 1200*time.Millisecond)
				assert.Equal(t, b.arrivalsOf("/reads/1"), 1)
			})
		})
	}
}

// Guards against a slot or a retry that is lost with a caller that leaves, before its attempt is
// found stalled or after.
func TestACallerLeavesAStalledRequest(t *testing.T) {
	for after, left := range map[time.Duration]uint64{500 * time.Millisecond: 0, 2 * time.Second: 1} {
		runWithStallbed(t, func(t *testing.T, b *stallbed) {
			b.firstFull("/orders/1", 0)
			ctx, cancel := context.WithTimeout(t.Context(), after)
			defer cancel()
			r := b.request("POST", "/orders/1", nil).WithContext(ctx)
			r.Header.Set("Hawthorn-Id", "/orders/1")
			_, _, err := b.do(r)
			assert.ErrorContains(t, err, "deadline")
			synctest.Wait()
			assert.Equal(t, b.decisions.last().Kind, kinds.Canceled.String())
			st := b.gate("viewer").Stats()
			assert.Equal(t, st.StalledLeft, left)
			assert.Equal(t, st.Running, 0)
			time.Sleep(5 * time.Second)
			assert.Equal(t, b.gate("viewer").Stats().Stalled, left, "judged after it had ended")
		})
	}
}

// Guards against a request that is lost between two owners: it is found stalled just before or
// after its key gets another owner, which answers it.
func TestAStalledRequestFollowsItsKey(t *testing.T) {
	for _, moveAt := range []time.Duration{500, 1100, 1200, 1250} {
		runWithStallbed(t, func(t *testing.T, b *stallbed) {
			b.servers["l1"].set(true, 0)
			time.AfterFunc(moveAt*time.Millisecond, func() { b.setView("l2") })
			status, _, took := b.send("GET", "/keyed/1")
			assert.Equal(t, status, http.StatusOK, "moved after %v", moveAt*time.Millisecond)
			assert.Assert(t, took < 2*time.Second, "%v", took)
			assert.Equal(t, b.servers["l2"].arrivals("/keyed/1"), 1)
		})
	}
}

// Guards against a request that may run once being sent twice, and against more attempts than
// the rule allows, whatever happens meanwhile: servers get full, the VM shuts down, callers
// leave, keys move, the fleet falls silent.
func TestStalledRequestsKeepTheirBounds(t *testing.T) {
	stalled := uint64(0)
	seeds.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.IntRange(0, 9), 5, 30).Draw(rt, "events")
		waits := rapid.SliceOfN(rapid.IntRange(0, 400), 30, 30).Draw(rt, "waits")
		var faults []string
		runWithStallbed(t, func(t *testing.T, b *stallbed) {
			var paths []string
			moves := 0
			for _, name := range []ident.Server{"v1", "l1"} {
				b.servers[name].set(true, 0)
			}
			all, leave := context.WithCancel(t.Context())
			for i, e := range events {
				switch e {
				case 0, 1, 2, 3, 4, 5:
					path := []string{"/reads/", "/keyed/", "/orders/"}[e%3] + fmt.Sprint(i)
					paths = append(paths, path)
					b.group.Go(func(context.Context) error {
						r := b.request("GET", path, nil).WithContext(all)
						r.Header.Set("Hawthorn-Id", path)
						_, _, _ = b.do(r)
						return nil
					})
				case 6, 7:
					m := b.servers[[]ident.Server{"v1", "l1"}[e-6]]
					m.set(waits[i]%3 > 0, time.Duration(waits[i])*5*time.Millisecond)
				case 8:
					moves++
					b.setView([]ident.Server{"l1", "l2"}[i%2])
				default:
					b.noFleet.Store(i%2 == 0)
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
			}
			if waits[29]%2 == 0 {
				b.front.SetClosing()
			}
			if waits[28]%2 == 0 {
				leave()
			}
			time.Sleep(12 * time.Second)
			leave()
			synctest.Wait()
			for _, path := range paths {
				most := 2
				switch {
				case strings.HasPrefix(path, "/orders/"):
					most = 1
				case strings.HasPrefix(path, "/keyed/"):
					most += moves // to the next owner, which the rule does not count
				}
				if n := b.arrivalsOf(path); n > most {
					faults = append(faults, fmt.Sprintf("%s was sent %d times: %+v", path, n, b.decisions.by(path)))
				}
			}
			for _, svc := range b.state.Services() {
				st := svc.Gate.Stats()
				if st.Running != 0 {
					faults = append(faults, fmt.Sprintf("%s: %d slots lost", svc.Name, st.Running))
				}
				stalled += st.StalledRetried + st.StalledLeft
			}
		})
		assert.Equal(rt, strings.Join(faults, "; "), "")
	})
	assert.Assert(t, stalled > 0)
	t.Logf("%d stalled attempts", stalled)
}
