package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ownerSim is one owner of a hot key, with a queue, and the VMs that share it.
type ownerSim struct {
	cores    []*Core
	now      time.Time
	running  []*serverRequest
	queue    []*serverRequest
	slots    int
	queueCap int
	work     time.Duration

	served, refused int
}

type serverRequest struct {
	core      *Core
	ticket    *Ticket
	endsAt    time.Time
	arrivedAt time.Time
}

// offer offers a request for the hot key to a VM's core.
func (s *ownerSim) offer(c *Core) {
	tk := &Ticket{Job: Job{Key: "hot", Server: "s", Idempotent: true, Deadline: s.now.Add(time.Second)}, wake: make(chan struct{}, 1)}
	if c.Offer(s.now, tk) == Start {
		s.arrive(c, tk)
	}
}

// arrive starts or queues a request at the owner, or refuses it if the queue is full.
func (s *ownerSim) arrive(c *Core, tk *Ticket) {
	r := &serverRequest{core: c, ticket: tk, arrivedAt: s.now}
	switch {
	case len(s.running) < s.slots:
		r.endsAt = s.now.Add(s.work)
		s.running = append(s.running, r)
	case len(s.queue) < s.queueCap:
		s.queue = append(s.queue, r)
	default:
		s.refused++
		c.Done(s.now, tk, Outcome{Refused: true, Kind: 0})
		s.collectStarted(c)
	}
}

// collectStarted passes on the requests that a core has started since.
func (s *ownerSim) collectStarted(c *Core) {
	for _, tk := range c.TakeDecided() {
		if tk.Server() != "" {
			s.arrive(c, tk)
		}
	}
}

// step advances the time by one millisecond.
func (s *ownerSim) step() {
	s.now = s.now.Add(time.Millisecond)
	kept := s.running[:0]
	var done []*serverRequest
	for _, r := range s.running {
		if r.endsAt.After(s.now) {
			kept = append(kept, r)
			continue
		}
		done = append(done, r)
	}
	s.running = kept
	for range done {
		if len(s.queue) > 0 {
			r := s.queue[0]
			s.queue = s.queue[1:]
			r.endsAt = s.now.Add(s.work)
			s.running = append(s.running, r)
		}
	}
	for _, r := range done {
		s.served++
		r.core.Report(s.now, "s", len(s.running)+len(s.queue), 0)
		r.core.Done(s.now, r.ticket, Outcome{Latency: s.now.Sub(r.arrivedAt)})
		s.collectStarted(r.core)
	}
	for _, c := range s.cores {
		if next := c.Next(); !next.IsZero() && !next.After(s.now) {
			c.Tick(s.now)
			s.collectStarted(c)
		}
	}
}

func runOwnerSim(vms, seconds int) *ownerSim {
	s := &ownerSim{now: time.Unix(1000, 0), slots: 2, queueCap: 8, work: 100 * time.Millisecond}
	for i := range vms {
		c := NewCore(Config{Seed: uint64(i + 1)})
		c.SetServers(s.now, []ServerInfo{{Name: "s", Slots: s.slots, Conns: 1000}})
		c.SetShare(s.now, vms, i)
		s.cores = append(s.cores, c)
	}
	const every = 7 // milliseconds between two requests of all VMs together: 140 a second
	for ms := range seconds * 1000 {
		if ms%every == 0 {
			s.offer(s.cores[(ms/every*13)%vms])
		}
		s.step()
	}
	return s
}

// Guards against an owner overrun by forty VMs, with a hot key at seven times its
// capacity. Each VM sends only one request at a time, but together they exceed the
// owner's room four times. Connections are reset, and nobody knows which requests ran.
func TestManyVMsDoNotOverrunTheOwnerOfAHotKey(t *testing.T) {
	const seconds = 10
	s := runOwnerSim(40, seconds)
	most := seconds * 2 * 10 // two slots, ten requests a second each
	assert.Assert(t, s.served > most*85/100, "served %d of %d: the owner was left idle", s.served, most)
	// Without spacing five are refused for each one served.
	assert.Assert(t, s.refused < s.served*5/4, "%d refused, %d served", s.refused, s.served)
}
