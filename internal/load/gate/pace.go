package gate

import (
	"cmp"
	"time"
)

// The load pattern is one hot key while many entry VMs share its owner. A VM's limit
// never falls below one request, or it would be starved; but a hundred VMs with one
// request each are a hundred on a server with two slots and a queue of eight. It
// refuses most of them, or resets their connections, and nobody can say any more
// whether those ran. So while a server reports that as many wait there as it has
// slots, each VM also spaces its requests, up to its even part of what the server can
// do. What does not fit into that is known at once and refused with the time to come
// back.
//
// Grounds: the report comes with each answer, so a VM hears of a crowd after its
// first request. The pause doubles at each such report and halves at each other one:
// four reports lead from nothing to an even part, and back to nothing when the key
// cools down or when others want less than their part.

const (
	// crowdedAt is the reported load, in slots, from which requests are spaced.
	crowdedAt = 2.0
	// firstPace is the part of an even share's pause that spacing begins with.
	firstPace = 0.25
	// leastPace is a pause that makes no difference any more.
	leastPace = 5 * time.Millisecond
	// manyVMs is how many VMs for each slot are many: servers queue a few requests for
	// each slot.
	manyVMs = 8
	// workFollow averages a few answers.
	workFollow = 4
)

// many reports whether the VMs together, with one request each, could overrun the
// server's queue. Few of them cannot, and spacing their requests would leave slots
// idle.
func (c *Core) many(s *server) bool { return c.share.VMs > manyVMs*max(s.info.Slots, 1) }

// evenPace is the pause that gives each VM the same part of what a server can do.
func (c *Core) evenPace(s *server) time.Duration {
	work := cmp.Or(s.work, c.typical(s.kind)) // it may have answered others only
	return work * time.Duration(c.share.VMs) / time.Duration(max(s.info.Slots, 1))
}

// learnWork takes in how long an answer took. What the server reported with it tells
// how much of that was waiting for others.
func (s *server) learnWork(now time.Time, took time.Duration) {
	if s.toldAt.Before(now) {
		return
	}
	slots := max(s.info.Slots, 1)
	work := took * time.Duration(slots) / time.Duration(max(s.told+1, slots))
	if s.work == 0 {
		s.work = work
		return
	}
	s.work += (work - s.work) / workFollow
}

// paceBy takes in a server's report.
func (c *Core) paceBy(s *server, load int) {
	if float64(load) < crowdedAt*float64(max(s.info.Slots, 1)) {
		if s.pace /= 2; s.pace < leastPace {
			s.pace = 0
		}
		return
	}
	if !c.many(s) {
		return
	}
	even := c.evenPace(s)
	s.pace = min(max(2*s.pace, time.Duration(firstPace*float64(even))), even)
}

// paceOut takes in that a server turned a request away, or broke its connection: some
// reset what they have no room for.
func (c *Core) paceOut(s *server) {
	if c.many(s) {
		s.pace = c.evenPace(s)
	}
}
