package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Limits of a Collector.
const (
	// maxCollected bounds the processes of servers of which a VM collects samples. The
	// largest fleet that is served has some hundred servers.
	maxCollected = 1024
	// maxPending bounds the unanswered attempts at one process that wait for proof that it
	// serves later requests. A few are enough as evidence.
	maxPending = 4
	// pendingMemory is how long they wait. A VM sends each server a request every 3 to 20 s.
	pendingMemory = 30 * time.Second
	// maxReportAge bounds the age of a load report that is passed on.
	maxReportAge = 10 * time.Second
	// maxCountAge is the time to which the counts of a report are scaled down if they began
	// earlier: all requests of a time without a leader, taken as those of one report, would
	// be a burst that there was not.
	maxCountAge = time.Second
	// crowdedMemory is how long before an unanswered attempt a server may have stated that
	// requests wait there for the attempt to count as one at a full server.
	crowdedMemory = time.Second
)

// Load is what a server states about its load with an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
}

// Collector collects what this VM observes of each server until it is reported. The zero
// value has seen nothing, and a nil Collector collects nothing. It is safe for concurrent
// use.
type Collector struct {
	mu     sync.Mutex
	seen   map[ident.Process]*observed
	since  time.Time // when the counts began
	states map[ident.Service]State
}

// observed is what was observed of one process.
type observed struct {
	Sample
	service   ident.Service
	updated   time.Time
	loadAt    time.Time
	servedAt  time.Time   // when the newest answered request was sent
	crowdedAt time.Time   // when it last stated that requests wait there
	pending   []time.Time // when unanswered attempts were sent, to which no later one was answered yet
}

// update changes what is known of a process.
func (c *Collector) update(now time.Time, svc ident.Service, p ident.Process, do func(*observed)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen, c.states = map[ident.Process]*observed{}, map[ident.Service]State{}
	}
	if c.since.IsZero() {
		c.since = now
	}
	o := c.seen[p]
	if o == nil {
		c.evict()
		o = &observed{service: svc}
		c.seen[p] = o
	}
	o.updated = now
	do(o)
}

// evict makes room for another process.
func (c *Collector) evict() {
	if len(c.seen) < maxCollected {
		return
	}
	var oldest ident.Process
	for p, o := range c.seen {
		if at := c.seen[oldest]; at == nil || o.updated.Before(at.updated) {
			oldest = p
		}
	}
	delete(c.seen, oldest)
}

// Sent records that an attempt is sent to a process.
func (c *Collector) Sent(now time.Time, svc ident.Service, p ident.Process) {
	c.update(now, svc, p, func(o *observed) { o.Sent++ })
}

// Offered records a request that is for a process, whether or not the gate lets it go there.
func (c *Collector) Offered(now time.Time, svc ident.Service, p ident.Process) {
	c.update(now, svc, p, func(o *observed) { o.Offered++ })
}

// Answered records an answer to a request that was sent at a time, the estimated service
// time, which is zero if the request was not served, and the load stated with it.
func (c *Collector) Answered(now, sent time.Time, svc ident.Service, p ident.Process, work time.Duration, l Load) {
	c.update(now, svc, p, func(o *observed) {
		if work > 0 {
			o.Sample.Answered++
			o.Work += work
		}
		c.noteLoad(now, o, l)
		o.noteServed(now, sent)
	})
}

// Refused records that a process refused a request because it was full.
func (c *Collector) Refused(now time.Time, svc ident.Service, p ident.Process, l Load) {
	c.update(now, svc, p, func(o *observed) {
		o.Sample.Refused++
		o.pending = nil
		c.noteLoad(now, o, l)
		c.states[svc] = c.states[svc].merge(State{Full: FullAnswers})
	})
}

// Unanswered records that a request that was sent at a time was not answered at the deadline
// that was sent with it, on a connection that stayed open.
func (c *Collector) Unanswered(now, sent time.Time, svc ident.Service, p ident.Process) {
	c.update(now, svc, p, func(o *observed) {
		if len(o.pending) < maxPending {
			o.pending = append(o.pending, sent)
		}
		o.settle(now)
	})
}

