// Package bench measures what callers receive under load: it runs the gates of
// several entry VMs, or a naive policy, against fake backend servers, on a
// clock of its own.
//
// It is a discrete-event harness and no cluster simulator: arrivals, one hop to
// a server, slots and a queue there, an answer. Everything is drawn from seeds,
// so that a run gives the same figures every time, and the same arrivals and
// service times meet each policy.
//
//	rows := bench.Run(bench.Scenes(bench.Basin())[0], bench.Ours, 1)
package bench

import (
	"math"
	"time"
)

// epoch is the start of the harness's clock; any fixed time will do.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e event) before(o event) bool {
	return e.at < o.at || (e.at == o.at && e.seq < o.seq)
}

// clock runs events in order of time, and of arrival within the same moment.
type clock struct {
	now  time.Duration
	seq  uint64
	heap []event
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+max(d, 0), do) }

func (c *clock) at(at time.Duration, do func()) {
	c.seq++
	c.heap = append(c.heap, event{max(at, c.now), c.seq, do})
	i := len(c.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !c.heap[i].before(c.heap[up]) {
			return
		}
		c.heap[i], c.heap[up] = c.heap[up], c.heap[i]
		i = up
	}
}

// run carries out events until the given time.
func (c *clock) run(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		e := c.heap[0]
		c.pop()
		c.now = e.at
		e.do()
	}
	c.now = until
}

// drain carries out what is left.
func (c *clock) drain() {
	for len(c.heap) > 0 {
		c.run(c.heap[0].at)
	}
}

func (c *clock) pop() {
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && c.heap[child].before(c.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
