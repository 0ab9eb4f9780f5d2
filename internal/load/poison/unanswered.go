package poison

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// unansweredTime is how long an attempt without an answer is kept. The entry of a
	// server that has ended expires within it, also when the list is late.
	unansweredTime = LivenessGrace
	// maxUnanswered bounds the attempts kept for each server, so that a server that times
	// out often does not displace what is known of others.
	maxUnanswered = 64
	// maxSilentServers bounds the servers for which attempts are kept.
	maxSilentServers = 256
)

// Attempt is one attempt of a request at a process of a server.
type Attempt struct {
	Fingerprint Fingerprint
	ID          ident.Request
	Process     ident.Process
	At          time.Time // when it ended
	Announced   bool      // the process has ended after it announced that it leaves, see Settle
}

// Ending is what is known about the end of a process.
type Ending uint8

// How a process may end.
const (
	NotEnded Ending = iota // as far as is known
	Ended                  // without an announcement
	Left                   // after it announced that it leaves
)

// Unanswered holds the latest attempts that were sent and ended without an answer while
// their connection stayed open: by their deadline, because their caller went away or
// because their key moved. Overloaded servers cause many of them, so they are evidence of a
// crash only if the process turns out to have ended. Until then they put no request under
// suspicion.
//
// The zero value is empty; it is not safe for concurrent use.
type Unanswered struct {
	processes map[ident.Process]*attemptRing
}

// attemptRing holds the latest attempts at one process.
type attemptRing struct {
	all    []Attempt
	oldest int // index of the oldest attempt once the ring is full
	latest time.Time
}

func (r *attemptRing) add(a Attempt) {
	r.latest = a.At
	if len(r.all) < maxUnanswered {
		r.all = append(r.all, a)
		return
	}
	r.all[r.oldest] = a
	r.oldest = (r.oldest + 1) % maxUnanswered
}

// since returns the attempts that ended after a time.
func (r *attemptRing) since(t time.Time) []Attempt {
	var found []Attempt
	for _, a := range r.all {
		if a.At.After(t) {
			found = append(found, a)
		}
	}
	return found
}

// Add adds an attempt. It displaces the oldest one when too many are kept.
func (u *Unanswered) Add(a Attempt) {
	r := u.processes[a.Process]
	if r == nil {
		r = u.newRing(a.Process)
	}
	r.add(a)
}

func (u *Unanswered) newRing(p ident.Process) *attemptRing {
	if u.processes == nil {
		u.processes = map[ident.Process]*attemptRing{}
	}
	if len(u.processes) >= maxSilentServers {
		u.evict()
	}
	r := &attemptRing{}
	u.processes[p] = r
	return r
}

// evict removes the attempts at the process whose latest one is the oldest.
func (u *Unanswered) evict() {
	var oldest ident.Process
	var at time.Time
	for p, r := range u.processes {
		if at.IsZero() || r.latest.Before(at) {
			oldest, at = p, r.latest
		}
	}
	delete(u.processes, oldest)
}

// Len returns the number of attempts.
func (u *Unanswered) Len() int {
	n := 0
	for _, r := range u.processes {
		n += len(r.all)
	}
	return n
}

// Processes lists the processes of the attempts.
func (u *Unanswered) Processes() []ident.Process {
	all := make([]ident.Process, 0, len(u.processes))
	for p := range u.processes {
		all = append(all, p)
	}
	return all
}

// Clear removes the attempts of a request that was answered.
func (u *Unanswered) Clear(fp Fingerprint) {
	for p, r := range u.processes {
		kept := &attemptRing{latest: r.latest}
		for i := range r.all {
			if a := r.all[(r.oldest+i)%len(r.all)]; a.Fingerprint != fp {
				kept.all = append(kept.all, a)
			}
		}
		u.processes[p] = kept
	}
}

// Settle removes and returns the attempts at processes that have ended. It drops old ones.
func (u *Unanswered) Settle(now time.Time, endings map[ident.Process]Ending) []Attempt {
	var crashed []Attempt
	for p, r := range u.processes {
		if endings[p] == NotEnded {
			if now.Sub(r.latest) >= unansweredTime {
				delete(u.processes, p)
			}
			continue
		}
		for _, a := range r.since(now.Add(-unansweredTime)) {
			a.Announced = endings[p] == Left
			crashed = append(crashed, a)
		}
		delete(u.processes, p)
	}
	return crashed
}
