package world

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Server is a fake backend server. It keeps its leases on its own clock, and a record
// of what it served and when in simulated time.
type Server struct {
	Name     ident.Server
	Centre   int
	Dead     bool
	Draining bool

	w           *World
	index       int
	clockRate   float64       // seconds of the server's clock per simulated second
	startedAt   time.Duration // simulated time at which the process started
	bootID      uint64        // differs for every process
	frozenUntil time.Duration
	pending     []func() // calls received while frozen, run on thaw

	// leases holds one lease for each lessor that granted any: the server's own, and
	// those of servers whose standby it is.
	leases  []*serverLease
	outages []span // intervals in which it was frozen or dead
}

// serverLease is a server's lease from one lessor, and the record of it.
type serverLease struct {
	s      *Server
	lessor ident.Server

	fence ident.Fence
	rev   ident.Revision
	end   time.Duration // end of the lease, on the server's clock
	set   uint64        // slices and hot keys served: see World.bitsOf

	segments    []segment
	segmentOpen bool
}

// lease returns the lease from a lessor, creating an empty one if there is none.
func (s *Server) lease(lessor ident.Server) *serverLease {
	for _, l := range s.leases {
		if l.lessor == lessor {
			return l
		}
	}
	l := &serverLease{s: s, lessor: lessor}
	s.leases = append(s.leases, l)
	return l
}

func newServer(w *World, i int, name ident.Server) *Server {
	s := &Server{Name: name, Centre: i % w.Opt.Centres, w: w, index: i}
	s.start()
	return s
}

// start begins a new server process, without any lease.
func (s *Server) start() {
	s.Dead = false
	s.clockRate = s.w.randomClockRate()
	s.startedAt = s.w.now
	s.bootID = s.w.rng.Uint64() | 1
	for _, l := range s.leases {
		l.fence, l.rev, l.end, l.set = ident.Fence{}, 0, 0, 0
	}
}

// localTime reads the server's own clock, which starts with the process.
func (s *Server) localTime() time.Duration {
	return time.Duration(float64(s.w.now-s.startedAt) * s.clockRate)
}

// Frozen reports whether the process is suspended. Its clock keeps running.
func (s *Server) Frozen() bool { return s.w.now < s.frozenUntil }

// Freeze suspends the process for d of simulated time; on thaw it handles the calls
// received meanwhile.
func (s *Server) Freeze(d time.Duration) {
	if s.Dead || s.Frozen() {
		return
	}
	s.frozenUntil = s.w.now + d
	s.outages = append(s.outages, span{s.w.now, s.frozenUntil})
	s.w.At(s.frozenUntil, func() {
		todo := s.pending
		s.pending = nil
		for _, do := range todo {
			s.run(do)
		}
	})
}

// Kill ends the process, losing its state, and restarts it after restartAfter; a
// negative value means never.
func (s *Server) Kill(restartAfter time.Duration) {
	if s.Dead {
		return
	}
	for _, l := range s.leases {
		l.closeSegment(s.w.now)
	}
	s.Dead, s.pending, s.frozenUntil = true, nil, 0
	if restartAfter < 0 {
		s.outages = append(s.outages, span{s.w.now, 1 << 62})
		return
	}
	s.outages = append(s.outages, span{s.w.now, s.w.now + restartAfter})
	s.w.after(restartAfter, s.start)
}

// run handles a call: at once, on thaw if the server is frozen (at most 1000 calls
// are kept), or never if it is dead.
func (s *Server) run(do func()) {
	switch {
	case s.Dead:
	case s.Frozen():
		if len(s.pending) < 1000 {
			s.pending = append(s.pending, do)
		}
	default:
		do()
	}
}

func (l *serverLease) read() server.Reply { return l.reply(true, "") }

func (l *serverLease) reply(done bool, why string) server.Reply {
	now := l.s.localTime()
	return server.Reply{
		Done: done, Reason: why, Fence: l.fence, Rev: l.rev, Left: max(l.end-now, 0),
		Mark: server.Mark{Boot: l.s.bootID, At: now},
	}
}

// apply carries out an order by the rules that package server describes.
func (l *serverLease) apply(o server.Order, revoke bool) server.Reply {
	end, now, w := o.Mark.At+o.TTL, l.s.localTime(), l.s.w
	switch {
	case o.Mark.Boot != l.s.bootID || now >= end:
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
		l.setServed(l.set&w.bitsOf(o), l.end)
		l.rev = o.Rev
	case o.Full:
		l.setServed(w.bitsOf(o), end)
		l.rev = o.Rev
	default:
		l.setServed(l.set, max(l.end, end))
	}
	return l.reply(true, "")
}

// bitsOf returns the set of an order as a bit mask: one bit for each slice, standing
// for its keys that are not hot, then one bit for each hot key.
func (w *World) bitsOf(o server.Order) uint64 {
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

func (w *World) server(name ident.Server) *Server { return w.serversByName[name] }
