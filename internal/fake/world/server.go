package world

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Server is a fake backend server. It keeps its lease on its own clock, and a
// record of what it served and when, in the history's time.
type Server struct {
	Name     ident.Server
	Centre   int
	Dead     bool
	Draining bool

	w        *World
	index    int
	rate     float64
	bootAt   time.Duration
	boot     uint64
	frozenTo time.Duration
	waiting  []func() // read on thaw

	// lanes are its leases, one for each seat that granted it any: its own, and
	// those that it stands by for.
	lanes []*lane
	away  []span // frozen or dead
}

// lane is a server's lease under one seat, and the record of it.
type lane struct {
	s    *Server
	seat ident.Server

	fence ident.Fence
	rev   ident.Revision
	end   time.Duration // of the lease, on the server's clock
	set   uint64        // slices and hot keys served: see World.bits

	segments []segment
	open     bool
}

// lane returns the lease under a seat.
func (s *Server) lane(seat ident.Server) *lane {
	for _, l := range s.lanes {
		if l.seat == seat {
			return l
		}
	}
	l := &lane{s: s, seat: seat}
	s.lanes = append(s.lanes, l)
	return l
}

func newServer(w *World, i int, name ident.Server) *Server {
	s := &Server{Name: name, Centre: i % w.Opt.Centres, w: w, index: i}
	s.start()
	return s
}

func (s *Server) start() {
	s.Dead = false
	s.rate = s.w.rate()
	s.bootAt = s.w.now
	s.boot = s.w.rng.Uint64() | 1
	for _, l := range s.lanes {
		l.fence, l.rev, l.end, l.set = ident.Fence{}, 0, 0, 0
	}
}

func (s *Server) local() time.Duration {
	return time.Duration(float64(s.w.now-s.bootAt) * s.rate)
}

// Frozen reports whether the process stands still. Its clock goes on.
func (s *Server) Frozen() bool { return s.w.now < s.frozenTo }

// Freeze stops the process for a while; on waking it reads what came meanwhile.
func (s *Server) Freeze(d time.Duration) {
	if s.Dead || s.Frozen() {
		return
	}
	s.frozenTo = s.w.now + d
	s.away = append(s.away, span{s.w.now, s.frozenTo})
	s.w.At(s.frozenTo, func() {
		todo := s.waiting
		s.waiting = nil
		for _, do := range todo {
			s.run(do)
		}
	})
}

// Kill ends the process with its memory, and starts it anew after a while; a
// negative time means never.
func (s *Server) Kill(back time.Duration) {
	if s.Dead {
		return
	}
	for _, l := range s.lanes {
		l.close(s.w.now)
	}
	s.Dead, s.waiting, s.frozenTo = true, nil, 0
	if back < 0 {
		s.away = append(s.away, span{s.w.now, 1 << 62})
		return
	}
	s.away = append(s.away, span{s.w.now, s.w.now + back})
	s.w.after(back, s.start)
}

func (s *Server) run(do func()) {
	switch {
	case s.Dead:
	case s.Frozen():
		if len(s.waiting) < 1000 {
			s.waiting = append(s.waiting, do)
		}
	default:
		do()
	}
}

func (l *lane) read() server.Reply { return l.reply(true, "") }

func (l *lane) reply(done bool, why string) server.Reply {
	now := l.s.local()
	return server.Reply{
		Done: done, Reason: why, Fence: l.fence, Rev: l.rev, Left: max(l.end-now, 0),
		Mark: server.Mark{Boot: l.s.boot, At: now},
	}
}

// obey takes an order, as package server describes it.
func (l *lane) obey(o server.Order, revoke bool) server.Reply {
	end, now, w := o.Mark.At+o.TTL, l.s.local(), l.s.w
	switch {
	case o.Mark.Boot != l.s.boot || now >= end:
		return l.reply(false, server.ReasonLate)
	case w.Opt.FenceChecks && o.Fence.Less(l.fence):
		return l.reply(false, server.ReasonFence)
	case !revoke && !o.Full && (now >= l.end || l.rev != o.Rev):
		return l.reply(false, server.ReasonRev)
	}
	if l.fence.Less(o.Fence) {
		l.fence = o.Fence
	}
	switch {
	case revoke:
		l.serve(l.set&w.bits(o), l.end)
		l.rev = o.Rev
	case o.Full:
		l.serve(w.bits(o), end)
		l.rev = o.Rev
	default:
		l.serve(l.set, max(l.end, end))
	}
	return l.reply(true, "")
}

// bits gives each slice one bit, for its keys that are not hot, and each hot
// key its own.
func (w *World) bits(o server.Order) uint64 {
	var set uint64
	for _, x := range o.Slices {
		set |= 1 << x
	}
	for i, k := range w.Hot {
		mine := slices.Contains(o.Slices, ident.SliceOf(k, uint32(w.Opt.Slices))) && !slices.Contains(o.Except, k)
		if mine || slices.Contains(o.Keys, k) {
			set |= 1 << (w.Opt.Slices + i)
		}
	}
	return set
}

func (w *World) server(name ident.Server) *Server { return w.names[name] }
