package gate

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// moveQueue holds the requests of a slice, or of a key with an owner of its own, while
// it is between owners.
type moveQueue struct {
	key        ident.Key     // of the first request, for the owner lookup
	owner      Owner         // the owner that refused last
	since      time.Time     // when the move was first noticed
	refusedAt  time.Time     // when that owner refused
	probeAt    time.Time     // when a waiting request is sent as a probe
	probeDelay time.Duration // between the last two probes
	waiting    []*Ticket     // in order of arrival
}

// moveQueueSet holds all move queues of a service, by slice or by key.
type moveQueueSet struct {
	bySlice      map[ident.Slice]*moveQueue
	byKey        map[ident.Key]*moveQueue
	perCaller    map[ident.Caller]int // number of waiting requests of each caller
	n            int                  // number of waiting requests
	lossDuration time.Duration        // average duration of recent moves after a loss
}

// find returns the move queue for a request, or nil if there is none.
func (s *moveQueueSet) find(j *Job) *moveQueue {
	switch {
	case j.Key == "":
		return nil
	case j.HotKey:
		return s.byKey[j.Key]
	default:
		return s.bySlice[j.Slice]
	}
}

// findOrCreate returns the move queue for a request, creating it if necessary.
func (s *moveQueueSet) findOrCreate(now time.Time, j *Job) *moveQueue {
	if found := s.find(j); found != nil {
		return found
	}
	if s.bySlice == nil {
		s.bySlice, s.byKey = map[ident.Slice]*moveQueue{}, map[ident.Key]*moveQueue{}
		s.perCaller = map[ident.Caller]int{}
	}
	q := &moveQueue{key: j.Key, since: now, probeAt: now.Add(firstProbeDelay), probeDelay: firstProbeDelay}
	if j.HotKey {
		s.byKey[j.Key] = q
	} else {
		s.bySlice[j.Slice] = q
	}
	return q
}

// retain calls do for every move queue and deletes those for which it returns false.
func (s *moveQueueSet) retain(do func(*moveQueue) bool) {
	for name, q := range s.byKey {
		if !do(q) {
			delete(s.byKey, name)
		}
	}
	for name, q := range s.bySlice {
		if !do(q) {
			delete(s.bySlice, name)
		}
	}
}

// remaining returns how long a move is expected to last from now on.
func (s *moveQueueSet) remaining(now time.Time, q *moveQueue) time.Duration {
	age := now.Sub(q.since)
	if age < maxPlannedMove {
		return 0
	}
	duration := s.lossDuration
	if duration == 0 {
		duration = defaultLossDuration
	}
	return max(duration-age, 0)
}

// observeDuration updates the average duration of moves after a loss.
func (s *moveQueueSet) observeDuration(now time.Time, q *moveQueue) {
	age := now.Sub(q.since)
	if age < maxPlannedMove {
		return
	}
	if s.lossDuration == 0 {
		s.lossDuration = defaultLossDuration
	}
	s.lossDuration = (s.lossDuration + age) / lossDurationDivisor
}

// hasRoom reports whether another request of the caller may wait: each caller may have
// as many waiting as there are free places. So one hot caller takes at most half of the
// places, and the others always find some.
func (s *moveQueueSet) hasRoom(limit int, c ident.Caller) bool { return s.perCaller[c] < limit-s.n }

// insert queues a request by its arrival: a probe that was refused does not go behind
// requests that arrived later.
func (s *moveQueueSet) insert(q *moveQueue, t *Ticket) {
	i, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if a.Job.arrivedAt.After(b.Job.arrivedAt) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, i, t)
	t.moveQueue = q
	s.perCaller[t.Job.Caller]++
	s.n++
}

func (s *moveQueueSet) remove(t *Ticket) {
	i := slices.Index(t.moveQueue.waiting, t)
	t.moveQueue.waiting = slices.Delete(t.moveQueue.waiting, i, i+1)
	s.uncount(t)
}

// uncount removes a request that has left its queue from the counters.
func (s *moveQueueSet) uncount(t *Ticket) {
	t.moveQueue = nil
	s.n--
	if s.perCaller[t.Job.Caller]--; s.perCaller[t.Job.Caller] == 0 {
		delete(s.perCaller, t.Job.Caller)
	}
}

// expire passes the requests whose deadline has come to drop, and returns the next
// deadline.
func (s *moveQueueSet) expire(now time.Time, drop func(*Ticket)) time.Time {
	var next time.Time
	s.retain(func(q *moveQueue) bool {
		q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
			if now.Before(t.item.Deadline) {
				if next.IsZero() || t.item.Deadline.Before(next) {
					next = t.item.Deadline
				}
				return false
			}
			s.uncount(t)
			drop(t)
			return true
		})
		return true
	})
	return next
}
