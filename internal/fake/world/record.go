package world

import (
	"fmt"
	"math/bits"
	"time"
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
func (s *Server) serve(set uint64, end time.Duration) {
	if last := s.last(); s.open && last.set == set && last.to >= s.w.now {
		last.to = s.realEnd(end)
	} else {
		s.close(s.w.now)
		s.segments = append(s.segments, segment{span{s.w.now, s.realEnd(end)}, set})
		s.open = true
	}
	s.set, s.end = set, end
}

// close ends the stretch that is open.
func (s *Server) close(at time.Duration) {
	if s.open {
		s.last().to = min(s.last().to, at)
	}
	s.open = false
}

func (s *Server) last() *segment {
	if len(s.segments) == 0 {
		return &segment{}
	}
	return &s.segments[len(s.segments)-1]
}

// Judge looks through the servers' records for two owners at one moment, and
// returns all violations of the history.
func (w *World) Judge() []string {
	for i, a := range w.Servers {
		for _, b := range w.Servers[i+1:] {
			w.compare(a, b)
		}
	}
	return w.Errs
}

func (w *World) compare(a, b *Server) {
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
				w.Errs = append(w.Errs, fmt.Sprintf("two owners of bit %d: %s %v-%v and %s %v-%v",
					bits.TrailingZeros64(both), a.Name, x.from, x.to, b.Name, y.from, y.to))
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
		for _, g := range s.segments {
			if g.set&(1<<slice) == 0 {
				continue
			}
			a, b := max(g.from, from), min(g.to, to)
			if a < b {
				sum += b - a - s.absent(a, b)
			}
		}
	}
	return to - from - sum
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
		if s.Dead || s.Frozen() || !s.open {
			continue
		}
		if last := s.last(); last.set&(1<<slice) != 0 && last.from <= w.now && w.now < last.to {
			return true
		}
	}
	return false
}

// Until returns the moment of the history at which the server's lease ends.
func (s *Server) Until() time.Duration { return s.realEnd(s.end) }
