package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// owners knows of all instances of a divided service which keys they hold and on which keys they are
// at work, and judges the rule OWNER.
type owners struct {
	rig *rig

	mu       sync.Mutex
	changed  *sync.Cond
	holdEnd  map[*server]*[keySpace]time.Time // when a hold would have run out, released or not
	running  map[*server]map[int]int          // requests at work, by key
	began    int
	grants   int
	releases int
	extras   int
	broken   int
}

func newOwners(r *rig) *owners {
	o := &owners{rig: r, holdEnd: map[*server]*[keySpace]time.Time{}, running: map[*server]map[int]int{}}
	o.changed = sync.NewCond(&o.mu)
	return o
}

func (o *owners) add(s *server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holdEnd[s], o.running[s] = &[keySpace]time.Time{}, map[int]int{}
	s.sharded, s.owners = true, o
}

func (o *owners) noteExtra(s *server, path string) {
	o.mu.Lock()
	o.extras++
	o.mu.Unlock()
	o.rig.record("instance %s will send its answer to a %s once more, where the next answer is due", s.id, path)
}

// begin begins a request if its instance holds its key now. It returns a function that ends it.
func (o *owners) begin(s *server, q *http.Request) (end func(), ok bool) {
	key, err := strconv.ParseUint(q.Header.Get(nKey), 10, 16)
	o.mu.Lock()
	defer o.mu.Unlock()
	s.mu.Lock()
	held := err == nil && time.Now().Before(s.until[key])
	s.mu.Unlock()
	if !held {
		return nil, false
	}
	o.running[s][int(key)]++
	o.began++
	return func() {
		o.mu.Lock()
		o.running[s][int(key)]--
		o.changed.Broadcast()
		o.mu.Unlock()
	}, true
}

// grant gives an instance keys, unless it has seen a higher fence on one of them.
func (o *owners) grant(s *server, from, to int, fence uint64, hold time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := from; k <= to; k++ {
		if s.fence[k] > fence {
			return false
		}
	}
	now := time.Now()
	o.grants++
	for k := from; k <= to; k++ {
		taken := s.fence[k] != fence || !now.Before(s.until[k])
		s.fence[k], s.until[k] = fence, now.Add(hold)
		o.holdEnd[s][k] = now.Add(hold)
		if taken {
			o.judge(s, k, now)
		}
	}
	return true
}

// judge checks a key that an instance was given now. The caller holds both locks.
func (o *owners) judge(s *server, key int, now time.Time) {
	for other, running := range o.running {
		if other == s || running[key] == 0 || !now.Before(o.holdEnd[other][key]) {
			continue
		}
		o.broken++
		o.rig.record("OWNER: %s is given key %d while %s is at work on it; that one's hold would have lasted %.2f s longer",
			s.id, key, other.id, o.holdEnd[other][key].Sub(now).Seconds())
	}
}

// release stops new work on keys and waits for the work that is running on them.
func (o *owners) release(s *server, from, to int, fence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.mu.Lock()
	o.releases++
	for k := from; k <= to; k++ {
		s.fence[k] = max(s.fence[k], fence)
		s.until[k] = time.Time{}
	}
	s.mu.Unlock()
	for o.isBusy(s, from, to) {
		o.changed.Wait()
	}
}

func (o *owners) isBusy(s *server, from, to int) bool {
	for k, n := range o.running[s] {
		if n > 0 && k >= from && k <= to {
			return true
		}
	}
	return false
}

func (o *owners) busy(s *server, from, to int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isBusy(s, from, to)
}
