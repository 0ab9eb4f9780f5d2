package poison

import (
	"slices"
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
	SentAt      time.Time // or shortly before
	At          time.Time // when it ended
	Announced   bool      // the process announced that it leaves
	// OthersAnsweredAt is when the same request of another caller was last answered after At;
	// zero if it was not.
	OthersAnsweredAt time.Time
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
	prints    map[Fingerprint]int               // number of attempts of each caller's request
	requests  map[Fingerprint]unansweredRequest // of any caller
	heads     map[Head]int                      // number of attempts for each request line
}

// unansweredRequest is a request of any caller with attempts that got no answer.
type unansweredRequest struct {
	attempts   int
	answeredAt time.Time // when another attempt of it was last answered; zero if none was
}

// count adds n to the number of attempts of a request.
func (u *Unanswered) count(fp Fingerprint, n int) {
	if u.prints == nil {
		u.prints, u.heads = map[Fingerprint]int{}, map[Head]int{}
		u.requests = map[Fingerprint]unansweredRequest{}
	}
	r := u.requests[fp.AnyCaller()]
	r.attempts += n
	u.requests[fp.AnyCaller()] = r
	if r.attempts == 0 {
		delete(u.requests, fp.AnyCaller())
	}
	if u.prints[fp] += n; u.prints[fp] == 0 {
		delete(u.prints, fp)
	}
	if u.heads[fp.Head()] += n; u.heads[fp.Head()] == 0 {
		delete(u.heads, fp.Head())
	}
}

// IsEmpty reports whether there are no attempts.
func (u *Unanswered) IsEmpty() bool { return len(u.prints) == 0 }

// Has reports whether there are attempts of requests with this head.
func (u *Unanswered) Has(h Head) bool { return u.heads[h] > 0 }

// remove removes the attempts at a process.
func (u *Unanswered) remove(p ident.Process) {
	for _, a := range u.processes[p].all {
		u.count(a.Fingerprint, -1)
	}
	delete(u.processes, p)
}

// attemptRing holds the latest attempts at one process.
type attemptRing struct {
	all    []Attempt
	oldest int // index of the oldest attempt once the ring is full
	latest time.Time
}

// add adds an attempt and returns the one that it displaces, if any.
func (r *attemptRing) add(a Attempt) (displaced Attempt, ok bool) {
	r.latest = a.At
	if len(r.all) < maxUnanswered {
		r.all = append(r.all, a)
		return Attempt{}, false
	}
	displaced, r.all[r.oldest] = r.all[r.oldest], a
	r.oldest = (r.oldest + 1) % maxUnanswered
	return displaced, true
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
	u.count(a.Fingerprint, 1)
	if displaced, ok := r.add(a); ok {
		u.count(displaced.Fingerprint, -1)
	}
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
	u.remove(oldest)
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

// Clear removes the attempts of a request that was answered, and notes the answer for those
// of other callers.
func (u *Unanswered) Clear(now time.Time, fp Fingerprint) {
	if r, ok := u.requests[fp.AnyCaller()]; ok {
		r.answeredAt = now
		u.requests[fp.AnyCaller()] = r
	}
	if u.prints[fp] == 0 {
		return
	}
	u.count(fp, -u.prints[fp])
	for p, r := range u.processes {
		if !slices.ContainsFunc(r.all, func(a Attempt) bool { return a.Fingerprint == fp }) {
			continue
		}
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
				u.remove(p)
			}
			continue
		}
		for _, a := range r.since(now.Add(-unansweredTime)) {
			a.Announced = endings[p] == Left
			if at := u.requests[a.Fingerprint.AnyCaller()].answeredAt; at.After(a.At) {
				a.OthersAnsweredAt = at
			}
			crashed = append(crashed, a)
		}
		u.remove(p)
	}
	return crashed
}
