package world

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// span is an interval of simulated time.
type span struct{ from, to time.Duration }

// segment is an interval in which a server held an unexpired lease, by its own
// clock, for the same set of slices and hot keys.
type segment struct {
	span
	set uint64
}

// toSimTime returns the simulated time at which the server's clock reads end.
func (s *Server) toSimTime(end time.Duration) time.Duration {
	return s.startedAt + time.Duration(float64(end)/s.clockRate)
}

// setServed records that the server serves set until end on its own clock.
func (l *serverLease) setServed(set uint64, end time.Duration) {
	now := l.s.w.now
	if last := l.lastSegment(); l.segmentOpen && last.set == set && last.to >= now {
		last.to = l.s.toSimTime(end)
	} else {
		l.closeSegment(now)
		l.segments = append(l.segments, segment{span{now, l.s.toSimTime(end)}, set})
		l.segmentOpen = true
	}
	l.set, l.end = set, end
}

// closeSegment ends the open segment, if any.
func (l *serverLease) closeSegment(at time.Duration) {
	if l.segmentOpen {
		l.lastSegment().to = min(l.lastSegment().to, at)
	}
	l.segmentOpen = false
}

func (l *serverLease) lastSegment() *segment {
	if len(l.segments) == 0 {
		return &segment{}
	}
	return &l.segments[len(l.segments)-1]
}

// servesNow reports whether the lease allows serving any of the given bits now.
func (l *serverLease) servesNow(bit uint64) bool {
	last := l.lastSegment()
	return l.segmentOpen && last.set&bit != 0 && last.from <= l.s.w.now && l.s.w.now < last.to
}

// Check searches the servers' records for two owners of the same slice or hot key
// at the same time, and returns all violations of the simulation so far.
func (w *World) Check() []string {
	for i, a := range w.Servers {
		for _, b := range w.Servers[i+1:] {
			w.compareServers(a, b)
		}
	}
	return w.Errs
}

func (w *World) compareServers(a, b *Server) {
	for _, x := range a.leases {
		for _, y := range b.leases {
			w.compareLeases(x, y)
		}
	}
}

func (w *World) compareLeases(a, b *serverLease) {
	j := 0
	for _, x := range a.segments {
		for j < len(b.segments) && b.segments[j].to <= x.from {
			j++
		}
		for _, y := range b.segments[j:] {
			if y.from >= x.to {
				break
			}
			if both := x.set & y.set; both != 0 && max(x.from, y.from) < min(x.to, y.to) {
				w.Errs = append(w.Errs, fmt.Sprintf("two owners of bit %d: %s (lessor %s) %v-%v and %s (lessor %s) %v-%v",
					bits.TrailingZeros64(both), a.s.Name, a.lessor, x.from, x.to, b.s.Name, b.lessor, y.from, y.to))
				return
			}
		}
	}
}

// Unavailable returns for how much of the interval no server served a slice. A
// frozen or dead server serves no requests, even with an unexpired lease.
func (w *World) Unavailable(slice int, from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, s := range w.Servers {
		for _, g := range s.served(1<<slice, from, to) {
			sum += g.to - g.from - s.unavailableWithin(g.from, g.to)
		}
	}
	return to - from - sum
}

// served returns the intervals in which the server served a bit under any of its
// leases, merged so that they do not overlap.
func (s *Server) served(bit uint64, from, to time.Duration) []span {
	var all, out []span
	for _, l := range s.leases {
		for _, g := range l.segments {
			if a := (span{max(g.from, from), min(g.to, to)}); g.set&bit != 0 && a.from < a.to {
				all = append(all, a)
			}
		}
	}
	slices.SortFunc(all, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	for _, a := range all {
		if n := len(out); n > 0 && a.from <= out[n-1].to {
			out[n-1].to = max(out[n-1].to, a.to)
			continue
		}
		out = append(out, a)
	}
	return out
}

// unavailableWithin returns how long the server was frozen or dead in an interval.
func (s *Server) unavailableWithin(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, a := range s.outages {
		if lo, hi := max(a.from, from), min(a.to, to); lo < hi {
			sum += hi - lo
		}
	}
	return sum
}

// Served reports whether a slice has an owner now that is neither frozen nor dead.
func (w *World) Served(slice int) bool {
	for _, s := range w.Servers {
		for _, l := range s.leases {
			if !s.Dead && !s.Frozen() && l.servesNow(1<<slice) {
				return true
			}
		}
	}
	return false
}

// LeaseEnd returns the simulated time at which the server's lease for its own keys
// ends.
func (s *Server) LeaseEnd() time.Duration { return s.toSimTime(s.lease(s.Name).end) }

// StandbyServed reports whether any server ever served another server's keys as
// its standby.
func (w *World) StandbyServed() bool {
	for _, s := range w.Servers {
		for _, l := range s.leases {
			if l.lessor != s.Name && len(l.segments) > 0 {
				return true
			}
		}
	}
	return false
}

// Standby returns the server that now serves the lessor's keys as a standby, or nil.
func (w *World) Standby(lessor ident.Server) *Server {
	for _, s := range w.Servers {
		if s.Name != lessor && s.lease(lessor).servesNow(^uint64(0)) {
			return s
		}
	}
	return nil
}
