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

// slotted is a backend server in a simulation: some slots, a queue, and a speed.
type slotted struct {
	speed float64
	free  []time.Time // when each slot is free, for those that came so far
	ends  []time.Time // of the requests that run or wait
}

// take runs a request and returns when it ends, and how many ran and waited then.
func (s *slotted) take(now time.Time, work time.Duration) (end time.Time, running, waiting int) {
	slot := 0
	for i, at := range s.free {
		if at.Before(s.free[slot]) {
			slot = i
		}
	}
	begin := s.free[slot]
	if begin.Before(now) {
		begin = now
	}
	end = begin.Add(time.Duration(float64(work) / s.speed))
	s.free[slot] = end
	s.ends = slices.DeleteFunc(s.ends, func(at time.Time) bool { return !at.After(now) })
	there := len(s.ends)
	s.ends = append(s.ends, end)
	return end, min(there, len(s.free)), max(there-len(s.free), 0)
}

// Fourteen servers whose speeds differ by three to one start with the same number of
// keys each. The slow ones are overrun from the first second on, so others wait at
// nearly all of their answers. Were a server's speed learned only from answers at which
// nobody waits, theirs would never be: each would go on being given a full part of the
// load, and callers of its keys would be late or refused for the rest of the day.
func TestSlowServersGetFewerKeysAlthoughTheyAreCrowded(t *testing.T) {
	const (
		work  = 150 * time.Millisecond
		slots = 2
		rate  = 110.0 // requests a second: two thirds of what all servers can do
	)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	m := New()
	tick := TickMsg{Authority: Authority{Epoch: 1, Until: now.Add(time.Hour), OldTermEnd: now}}
	servers := map[ident.Server]*slotted{}
	var hosts []Server
	for n := range 14 {
		name := ident.Server("s" + strconv.Itoa(n))
		servers[name] = &slotted{speed: []float64{0.5, 1, 1, 1.5}[n%4], free: make([]time.Time, slots)}
		hosts = append(hosts, Server{Name: name, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: slots})
	}
	var run func(cmds []loop.Cmd)
	tell := func(msg loop.Msg) { _, cmds := m.Update(now, msg); run(cmds) }
	run = func(cmds []loop.Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case WriteCmd:
				tell(WriteResultMsg{Version: 1})
			case OrderCmd:
				var done []OrderResult
				for _, o := range c.Orders {
					done = append(done, OrderResult{Order: o, Sent: now})
				}
				tell(OrderResultMsg{Server: c.Server, Incarnation: c.Incarnation, Results: done})
			}
		}
	}
	tell(tick)
	tell(ReadResultMsg{Kind: kinds.NotFound})
	tell(ServersMsg{Servers: hosts})

	type seen struct{ asked, late int }
	const day = 40 * time.Second
	halves := [2]seen{}
	load := LoadMsg{Cells: map[uint16]uint32{}, Servers: map[ident.Server]LatencySum{}}
	begin, next, told := now, now.Add(3*time.Second), now
	for ; now.Before(begin.Add(day)); now = now.Add(10 * time.Millisecond) {
		tell(tick)
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
			key := uint16(rng.UintN(ranges.KeySpace))
			load.Cells[key/ranges.CellWidth]++
			s := servers[m.table.Rows[m.table.Find(key)].Owner]
			if s == nil {
				continue
			}
			one := time.Duration(float64(work) * math.Exp(rng.NormFloat64()/2-0.125))
			end, running, waiting := s.take(next, one)
			half := &halves[0]
			if now.Sub(begin) > day/2 {
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
		if now.Sub(told) >= 300*time.Millisecond {
			told = now
			tell(load)
			load = LoadMsg{Cells: map[uint16]uint32{}, Servers: map[ident.Server]LatencySum{}}
		}
	}
	share := float64(halves[1].late) / float64(halves[1].asked)
	t.Logf("late: %+v, in the second half %.3f", halves, share)
	// With loads in proportion to speeds some 6 in 100 take longer than 400 ms by their work
	// and by chance alone.
	assert.Assert(t, share < 0.15, "%.3f are late", share)
}
