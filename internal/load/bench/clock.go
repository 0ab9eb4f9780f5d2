// Package bench simulates load to measure what callers receive: it runs the gates of
// several entry VMs, or a naive policy, against fake backend servers on a simulated
// clock.
//
// The discrete-event model covers arrivals, one network hop to a server, slots and a
// queue there, and the answer; it does not model a whole cluster. All random values are
// drawn from seeds, so a run always gives the same figures, and every policy gets the
// same arrivals and service times.
//
//	rows := bench.Run(bench.Scenarios(bench.Basin())[0], bench.Ours, 1)
package bench

import (
	"math"
	"time"
)

// clockStart is the wall time at simulated time zero; any fixed time works.
var clockStart = time.Unix(1_700_000_000, 0)

// event is a scheduled call.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e event) before(o event) bool {
	return e.at < o.at || (e.at == o.at && e.seq < o.seq)
}

// clock runs events in the order of their time, and those of the same time in the order
// in which they were scheduled. Pending events are kept in a binary heap.
type clock struct {
	now  time.Duration
	seq  uint64
	heap []event
}

func (c *clock) wallTime() time.Time { return clockStart.Add(c.now) }

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+max(d, 0), do) }

// at schedules a call for a time, or for now if that has passed.
func (c *clock) at(at time.Duration, do func()) {
	c.seq++
	c.heap = append(c.heap, event{max(at, c.now), c.seq, do})
	i := len(c.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !c.heap[i].before(c.heap[parent]) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

// run runs all events up to the given time.
func (c *clock) run(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		e := c.heap[0]
		c.pop()
		c.now = e.at
		e.do()
	}
	c.now = until
}

// drain runs all remaining events.
func (c *clock) drain() {
	for len(c.heap) > 0 {
		c.run(c.heap[0].at)
	}
}

// pop removes the first event from the heap.
func (c *clock) pop() {
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && c.heap[child].before(c.heap[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		c.heap[i], c.heap[smallest] = c.heap[smallest], c.heap[i]
		i = smallest
	}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
