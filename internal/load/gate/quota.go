package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// This file handles a server that limits the requests that it takes from all VMs together
// (package quota). Each request that is started there uses a permit, whatever it is: new,
// queued, repeated or a probe. Requests for the server's keys wait for the answer to the
// question for permits, and are refused at once if there are none. Requests that may go
// anywhere use the other servers, and this one as far as permits for its share of them are
// granted.

// maxPermitsAsked bounds the permits that are asked for at once for one server.
const maxPermitsAsked = 16

// permitState is the gate's state of a server that limits its requests. The zero value is a
// server that does not.
type permitState struct {
	limited     bool
	permits     []time.Time // when each permit that is held ends, the earliest first
	wanted      int         // permits to ask for
	asked       int         // permits asked for, until the answer
	deniedUntil time.Time   // no permit is expected before
}

// held returns the number of permits that are held now.
func (p *permitState) held(now time.Time) int {
	for len(p.permits) > 0 && !now.Before(p.permits[0]) {
		p.permits = p.permits[1:]
	}
	return len(p.permits)
}

// allows reports whether a request may be started.
func (p *permitState) allows(now time.Time) bool { return !p.limited || p.held(now) > 0 }

// use uses up a permit.
func (p *permitState) use(now time.Time) {
	if p.limited && p.held(now) > 0 {
		p.permits = p.permits[1:]
	}
}

// want asks for permits until n are held.
func (p *permitState) want(now time.Time, n int) {
	if !p.limited || now.Before(p.deniedUntil) {
		return
	}
	p.wanted = max(p.wanted, min(n, maxPermitsAsked)-p.held(now)-p.asked)
}

// denied returns how long there will be no permit; zero if there is one, or one may be
// granted.
func (p *permitState) denied(now time.Time) time.Duration {
	if p.allows(now) || p.asked > 0 {
		return 0
	}
	return max(p.deniedUntil.Sub(now), 0)
}

// PermitAsk is a question for permits for a server.
type PermitAsk struct {
	Server ident.Server
	N      int
}

// PermitAnswer is the answer to a PermitAsk.
type PermitAnswer struct {
	PermitAsk
	Granted int
	Until   time.Time     // when the permits end
	Next    time.Duration // when there will be the next one, if fewer were granted than asked for
}

// TakeAsks returns the permits to ask for. Each ask must be answered with [Core.Permit].
func (c *Core) TakeAsks() []PermitAsk {
	var all []PermitAsk
	for _, s := range c.servers {
		p := &s.permits
		if p.wanted <= 0 {
			continue
		}
		all = append(all, PermitAsk{Server: s.info.Name, N: p.wanted})
		p.asked, p.wanted = p.asked+p.wanted, 0
	}
	return all
}

// wantsPermits reports whether there are permits to ask for.
func (c *Core) wantsPermits() bool {
	for _, s := range c.servers {
		if s.permits.wanted > 0 {
			return true
		}
	}
	return false
}

// Permit handles the answer to an ask.
func (c *Core) Permit(now time.Time, a PermitAnswer) {
	s := c.byName[a.Server]
	if s == nil || !s.permits.limited {
		return
	}
	p := &s.permits
	p.asked = max(p.asked-a.N, 0)
	for range a.Granted {
		p.permits = append(p.permits, a.Until)
	}
	if a.Granted < a.N {
		p.deniedUntil = now.Add(a.Next)
	}
	c.updateAvailable(now, s)
	c.dispatch(now, s)
	if left := p.denied(now); left > 0 {
		c.stats.RefusedLimited += uint64(s.queued())
		c.refuseUntil(now, s.ownLanes, left)
		c.refuseDeniedShared(now)
	}
	c.wantQueued(now, s)
}

// queued returns the number of requests that wait for the server's keys.
func (s *server) queued() int {
	if s.ownLanes == nil {
		return 0
	}
	return s.ownLanes.len()
}

// wantQueued asks for permits for the requests that wait for a server.
func (c *Core) wantQueued(now time.Time, s *server) {
	if !s.permits.limited || s.shedding(now) > 0 {
		return
	}
	n := s.queued()
	if c.shared.len() > 0 && !s.info.Drain {
		n = max(n, 1)
	}
	if n > 0 {
		s.permits.want(now, n)
	}
}

// wantPermits asks for permits after a request was queued for the owner of its key, or for
// any server if owner is nil.
func (c *Core) wantPermits(now time.Time, owner *server) {
	if owner != nil {
		c.wantQueued(now, owner)
		return
	}
	c.wantAllQueued(now)
}

// wantAllQueued asks for permits for all requests that wait.
func (c *Core) wantAllQueued(now time.Time) {
	if c.limitedCount == 0 || c.waiting == 0 {
		return
	}
	for _, s := range c.servers {
		c.wantQueued(now, s)
	}
}

// wantShare asks for a permit for a server with a limit as often as it would get a request
// if it had none.
func (c *Core) wantShare(now time.Time) {
	if c.limitedCount == 0 {
		return
	}
	if s := c.servers[c.rng.IntN(len(c.servers))]; !s.info.Drain && s.shedding(now) == 0 {
		s.permits.want(now, 1)
	}
}

// sharedDenied returns how long no server will take a request that may go to any, if all
// servers have limits and no permits; zero otherwise.
func (c *Core) sharedDenied(now time.Time) time.Duration {
	if c.limitedCount == 0 {
		return 0
	}
	shortest := time.Duration(0)
	for _, s := range c.servers {
		if s.info.Drain || s.cap.closed(now) || s.shedding(now) > 0 {
			continue
		}
		left := s.permits.denied(now)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// refuseDeniedShared refuses the requests that may go to any server if none takes one.
func (c *Core) refuseDeniedShared(now time.Time) {
	left := c.sharedDenied(now)
	if left == 0 {
		return
	}
	c.stats.RefusedLimited += uint64(c.shared.len())
	c.refuseUntil(now, &c.shared, left)
}

// limitedDelay returns how long no request can be started because of a limit: at the owner
// of its key, or at any server if owner is nil.
func (c *Core) limitedDelay(now time.Time, owner *server) time.Duration {
	if owner != nil {
		return owner.permits.denied(now)
	}
	return c.sharedDenied(now)
}

// setLimited sets whether a server limits its requests.
func (c *Core) setLimited(now time.Time, s *server, limited bool) {
	if s.permits.limited == limited {
		return
	}
	s.permits = permitState{limited: limited}
	c.wantQueued(now, s)
}

// liveServer returns the server at an index if a request may be started there now. What the
// sets of available servers say can be older: permits and loans end by themselves.
func (c *Core) liveServer(now time.Time, i int) *server {
	s := c.servers[i]
	timed := s.permits.limited || s.cap.capped || !s.shedUntil.IsZero() || s.placesOn
	if !timed || s.hasRoom(now) {
		return s
	}
	c.updateAvailable(now, s)
	return nil
}
