package assign

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// simServer is a simulated backend server with slots, a queue and a speed.
type simServer struct {
	speed      float64
	slotFreeAt []time.Time // when each slot has served all requests assigned to it so far
	ends       []time.Time // of the requests that run or wait
}

// serve adds a request and returns when it ends, and how many were running and waiting.
func (s *simServer) serve(now time.Time, work time.Duration) (end time.Time, running, waiting int) {
	slot := 0
	for i, at := range s.slotFreeAt {
		if at.Before(s.slotFreeAt[slot]) {
			slot = i
		}
	}
	begin := s.slotFreeAt[slot]
	if begin.Before(now) {
		begin = now
	}
	end = begin.Add(time.Duration(float64(work) / s.speed))
	s.slotFreeAt[slot] = end
	s.ends = slices.DeleteFunc(s.ends, func(at time.Time) bool { return !at.After(now) })
	pending := len(s.ends)
	s.ends = append(s.ends, end)
	return end, min(pending, len(s.slotFreeAt)), max(pending-len(s.slotFreeAt), 0)
}

// Servers of different speeds start with equally many keys, so requests always wait at the slow
// ones. If only answers without waiting requests counted, their speed would never be learned,
// and callers of their keys would be delayed or refused indefinitely.
func TestSlowServersGetFewerKeysWhileTheyAreOverloaded(t *testing.T) {
	const (
		work  = 150 * time.Millisecond
		slots = 2
		rate  = 110.0 // requests a second: two thirds of what all servers can do
	)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	m := New()
	tick := TickMsg{Authority: Authority{Epoch: 1, Until: now.Add(time.Hour), OldTermEnd: now}}
	servers := map[ident.Server]*simServer{}
	var listed []Server
	for n := range 14 {
		name := ident.Server("s" + strconv.Itoa(n))
		servers[name] = &simServer{speed: []float64{0.5, 1, 1, 1.5}[n%4], slotFreeAt: make([]time.Time, slots)}
		listed = append(listed, Server{Name: name, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: slots})
	}
	var execute func(cmds []loop.Cmd)
	update := func(msg loop.Msg) { _, cmds := m.Update(now, msg); execute(cmds) }
	execute = func(cmds []loop.Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case WriteCmd:
				update(WriteResultMsg{Version: 1})
			case OrderCmd:
				var done []OrderResult
				for _, o := range c.Orders {
					done = append(done, OrderResult{Order: o, Sent: now})
				}
				update(OrderResultMsg{Server: c.Server, Incarnation: c.Incarnation, Results: done})
			}
		}
	}
	update(tick)
	update(ReadResultMsg{Kind: kinds.NotFound})
	update(ServersMsg{Servers: listed})

	type counts struct{ asked, late int }
	const period = 40 * time.Second
	halves := [2]counts{}
	load := LoadMsg{Cells: map[uint16]uint32{}, Servers: map[ident.Server]LatencySum{}}
	begin, next, reportedAt := now, now.Add(3*time.Second), now
	for ; now.Before(begin.Add(period)); now = now.Add(10 * time.Millisecond) {
		update(tick)
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
			key := uint16(rng.UintN(ranges.KeySpace))
			load.Cells[key/ranges.CellWidth]++
			s := servers[m.table.Rows[m.table.Find(key)].Owner]
			if s == nil {
				continue
			}
			cost := time.Duration(float64(work) * math.Exp(rng.NormFloat64()/2-0.125))
			end, running, waiting := s.serve(next, cost)
			half := &halves[0]
			if now.Sub(begin) > period/2 {
				half = &halves[1]
			}
			half.asked++
			if end.Sub(next) > 400*time.Millisecond {
				half.late++
			}
			name := m.table.Rows[m.table.Find(key)].Owner
			sum := load.Servers[name]
			load.Servers[name] = LatencySum{N: sum.N + 1, Total: sum.Total + EstimateWork(end.Sub(next), max(running, 1), waiting)}
		}
		if now.Sub(reportedAt) >= 300*time.Millisecond {
			reportedAt = now
			update(load)
			load = LoadMsg{Cells: map[uint16]uint32{}, Servers: map[ident.Server]LatencySum{}}
		}
	}
	share := float64(halves[1].late) / float64(halves[1].asked)
	t.Logf("late: %+v, in the second half %.3f", halves, share)
	// With loads in proportion to speeds, some 6 in 100 take longer than 400 ms because of
	// their own work and random variation alone.
	assert.Assert(t, share < 0.15, "%.3f are late", share)
}
