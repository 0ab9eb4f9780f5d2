package bench

import (
	"math"
	"slices"
	"time"
)

// Figures of the fake servers and the network between.
const (
	hop       = 750 * time.Microsecond // one way between data centres
	openTime  = time.Millisecond       // for a new connection
	coldTimes = 4.0                    // a cold server's first answers take this much longer
	coldCount = 100.0                  // answers over which that fades
	resume    = time.Millisecond       // after a freeze, until work goes on
	shedAt    = 8                      // a queue this many times the slots is shed
)

// attempt is one request on one server.
type attempt struct {
	req     *request
	running bool
	over    bool               // answered, or cancelled
	left    func(refused bool) // called once, unless cancelled
}

// origin is a fake backend server: slots, and a queue in order of arrival.
type origin struct {
	clock  *clock
	slots  int
	busy   int
	queue  []*attempt
	slow   float64
	frozen bool
	fails  bool
	stuck  []*attempt
	cold   bool
	served int
	work   time.Duration // slot time given
	told   int           // load at the last report
}

func (o *origin) load() int { return o.busy + len(o.queue) }

func (o *origin) arrive(a *attempt) {
	if a.over {
		return
	}
	if o.fails || len(o.queue) >= shedAt*o.slots {
		o.answer(a, true)
		return
	}
	o.queue = append(o.queue, a)
	o.next()
}

func (o *origin) answer(a *attempt, refused bool) {
	o.clock.after(hop, func() {
		if !a.over {
			a.over = true
			a.left(refused)
		}
	})
}

func (o *origin) next() {
	for o.busy < o.slots && len(o.queue) > 0 && !o.frozen {
		a := o.queue[0]
		o.queue = o.queue[1:]
		if a.over {
			continue
		}
		o.busy++
		a.running = true
		took := seconds(a.req.demand.Seconds() * o.factor())
		o.work += took
		o.clock.after(took, func() { o.finish(a) })
	}
}

func (o *origin) factor() float64 {
	f := 1.0
	if o.slow > 0 {
		f = o.slow
	}
	if o.cold {
		f *= 1 + coldTimes*math.Exp(-float64(o.served)/coldCount)
	}
	return f
}

func (o *origin) finish(a *attempt) {
	if !a.running {
		return // cancelled: the slot was freed then
	}
	if o.frozen {
		o.stuck = append(o.stuck, a)
		return
	}
	a.running = false
	o.busy--
	o.served++
	o.next()
	o.answer(a, false)
}

// cancel stops work on an attempt whose answer is not wanted any more.
func (o *origin) cancel(a *attempt) {
	if a.over {
		return
	}
	a.over = true
	if a.running && !o.frozen {
		a.running = false
		o.busy--
		o.next()
		return
	}
	if i := slices.Index(o.queue, a); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
	}
}

func (o *origin) freeze() { o.frozen = true }

// thaw goes on as if nothing had happened.
func (o *origin) thaw() {
	o.frozen = false
	for _, a := range o.stuck {
		o.clock.after(resume, func() { o.finish(a) })
	}
	o.stuck = nil
	o.next()
}
