package gate

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/fair"
)

// The load pattern is one hot key while many entry VMs share its owner. A VM's limit
// never falls below one request, or it would be starved; but a hundred VMs with one
// request each are a hundred on a server with two slots and a queue of eight. It
// refuses most of them, or resets their connections, and nobody can say any more
// whether those ran. So while a server reports that as many wait there as it has
// slots, each VM also spaces its requests for the key that it asked for, up to its even
// part of what the server can do. What does not fit into that is known at once and
// refused with the time to come back.
//
// The owner's other keys are not spaced. With one pause for all keys of an owner the hot
// key takes each turn, and requests for the others are refused by an owner that could
// serve them.
//
// Grounds: the report comes with each answer, so a VM hears of a crowd after its
// first request. The pause doubles at each such report and halves at each other one.
// Where a VM is no longer asked for the key, it forgets the pause.

const (
	// crowdedAt is the reported load, in slots, from which requests are spaced.
	crowdedAt = 2.0
	// firstPace is the part of an even share's pause that spacing begins with.
	firstPace = 0.25
	// leastPace is a pause that makes no difference any more.
	leastPace = 5 * time.Millisecond
	// coolAfter is the time without a request for a key after which its pause is dropped.
	coolAfter = 2 * time.Second
	// manyVMs is how many VMs for each slot are many: servers queue a few requests for
	// each slot.
	manyVMs = 8
	// workFollow averages a few answers.
	workFollow = 4
)

// spacing is the pause between two requests of this VM for one key.
type spacing struct {
	pause time.Duration
	last  time.Time // the last request was started
	asked time.Time // a caller asked for the key
}

// opens is when the next request may start.
func (s *spacing) opens() time.Time { return s.last.Add(s.pause) }

// spacings are those of a service's keys, whoever owns them: a hot key that moves is as
// hot at its next owner. The zero value is ready to use. Its size grows with the keys for
// which this VM was turned away lately.
type spacings struct {
	by    map[fair.Flow]*spacing
	swept time.Time
}

// find returns the key's spacing, nil where its requests are not spaced.
func (s *spacings) find(now time.Time, key fair.Flow) *spacing {
	sp := s.by[key]
	if sp == nil || now.Sub(sp.asked) > coolAfter {
		return nil
	}
	return sp
}

// open returns the key's spacing, a new one if need be.
func (s *spacings) open(now time.Time, key fair.Flow, started time.Time) *spacing {
	s.sweep(now)
	if sp := s.find(now, key); sp != nil {
		return sp
	}
	if s.by == nil {
		s.by = map[fair.Flow]*spacing{}
	}
	s.by[key] = &spacing{last: started, asked: now}
	return s.by[key]
}

// sweep forgets keys that have cooled down.
func (s *spacings) sweep(now time.Time) {
	if now.Sub(s.swept) < coolAfter {
		return
	}
	s.swept = now
	for key, sp := range s.by {
		if now.Sub(sp.asked) > coolAfter {
			delete(s.by, key)
		}
	}
}

// closed returns how long it takes until a request for the key may start, and notes that
// somebody asked for it.
func (s *spacings) closed(now time.Time, key fair.Flow) time.Duration {
	sp := s.find(now, key)
	if sp == nil {
		return 0
	}
	sp.asked = now
	return max(sp.opens().Sub(now), 0)
}

// started notes the start of a request.
func (s *spacings) started(now time.Time, key fair.Flow) {
	if sp := s.by[key]; sp != nil {
		sp.last = now
	}
}

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
func (s *server) learnWork(t *Ticket, took time.Duration) {
	if s.toldAt.Before(t.at) {
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

// paceBy takes in what a server reported with an answer.
func (c *Core) paceBy(now time.Time, s *server, t *Ticket) {
	if t.Job.Server == "" || s.toldAt.Before(t.at) {
		return
	}
	if float64(s.told) < crowdedAt*float64(max(s.info.Slots, 1)) {
		if sp := c.spaced.find(now, t.key); sp != nil {
			if sp.pause /= 2; sp.pause < leastPace {
				sp.pause = 0
			}
		}
		return
	}
	if !c.many(s) {
		return
	}
	even := c.evenPace(s)
	sp := c.spaced.open(now, t.key, t.at)
	sp.pause = min(max(2*sp.pause, time.Duration(firstPace*float64(even))), even)
}

// paceOut takes in that a server turned a request away, or broke its connection: some
// reset what they have no room for.
func (c *Core) paceOut(now time.Time, s *server, t *Ticket) {
	if t.Job.Server != "" && c.many(s) {
		c.spaced.open(now, t.key, t.at).pause = c.evenPace(s)
	}
}
