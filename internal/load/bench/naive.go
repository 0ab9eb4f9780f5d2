package bench

import "time"

// naive is what one gets without thinking about load: servers in turn (or the
// key's owner), a connection pool with an unbounded queue in order of arrival,
// three tries with a third of the deadline each, at once after one another. It
// sends no cancellation: the server works on for nobody.
type naive struct {
	w     *world
	turn  []int
	pools [][]*pool
	first int
	more  int
	links links
}

type pool struct {
	using int
	most  int
	queue []*try
}

type try struct {
	req     *request
	n       int
	server  int
	sent    bool
	over    bool
	attempt *attempt
}

const (
	naiveTries = 3
	naiveIdle  = 2 // idle connections kept for a server, as HTTP clients do unasked
)

func newNaive(w *world) *naive {
	s := w.scene.Service
	n := &naive{w: w, turn: make([]int, s.VMs), links: newLinks(s)}
	for range s.VMs {
		var row []*pool
		for range s.Servers {
			row = append(row, &pool{most: max(s.Conns/s.VMs, 1)})
		}
		n.pools = append(n.pools, row)
	}
	return n
}

func (n *naive) report(int, int, time.Duration) {}

func (n *naive) extra() (first, more int) { return n.first, n.more }

func (n *naive) arrive(r *request) {
	n.attempt(r, 0)
	n.w.at(r.by, func() {
		if !r.ended {
			n.w.end(r, Unknown, 0)
		}
	})
}

func (n *naive) attempt(r *request, count int) {
	t := &try{req: r, n: count, server: r.owner}
	if r.owner < 0 {
		n.turn[r.vm]++
		t.server = n.turn[r.vm] % len(n.w.origins)
	}
	p := n.pools[r.vm][t.server]
	p.queue = append(p.queue, t)
	n.next(r.vm, t.server)
	n.w.after((r.by-r.asked)/naiveTries, func() { n.timeout(t) })
}

func (n *naive) next(vm, server int) {
	p := n.pools[vm][server]
	for p.using < p.most && len(p.queue) > 0 {
		t := p.queue[0]
		p.queue = p.queue[1:]
		if t.over {
			continue
		}
		p.using++
		n.send(t)
	}
}

func (n *naive) send(t *try) {
	t.sent = true
	if t.n == 0 {
		n.first++
	} else {
		n.more++
	}
	t.attempt = &attempt{req: t.req}
	t.attempt.left = func(refused bool) { n.answered(t, refused) }
	wait := hop + n.links.open(t.req.vm, t.server, n.w.now)
	n.w.after(wait, func() { n.w.origins[t.server].arrive(t.attempt) })
}

func (n *naive) answered(t *try, refused bool) {
	if t.over {
		return
	}
	t.over = true
	n.release(t, true)
	switch {
	case t.req.ended:
	case !refused:
		n.w.end(t.req, Served, 0)
	case t.n+1 < naiveTries:
		n.attempt(t.req, t.n+1)
	default:
		n.w.end(t.req, Refused, 0)
	}
}

func (n *naive) release(t *try, whole bool) {
	n.links.free(t.req.vm, t.server, naiveIdle, whole)
	n.pools[t.req.vm][t.server].using--
	n.next(t.req.vm, t.server)
}

// timeout gives an attempt up and tries at once again, if that is safe.
func (n *naive) timeout(t *try) {
	if t.over || t.req.ended && !t.sent {
		t.over = true
		return
	}
	if t.sent && !n.w.scene.Service.Idempotent {
		return // waits for its answer until the caller's deadline
	}
	t.over = true
	if t.sent {
		n.release(t, false)
	}
	if !t.req.ended && t.n+1 < naiveTries {
		n.attempt(t.req, t.n+1)
	}
}
