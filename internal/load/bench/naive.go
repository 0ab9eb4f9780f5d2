package bench

import "time"

// naivePolicy is the baseline without any load management: round robin over the servers
// (or the key's owner), a connection pool with an unbounded FIFO queue, and up to three
// attempts with a third of the deadline each and no delay between them. It sends no
// cancellation, so a server completes requests whose caller has given up.
type naivePolicy struct {
	w             *world
	lastServer    []int
	pools         [][]*pool
	firstAttempts int
	extraAttempts int
	conns         connections
}

// pool holds the connections of one VM to one server, and the attempts waiting for one.
type pool struct {
	inUse int
	limit int
	queue []*naiveAttempt
}

// naiveAttempt is one attempt of a request, queued or sent.
type naiveAttempt struct {
	req     *request
	number  int
	server  int
	sent    bool
	done    bool
	attempt *attempt
}

const (
	naiveMaxAttempts = 3
	naiveMaxIdle     = 2 // idle connections kept for a server, the default of common HTTP clients
)

func newNaivePolicy(w *world) *naivePolicy {
	s := w.scenario.Service
	n := &naivePolicy{w: w, lastServer: make([]int, s.VMs), conns: newConnections(s)}
	for range s.VMs {
		var row []*pool
		for range s.Servers {
			row = append(row, &pool{limit: max(s.Conns/s.VMs, 1)})
		}
		n.pools = append(n.pools, row)
	}
	return n
}

func (n *naivePolicy) report(int, int, time.Duration) {}

func (n *naivePolicy) attemptCounts() (first, extra int) { return n.firstAttempts, n.extraAttempts }

func (n *naivePolicy) arrive(r *request) {
	n.attempt(r, 0)
	n.w.at(r.deadline, func() {
		if !r.ended {
			n.w.end(r, Unknown, 0)
		}
	})
}

func (n *naivePolicy) attempt(r *request, number int) {
	a := &naiveAttempt{req: r, number: number, server: r.owner}
	if r.owner < 0 {
		n.lastServer[r.vm]++
		a.server = n.lastServer[r.vm] % len(n.w.origins)
	}
	p := n.pools[r.vm][a.server]
	p.queue = append(p.queue, a)
	n.startQueued(r.vm, a.server)
	n.w.after((r.deadline-r.askedAt)/naiveMaxAttempts, func() { n.handleTimeout(a) })
}

// startQueued sends queued attempts while the pool has free connections.
func (n *naivePolicy) startQueued(vm, server int) {
	p := n.pools[vm][server]
	for p.inUse < p.limit && len(p.queue) > 0 {
		a := p.queue[0]
		p.queue = p.queue[1:]
		if a.done {
			continue
		}
		p.inUse++
		n.send(a)
	}
}

func (n *naivePolicy) send(a *naiveAttempt) {
	a.sent = true
	if a.number == 0 {
		n.firstAttempts++
	} else {
		n.extraAttempts++
	}
	a.attempt = &attempt{req: a.req}
	a.attempt.onAnswer = func(refused bool) { n.handleAnswer(a, refused) }
	wait := hopDelay + n.conns.open(a.req.vm, a.server, n.w.now)
	n.w.after(wait, func() { n.w.origins[a.server].arrive(a.attempt) })
}

func (n *naivePolicy) handleAnswer(a *naiveAttempt, refused bool) {
	if a.done {
		return
	}
	a.done = true
	n.release(a, true)
	switch {
	case a.req.ended:
	case !refused:
		n.w.end(a.req, Served, 0)
	case a.number+1 < naiveMaxAttempts:
		n.attempt(a.req, a.number+1)
	default:
		n.w.end(a.req, Refused, 0)
	}
}

func (n *naivePolicy) release(a *naiveAttempt, reusable bool) {
	n.conns.release(a.req.vm, a.server, naiveMaxIdle, reusable)
	n.pools[a.req.vm][a.server].inUse--
	n.startQueued(a.req.vm, a.server)
}

// handleTimeout gives up an attempt and retries at once, if that is safe: an attempt
// that was sent is only retried if the service is idempotent.
func (n *naivePolicy) handleTimeout(a *naiveAttempt) {
	if a.done || a.req.ended && !a.sent {
		a.done = true
		return
	}
	if a.sent && !n.w.scenario.Service.Idempotent {
		return // waits for its answer until the caller's deadline
	}
	a.done = true
	if a.sent {
		n.release(a, false)
	}
	if !a.req.ended && a.number+1 < naiveMaxAttempts {
		n.attempt(a.req, a.number+1)
	}
}
