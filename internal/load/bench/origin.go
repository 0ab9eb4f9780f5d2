package bench

import (
	"math"
	"slices"
	"time"
)

// Parameters of the fake servers and the network.
const (
	hopDelay        = 750 * time.Microsecond // one way between data centres
	connectDelay    = time.Millisecond       // to open a connection
	coldFactor      = 4.0                    // extra work of a cold server's first answer, in multiples of the normal work
	coldAnswers     = 100.0                  // answers after which the extra work has decayed to 1/e
	resumeDelay     = time.Millisecond       // from the end of a freeze until work continues
	shedQueueFactor = 8                      // a server refuses requests when its queue is this many times its slots
)

// attempt is one request on one server.
type attempt struct {
	req      *request
	running  bool
	load     int                // requests at the server when it answered
	done     bool               // answered or cancelled
	onAnswer func(refused bool) // called once, unless cancelled
}

// origin is a fake backend server with slots and a FIFO queue.
type origin struct {
	clock          *clock
	slots          int
	places         int // requests that it holds; a further one is never answered; zero if it refuses those
	hung           int // requests that found no place
	speed          float64
	busy           int
	queue          []*attempt
	slowFactor     float64
	frozen         bool
	failing        bool
	finishedFrozen []*attempt
	cold           bool
	served         int
	busyTime       time.Duration // total time for which slots were occupied
	lastReport     int           // load at the previous report
}

func (o *origin) load() int { return o.busy + len(o.queue) }

func (o *origin) arrive(a *attempt) {
	if a.done {
		return
	}
	if o.places > 0 && o.load() >= o.places {
		o.hung++
		a.req.hung++
		return
	}
	if o.failing || o.places == 0 && len(o.queue) >= shedQueueFactor*o.slots {
		o.answer(a, true)
		return
	}
	o.queue = append(o.queue, a)
	o.startQueued()
}

func (o *origin) answer(a *attempt, refused bool) {
	o.clock.after(hopDelay, func() {
		if !a.done {
			a.done = true
			a.onAnswer(refused)
		}
	})
}

func (o *origin) startQueued() {
	for o.busy < o.slots && len(o.queue) > 0 && !o.frozen {
		a := o.queue[0]
		o.queue = o.queue[1:]
		if a.done {
			continue
		}
		o.busy++
		a.running = true
		took := seconds(a.req.work.Seconds() * o.workFactor())
		o.busyTime += took
		o.clock.after(took, func() { o.finish(a) })
	}
}

// workFactor returns by how much a slow or cold server stretches the work of a request.
func (o *origin) workFactor() float64 {
	f := 1.0
	if o.speed > 0 {
		f = 1 / o.speed
	}
	if o.slowFactor > 0 {
		f *= o.slowFactor
	}
	if o.cold {
		f *= 1 + coldFactor*math.Exp(-float64(o.served)/coldAnswers)
	}
	return f
}

func (o *origin) finish(a *attempt) {
	if !a.running {
		return // cancelled: the slot was freed then
	}
	if o.frozen {
		o.finishedFrozen = append(o.finishedFrozen, a)
		return
	}
	a.running = false
	o.busy--
	o.served++
	o.startQueued()
	a.load = o.load()
	o.answer(a, false)
}

// cancel stops an attempt whose answer is no longer needed, freeing its slot or queue
// place.
func (o *origin) cancel(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	if a.running && !o.frozen {
		a.running = false
		o.busy--
		o.startQueued()
		return
	}
	if i := slices.Index(o.queue, a); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
	}
}

func (o *origin) freeze() { o.frozen = true }

// thaw ends a freeze: requests that would have finished during it finish after
// resumeDelay, and queued ones start.
func (o *origin) thaw() {
	o.frozen = false
	for _, a := range o.finishedFrozen {
		o.clock.after(resumeDelay, func() { o.finish(a) })
	}
	o.finishedFrozen = nil
	o.startQueued()
}
