package poison

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// unansweredTime is how long an attempt without an answer is kept. The entry of a
	// server that has ended expires within it, also when the list is late.
	unansweredTime = livenessGrace
	// maxUnanswered bounds the attempts kept for each server, so that a server that times
	// out often does not displace what is known of others.
	maxUnanswered = 64
	// maxSilentServers bounds the servers for which attempts are kept.
	maxSilentServers = 256
)

// Attempt is one attempt of a request at a server.
type Attempt struct {
	Fingerprint Fingerprint
	ID          ident.Request
	Server      ident.Server
	At          time.Time // when it ended
}

// Ending is what is known about the end of a server.
type Ending uint8

// How a server may end.
const (
	NotEnded Ending = iota // as far as is known
	Ended                  // without an announcement
	Left                   // it has announced that it leaves, and may have ended
)

// Unanswered holds the latest attempts that were sent and ended without an answer while
// their connection stayed open: by their deadline, because their caller went away or
// because their key moved. Overloaded servers cause many of them, so they are evidence of a
// crash only if the server turns out to have ended. Until then they put no request under
// suspicion.
//
// The zero value is empty; it is not safe for concurrent use.
type Unanswered struct {
	servers map[ident.Server]*attemptRing
}

// attemptRing holds the latest attempts at one server.
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
	r := u.servers[a.Server]
	if r == nil {
		r = u.newRing(a.Server)
	}
	r.add(a)
}

func (u *Unanswered) newRing(s ident.Server) *attemptRing {
	if u.servers == nil {
		u.servers = map[ident.Server]*attemptRing{}
	}
	if len(u.servers) >= maxSilentServers {
		u.evict()
	}
	r := &attemptRing{}
	u.servers[s] = r
	return r
}

// evict removes the attempts at the server whose latest one is the oldest.
func (u *Unanswered) evict() {
	var oldest ident.Server
	var at time.Time
	for s, r := range u.servers {
		if at.IsZero() || r.latest.Before(at) {
			oldest, at = s, r.latest
		}
	}
	delete(u.servers, oldest)
}

// Len returns the number of attempts.
func (u *Unanswered) Len() int {
	n := 0
	for _, r := range u.servers {
		n += len(r.all)
	}
	return n
}

// Servers lists the servers of the attempts.
func (u *Unanswered) Servers() []ident.Server {
	all := make([]ident.Server, 0, len(u.servers))
	for s := range u.servers {
		all = append(all, s)
	}
	return all
}

// Clear removes the attempts of a request that was answered.
func (u *Unanswered) Clear(fp Fingerprint) {
	for s, r := range u.servers {
		kept := &attemptRing{latest: r.latest}
		for i := range r.all {
			if a := r.all[(r.oldest+i)%len(r.all)]; a.Fingerprint != fp {
				kept.all = append(kept.all, a)
			}
		}
		u.servers[s] = kept
	}
}

// Settle removes and returns the attempts at servers that have ended without an
// announcement. It drops those at servers that leave, and old ones.
func (u *Unanswered) Settle(now time.Time, endings map[ident.Server]Ending) []Attempt {
	var crashed []Attempt
	for s, r := range u.servers {
		switch {
		case endings[s] == Ended:
			crashed = append(crashed, r.since(now.Add(-unansweredTime))...)
			delete(u.servers, s)
		case endings[s] == Left, now.Sub(r.latest) >= unansweredTime:
			delete(u.servers, s)
		}
	}
	return crashed
}
