package gate

import (
	"cmp"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/fair"
)

// This file handles one hot key whose owner is shared by many entry VMs. A VM's limit
// never falls below one request, or it would be starved; but a hundred VMs with one
// request each put a hundred on a server with two slots and a queue of eight. The
// server refuses most of them, or resets their connections, and then nobody can tell
// whether those ran. So while a server reports at least crowdedLoad requests for each
// slot, each VM also spaces its requests for the key that it asked for, down to an even
// share of what the server can process. Requests that do not fit are refused at once
// with the time after which to retry.
//
// The owner's other keys are not spaced. With one pace for all keys of an owner, the hot
// key would use each start that the pace allows, and the owner's other keys would be
// refused although it could serve them.
//
// The report comes with each answer, so a VM learns after its first request that the
// owner is crowded. The interval doubles at each such report and halves at each other
// one. A VM that gets no more requests for the key drops the interval.

const (
	// crowdedLoad is the reported load, in requests for each slot, from which requests
	// are spaced.
	crowdedLoad = 2.0
	// initialPaceFraction is the interval with which spacing begins, as a part of that
	// of an even share.
	initialPaceFraction = 0.25
	// minPaceInterval is the interval below which spacing makes no difference and ends.
	minPaceInterval = 5 * time.Millisecond
	// paceIdleTimeout is the time without a request for a key after which its pace is
	// dropped.
	paceIdleTimeout = 2 * time.Second
	// maxUnpacedVMsPerSlot is the number of VMs for each slot up to which requests are
	// not spaced: servers queue a few requests for each slot.
	maxUnpacedVMsPerSlot = 8
	// workTimeDivisor averages about four answers.
	workTimeDivisor = 4
)

// keyPace is the minimum interval between two requests of this VM for one key.
type keyPace struct {
	interval    time.Duration
	lastStart   time.Time // when the last request was started
	lastRequest time.Time // when a caller last sent a request for the key
}

// nextStart returns when the next request may start.
func (p *keyPace) nextStart() time.Time { return p.lastStart.Add(p.interval) }

// keyPaceSet holds the paces of a service's keys, whoever owns them: a hot key that
// moves is as hot at its next owner. The zero value is ready to use. Its size grows
// with the number of keys for which this VM was recently refused.
type keyPaceSet struct {
	byKey   map[fair.Flow]*keyPace
	sweptAt time.Time
}

// find returns the key's pace, or nil if its requests are not spaced.
func (s *keyPaceSet) find(now time.Time, key fair.Flow) *keyPace {
	p := s.byKey[key]
	if p == nil || now.Sub(p.lastRequest) > paceIdleTimeout {
		return nil
	}
	return p
}

// findOrCreate returns the key's pace, creating it if necessary.
func (s *keyPaceSet) findOrCreate(now time.Time, key fair.Flow, started time.Time) *keyPace {
	s.dropIdle(now)
	if p := s.find(now, key); p != nil {
		return p
	}
	if s.byKey == nil {
		s.byKey = map[fair.Flow]*keyPace{}
	}
	s.byKey[key] = &keyPace{lastStart: started, lastRequest: now}
	return s.byKey[key]
}

// dropIdle removes the paces of keys without requests for paceIdleTimeout.
func (s *keyPaceSet) dropIdle(now time.Time) {
	if now.Sub(s.sweptAt) < paceIdleTimeout {
		return
	}
	s.sweptAt = now
	for key, p := range s.byKey {
		if now.Sub(p.lastRequest) > paceIdleTimeout {
			delete(s.byKey, key)
		}
	}
}

// delay returns how long a request for the key has to wait, and records that a caller
// sent a request for the key.
func (s *keyPaceSet) delay(now time.Time, key fair.Flow) time.Duration {
	p := s.find(now, key)
	if p == nil {
		return 0
	}
	p.lastRequest = now
	return max(p.nextStart().Sub(now), 0)
}

// noteStart records the start of a request.
func (s *keyPaceSet) noteStart(now time.Time, key fair.Flow) {
	if p := s.byKey[key]; p != nil {
		p.lastStart = now
	}
}

// canOverrun reports whether all VMs together, with one request each, could exceed the
// server's queue. A few VMs cannot, and spacing their requests would leave slots idle.
func (c *Core) canOverrun(s *server) bool {
	return c.share.VMs > maxUnpacedVMsPerSlot*max(s.info.Slots, 1)
}

// evenInterval returns the interval between starts that gives each VM the same part of
// the server's capacity.
func (c *Core) evenInterval(s *server) time.Duration {
	work := cmp.Or(s.workTime, c.typicalLatency(s.limitKind)) // the server may have answered only other VMs
	return work * time.Duration(c.share.VMs) / time.Duration(max(s.info.Slots, 1))
}

// observeWork updates the estimate of the server's work time from an answer. The load
// reported with it tells how much of the latency was spent waiting for other requests.
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

// adjustPace adjusts the key's pace to the load that the server reported with an
// answer.
func (c *Core) adjustPace(now time.Time, s *server, t *Ticket) {
	if t.Job.Server == "" || s.reportedAt.Before(t.startedAt) {
		return
	}
	if float64(s.reportedLoad) < crowdedLoad*float64(max(s.info.Slots, 1)) {
		if p := c.keyPaces.find(now, t.keyFlow); p != nil {
			if p.interval /= 2; p.interval < minPaceInterval {
				p.interval = 0
			}
		}
		return
	}
	if !c.canOverrun(s) {
		return
	}
	even := c.evenInterval(s)
	p := c.keyPaces.findOrCreate(now, t.keyFlow, t.startedAt)
	p.interval = min(max(2*p.interval, time.Duration(initialPaceFraction*float64(even))), even)
}

// paceAtEvenShare sets the key's pace to an even share, because the server refused a
// request or broke its connection: some servers reset what they have no room for.
func (c *Core) paceAtEvenShare(now time.Time, s *server, t *Ticket) {
	if t.Job.Server != "" && c.canOverrun(s) {
		c.keyPaces.findOrCreate(now, t.keyFlow, t.startedAt).interval = c.evenInterval(s)
	}
}
