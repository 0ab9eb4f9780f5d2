package world

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

type span struct{ from, to time.Duration }

// segment is a stretch of time in which a server would have served a set: its
// lease was unexpired on its own clock.
type segment struct {
	span
	set uint64
}

// realEnd is the moment of the history at which the server's clock reaches a
// reading.
func (s *Server) realEnd(end time.Duration) time.Duration {
	return s.bootAt + time.Duration(float64(end)/s.rate)
}

// serve notes in the record that the server serves set until end.
func (l *lane) serve(set uint64, end time.Duration) {
	now := l.s.w.now
	if last := l.last(); l.open && last.set == set && last.to >= now {
		last.to = l.s.realEnd(end)
	} else {
		l.close(now)
		l.segments = append(l.segments, segment{span{now, l.s.realEnd(end)}, set})
		l.open = true
	}
	l.set, l.end = set, end
}

// close ends the stretch that is open.
func (l *lane) close(at time.Duration) {
	if l.open {
		l.last().to = min(l.last().to, at)
	}
	l.open = false
}

func (l *lane) last() *segment {
	if len(l.segments) == 0 {
		return &segment{}
	}
	return &l.segments[len(l.segments)-1]
}

// serves reports whether the server would serve a bit under this lease now.
func (l *lane) serves(bit uint64) bool {
	last := l.last()
	return l.open && last.set&bit != 0 && last.from <= l.s.w.now && l.s.w.now < last.to
}

// Check looks through the servers' records for two owners at one moment, and
// returns all violations of the history.
func (w *World) Check() []string {
	for i, a := range w.Servers {
		for _, b := range w.Servers[i+1:] {
			w.compare(a, b)
		}
	}
	return w.Errs
}

func (w *World) compare(a, b *Server) {
	for _, x := range a.lanes {
		for _, y := range b.lanes {
			w.compareLanes(x, y)
		}
	}
}

func (w *World) compareLanes(a, b *lane) {
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
				w.Errs = append(w.Errs, fmt.Sprintf("two owners of bit %d: %s (seat %s) %v-%v and %s (seat %s) %v-%v",
					bits.TrailingZeros64(both), a.s.Name, a.seat, x.from, x.to, b.s.Name, b.seat, y.from, y.to))
				return
			}
		}
	}
}

// Unavailable returns how long no server served a slice in a stretch of the
// history. A frozen or dead server serves nobody, whatever its lease says.
func (w *World) Unavailable(slice int, from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, s := range w.Servers {
		for _, g := range s.served(1<<slice, from, to) {
			sum += g.to - g.from - s.absent(g.from, g.to)
		}
	}
	return to - from - sum
}

// served lists when the server served a bit, under whichever lease, without
// overlaps.
func (s *Server) served(bit uint64, from, to time.Duration) []span {
	var all, out []span
	for _, l := range s.lanes {
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

func (s *Server) absent(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, a := range s.away {
		if lo, hi := max(a.from, from), min(a.to, to); lo < hi {
			sum += hi - lo
		}
	}
	return sum
}

// Served reports whether a slice has an owner at this moment that is neither
// frozen nor dead.
func (w *World) Served(slice int) bool {
	for _, s := range w.Servers {
		for _, l := range s.lanes {
			if !s.Dead && !s.Frozen() && l.serves(1<<slice) {
				return true
			}
		}
	}
	return false
}

// LeaseEnd returns the moment of the history at which the server's own lease ends.
func (s *Server) LeaseEnd() time.Duration { return s.realEnd(s.lane(s.Name).end) }

// StandbyServed reports whether a server ever served keys of another one's seat.
func (w *World) StandbyServed() bool {
	for _, s := range w.Servers {
		for _, l := range s.lanes {
			if l.seat != s.Name && len(l.segments) > 0 {
				return true
			}
		}
	}
	return false
}

// StandBy returns the server that stands by for another one now, or nil.
func (w *World) StandBy(seat ident.Server) *Server {
	for _, s := range w.Servers {
		if s.Name != seat && s.lane(seat).serves(^uint64(0)) {
			return s
		}
	}
	return nil
}
