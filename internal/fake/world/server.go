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
	Name   ident.Server
	Centre int
	Dead   bool
	Drains bool

	w        *World
	index    int
	rate     float64
	bootAt   time.Duration
	boot     uint64
	frozenTo time.Duration
	waiting  []func() // read on thaw

	fence ident.Fence
	rev   ident.Revision
	end   time.Duration // of the lease, on its own clock
	set   uint64        // slices and hot keys served: see World.bits

	segments []segment
	open     bool
	away     []span // frozen or dead
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
	s.fence, s.rev, s.end, s.set = ident.Fence{}, 0, 0, 0
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
	s.close(s.w.now)
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

func (s *Server) read() server.Reply { return s.reply(true, "") }

func (s *Server) reply(done bool, why string) server.Reply {
	return server.Reply{
		Done: done, Why: why, Fence: s.fence, Rev: s.rev, Left: max(s.end-s.local(), 0),
		Mark: server.Mark{Boot: s.boot, At: s.local()},
	}
}

// obey takes an order, as package server describes it.
func (s *Server) obey(o server.Order, revoke bool) server.Reply {
	end := o.Mark.At + o.TTL
	switch {
	case o.Mark.Boot != s.boot || s.local() >= end:
		return s.reply(false, server.WhyLate)
	case s.w.Opt.Checks && o.Fence.Less(s.fence):
		return s.reply(false, server.WhyFence)
	case !revoke && !o.Full && (s.local() >= s.end || s.rev != o.Rev):
		return s.reply(false, server.WhyRev)
	}
	if s.fence.Less(o.Fence) {
		s.fence = o.Fence
	}
	switch {
	case revoke:
		s.serve(s.set&s.w.bits(o), s.end)
		s.rev = o.Rev
	case o.Full:
		s.serve(s.w.bits(o), end)
		s.rev = o.Rev
	default:
		s.serve(s.set, max(s.end, end))
	}
	return s.reply(true, "")
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
