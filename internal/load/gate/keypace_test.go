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
func (w *ownerSim) offer(c *Core) {
	tk := &Ticket{Job: Job{Key: "hot", Server: "s", Idempotent: true, Deadline: w.now.Add(time.Second)}, wake: make(chan struct{}, 1)}
	if c.Offer(w.now, tk) == Start {
		w.arrive(c, tk)
	}
}

// arrive starts or queues a request at the owner, or refuses it if the queue is full.
func (w *ownerSim) arrive(c *Core, tk *Ticket) {
	v := &serverRequest{core: c, ticket: tk, arrivedAt: w.now}
	switch {
	case len(w.running) < w.slots:
		v.endsAt = w.now.Add(w.work)
		w.running = append(w.running, v)
	case len(w.queue) < w.queueCap:
		w.queue = append(w.queue, v)
	default:
		w.refused++
		c.Done(w.now, tk, Outcome{Refused: true, Kind: 0})
		w.collectStarted(c)
	}
}

// collectStarted passes on the requests that a core has started since.
func (w *ownerSim) collectStarted(c *Core) {
	for _, tk := range c.Ready() {
		if tk.Server() != "" {
			w.arrive(c, tk)
		}
	}
}

// step advances the time by one millisecond.
func (w *ownerSim) step() {
	w.now = w.now.Add(time.Millisecond)
	kept := w.running[:0]
	var done []*serverRequest
	for _, v := range w.running {
		if v.endsAt.After(w.now) {
			kept = append(kept, v)
			continue
		}
		done = append(done, v)
	}
	w.running = kept
	for range done {
		if len(w.queue) > 0 {
			v := w.queue[0]
			w.queue = w.queue[1:]
			v.endsAt = w.now.Add(w.work)
			w.running = append(w.running, v)
		}
	}
	for _, v := range done {
		w.served++
		v.core.Report(w.now, "s", len(w.running)+len(w.queue), 0)
		v.core.Done(w.now, v.ticket, Outcome{Latency: w.now.Sub(v.arrivedAt)})
		w.collectStarted(v.core)
	}
	for _, c := range w.cores {
		if next := c.Next(); !next.IsZero() && !next.After(w.now) {
			c.Tick(w.now)
			w.collectStarted(c)
		}
	}
}

func runOwnerSim(vms, seconds int) *ownerSim {
	w := &ownerSim{now: time.Unix(1000, 0), slots: 2, queueCap: 8, work: 100 * time.Millisecond}
	for i := range vms {
		c := NewCore(Config{Seed: uint64(i + 1)})
		c.SetServers(w.now, []ServerInfo{{Name: "s", Slots: w.slots, Conns: 1000}})
		c.SetShare(w.now, vms, i)
		w.cores = append(w.cores, c)
	}
	const every = 7 // milliseconds between two requests of all VMs together: 140 a second
	for ms := range seconds * 1000 {
		if ms%every == 0 {
			w.offer(w.cores[(ms/every*13)%vms])
		}
		w.step()
	}
	return w
}

// Guards against an owner overrun by forty VMs, with a hot key at seven times its
// capacity. Each VM sends only one request at a time, but together they exceed the
// owner's room four times. Connections are reset, and nobody knows which requests ran.
func TestManyVMsDoNotOverrunTheOwnerOfAHotKey(t *testing.T) {
	const seconds = 10
	w := runOwnerSim(40, seconds)
	most := seconds * 2 * 10 // two slots, ten requests a second each
	assert.Assert(t, w.served > most*85/100, "served %d of %d: the owner was left idle", w.served, most)
	// Without spacing five are refused for each one served.
	assert.Assert(t, w.refused < w.served*5/4, "%d refused, %d served", w.refused, w.served)
}