// noteLoad records the load that a process has stated.
func (c *Collector) noteLoad(now time.Time, o *observed, l Load) {
	if !l.Known {
		return
	}
	o.Load, o.loadAt = l.Running+l.Waiting, now
	if l.Waiting > 0 {
		o.crowdedAt = now
	}
}

func (o *observed) noteServed(now, sent time.Time) {
	if sent.After(o.servedAt) {
		o.servedAt = sent
	}
	o.settle(now)
}

// settle counts the unanswered attempts for which this VM has since got an answer to a later
// request from the same process: neither the process nor the path to it was lost. Of a
// server that states its load, it counts only those around which requests waited there: a
// request that took longer than its deadline is no sign of a full server.
func (o *observed) settle(now time.Time) {
	o.pending = slices.DeleteFunc(o.pending, func(sent time.Time) bool {
		if now.Sub(sent) > pendingMemory {
			return true
		}
		if !o.servedAt.After(sent) {
			return false
		}
		if o.loadAt.IsZero() || o.crowdedAt.After(sent.Add(-crowdedMemory)) {
			o.Silent++
		}
		return true
	})
}

// Batch is what one report contains.
type Batch struct {
	Samples []Sample
	since   time.Time // when its counts began
}

// Take returns what was observed since the last call. Of a service for which whole returns
// false it returns only the servers with evidence of how full servers behave.
func (c *Collector) Take(now time.Time, whole func(ident.Service) bool) Batch {
	if c == nil {
		return Batch{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := 1.0
	if d := now.Sub(c.since); d > maxCountAge {
		keep = maxCountAge.Seconds() / d.Seconds()
		c.since = now.Add(-maxCountAge)
	}
	b := Batch{since: c.since}
	c.since = time.Time{}
	for p, o := range c.seen {
		s := o.sample(now, p)
		o.Sample = Sample{Load: o.Load}
		s.scale(keep)
		isEvidence := s.Refused > 0 || s.Silent > 0
		if isEvidence || s.Sent+s.Offered+s.Answered > 0 && whole(o.service) {
			b.Samples = append(b.Samples, s)
		}
		if now.Sub(o.updated) > pendingMemory {
			delete(c.seen, p)
		}
	}
	slices.SortFunc(b.Samples, func(x, y Sample) int {
		return cmp.Or(cmp.Compare(x.Server, y.Server), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return b
}

// scale keeps a part of the counts of requests.
func (s *Sample) scale(keep float64) {
	if keep == 1 {
		return
	}
	part := func(n int) int { return int(math.Round(float64(n) * keep)) }
	answered := part(s.Answered)
	s.Work = s.Work / time.Duration(max(s.Answered, 1)) * time.Duration(answered)
	s.Sent, s.Offered, s.Answered = part(s.Sent), part(s.Offered), answered
}

func (o *observed) sample(now time.Time, p ident.Process) Sample {
	s := o.Sample
	s.Server, s.Incarnation = p.Server, p.Incarnation
	if age := now.Sub(o.loadAt); !o.loadAt.IsZero() && age <= maxReportAge {
		s.LoadAge = max(age, 1)
	} else {
		s.Load = 0
	}
	if age := now.Sub(o.servedAt); !o.servedAt.IsZero() && age <= maxReportAge {
		s.ServedAge = max(age, 1)
	}
	return s
}

// Restore adds a batch that did not reach the leader.
func (c *Collector) Restore(b Batch) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || b.since.Before(c.since) {
		c.since = b.since
	}
	for _, s := range b.Samples {
		o := c.seen[s.Process()]
		if o == nil {
			continue
		}
		o.Sent += s.Sent
		o.Offered += s.Offered
		o.Sample.Answered += s.Answered
		o.Work += s.Work
		o.Sample.Refused += s.Refused
		o.Silent += s.Silent
	}
}

// Observed returns what this VM itself has observed of services.
func (c *Collector) Observed() map[ident.Service]State {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.states)
}
