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
	// crowdedLoad is the reported load, in slots, from which requests are spaced.
	crowdedLoad = 2.0
	// initialPaceFraction is the part of an even share's pause that spacing begins with.
	initialPaceFraction = 0.25
	// minPaceInterval is a pause that makes no difference any more.
	minPaceInterval = 5 * time.Millisecond
	// paceIdleTimeout is the time without a request for a key after which its pause is dropped.
	paceIdleTimeout = 2 * time.Second
	// maxUnpacedVMsPerSlot is how many VMs for each slot are many: servers queue a few requests for
	// each slot.
	maxUnpacedVMsPerSlot = 8
	// workTimeDivisor averages a few answers.
	workTimeDivisor = 4
)

// keyPace is the pause between two requests of this VM for one key.
type keyPace struct {
	interval    time.Duration
	lastStart   time.Time // the last request was started
	lastRequest time.Time // a caller asked for the key
}

// nextStart is when the next request may start.
func (s *keyPace) nextStart() time.Time { return s.lastStart.Add(s.interval) }

// keyPaceSet are those of a service's keys, whoever owns them: a hot key that moves is as
// hot at its next owner. The zero value is ready to use. Its size grows with the keys for
// which this VM was turned away lately.
type keyPaceSet struct {
	byKey   map[fair.Flow]*keyPace
	sweptAt time.Time
}

// find returns the key's spacing, nil where its requests are not spaced.
func (s *keyPaceSet) find(now time.Time, key fair.Flow) *keyPace {
	sp := s.byKey[key]
	if sp == nil || now.Sub(sp.lastRequest) > paceIdleTimeout {
		return nil
	}
	return sp
}

// findOrCreate returns the key's spacing, a new one if need be.
func (s *keyPaceSet) findOrCreate(now time.Time, key fair.Flow, started time.Time) *keyPace {
	s.dropIdle(now)
	if sp := s.find(now, key); sp != nil {
		return sp
	}
	if s.byKey == nil {
		s.byKey = map[fair.Flow]*keyPace{}
	}
	s.byKey[key] = &keyPace{lastStart: started, lastRequest: now}
	return s.byKey[key]
}

// dropIdle forgets keys that have cooled down.
func (s *keyPaceSet) dropIdle(now time.Time) {
	if now.Sub(s.sweptAt) < paceIdleTimeout {
		return
	}
	s.sweptAt = now
	for key, sp := range s.byKey {
		if now.Sub(sp.lastRequest) > paceIdleTimeout {
			delete(s.byKey, key)
		}
	}
}

// delay returns how long it takes until a request for the key may start, and notes that
// somebody asked for it.
func (s *keyPaceSet) delay(now time.Time, key fair.Flow) time.Duration {
	sp := s.find(now, key)
	if sp == nil {
		return 0
	}
	sp.lastRequest = now
	return max(sp.nextStart().Sub(now), 0)
}

// noteStart notes the start of a request.
func (s *keyPaceSet) noteStart(now time.Time, key fair.Flow) {
	if sp := s.byKey[key]; sp != nil {
		sp.lastStart = now
	}
}

// canOverrun reports whether the VMs together, with one request each, could overrun the
// server's queue. Few of them cannot, and spacing their requests would leave slots
// idle.
func (c *Core) canOverrun(s *server) bool {
	return c.share.VMs > maxUnpacedVMsPerSlot*max(s.info.Slots, 1)
}

// evenInterval is the pause that gives each VM the same part of what a server can do.
func (c *Core) evenInterval(s *server) time.Duration {
	work := cmp.Or(s.workTime, c.typicalLatency(s.limitKind)) // it may have answered others only
	return work * time.Duration(c.share.VMs) / time.Duration(max(s.info.Slots, 1))
}

// observeWork takes in how long an answer took. What the server reported with it tells
// how much of that was waiting for others.
func (s *server) observeWork(t *Ticket, took time.Duration) {
	if s.reportedAt.Before(t.startedAt) {
		return
	}
	slots := max(s.info.Slots, 1)
	work := took * time.Duration(slots) / time.Duration(max(s.reportedLoad+1, slots))
	if s.workTime == 0 {
		s.workTime = work
		return
	}
	s.workTime += (work - s.workTime) / workTimeDivisor
}

// adjustPace takes in what a server reported with an answer.
func (c *Core) adjustPace(now time.Time, s *server, t *Ticket) {
	if t.Job.Server == "" || s.reportedAt.Before(t.startedAt) {
		return
	}
	if float64(s.reportedLoad) < crowdedLoad*float64(max(s.info.Slots, 1)) {
		if sp := c.keyPaces.find(now, t.keyFlow); sp != nil {
			if sp.interval /= 2; sp.interval < minPaceInterval {
				sp.interval = 0
			}
		}
		return
	}
	if !c.canOverrun(s) {
		return
	}
	even := c.evenInterval(s)
	sp := c.keyPaces.findOrCreate(now, t.keyFlow, t.startedAt)
	sp.interval = min(max(2*sp.interval, time.Duration(initialPaceFraction*float64(even))), even)
}

// paceAtEvenShare takes in that a server turned a request away, or broke its connection: some
// reset what they have no room for.
func (c *Core) paceAtEvenShare(now time.Time, s *server, t *Ticket) {
	if t.Job.Server != "" && c.canOverrun(s) {
		c.keyPaces.findOrCreate(now, t.keyFlow, t.startedAt).interval = c.evenInterval(s)
	}
}
