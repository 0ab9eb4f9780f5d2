package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// The load: one owner with four slots and 195 VMs. One of its keys is hot for
// hotDuration, its other keys get five requests a second throughout, over all VMs
// together.
const (
	vmCount         = 195
	hotDuration     = 5 * time.Second
	hotIntervalMS   = 2   // one request each 2 ms
	otherIntervalMS = 200 // one request each 200 ms
	cooledDuration  = 20 * time.Second
)

// hotKeySim is a simulation of this load and its results.
type hotKeySim struct {
	ownerSim
	otherKeys []*issuedRequest
}

// finishAll advances the time until the owner has answered all its requests.
func (h *hotKeySim) finishAll() {
	for len(h.running)+len(h.queue) > 0 {
		h.step()
	}
}

type issuedRequest struct {
	at     time.Time
	ticket *Ticket
}

func (h *hotKeySim) offerKey(c *Core, key ident.Key) *issuedRequest { return h.offerKeyTo(c, key, "s") }

func (h *hotKeySim) offerKeyTo(c *Core, key ident.Key, owner ident.Server) *issuedRequest {
	r := &issuedRequest{at: h.now}
	r.ticket = &Ticket{Job: Job{Key: key, Server: owner, Idempotent: true, Deadline: h.now.Add(6 * time.Second)}, wake: make(chan struct{}, 1)}
	if c.Offer(h.now, r.ticket) == Start {
		h.arrive(c, r.ticket)
	}
	return r
}

// warmUp gives a VM the answers from which it learns the service's latency.
func (h *hotKeySim) warmUp(c *Core) {
	for range minLatencySamples {
		tk := &Ticket{Job: Job{Key: "k", Server: "other", Idempotent: true, Deadline: h.now.Add(6 * time.Second)}, wake: make(chan struct{}, 1)}
		c.Offer(h.now, tk)
		c.Done(h.now, tk, Outcome{Latency: h.work})
	}
}

func newHotKeySim() *hotKeySim {
	h := &hotKeySim{ownerSim: ownerSim{now: time.Unix(1000, 0), slots: 4, queueCap: 16, work: 460 * time.Millisecond}}
	for i := range vmCount {
		c := NewCore(Config{Seed: uint64(i + 1)})
		c.SetServers(h.now, []ServerInfo{{Name: "s", Slots: h.slots, Conns: 1000}, {Name: "other", Slots: h.slots, Conns: 1000}})
		c.SetShare(h.now, vmCount, i)
		h.warmUp(c)
		h.cores = append(h.cores, c)
	}
	return h
}

func runHotKeySim() *hotKeySim {
	h := newHotKeySim()
	from := h.now
	for ms := 0; h.now.Sub(from) < hotDuration+cooledDuration; ms++ {
		if ms%hotIntervalMS == 0 && h.now.Sub(from) < hotDuration {
			h.offerKey(h.cores[(ms/hotIntervalMS*7)%vmCount], "hot")
		}
		if ms%otherIntervalMS == 0 {
			h.otherKeys = append(h.otherKeys, h.offerKey(h.cores[(ms/otherIntervalMS*31)%vmCount], ident.Key(fmt.Sprint(ms))))
		}
		h.step()
	}
	return h
}

// refusedOtherKeys counts the requests for the owner's other keys in a span of the
// simulation, and those of them that were refused.
func (h *hotKeySim) refusedOtherKeys(from, to time.Duration) (n, of int) {
	for _, r := range h.otherKeys {
		if at := r.at.Sub(time.Unix(1000, 0)); at >= from && at < to {
			of++
			if r.ticket.state == stateRefused {
				n++
			}
		}
	}
	return n, of
}

// Guards against requests for an owner's other keys that are refused for half a minute
// because one of its keys is hot.
func TestHotKeyDoesNotBlockOtherKeysOfItsOwner(t *testing.T) {
	h := runHotKeySim()
	n, of := h.refusedOtherKeys(0, hotDuration)
	assert.Check(t, n*20 <= of, "%d of %d refused while one key is hot", n, of)
	n, of = h.refusedOtherKeys(hotDuration, hotDuration+cooledDuration)
	assert.Check(t, n*100 <= of, "%d of %d refused after it has cooled down", n, of)
	assert.Check(t, h.refused < 2*vmCount, "%d refused by the owner", h.refused)
}

// Guards against an owner left idle because each VM holds back capacity that other VMs
// have no use for.
func TestAnOwnerOfManyBusyKeysIsKeptBusy(t *testing.T) {
	const lasts = 20 * time.Second
	for _, every := range []int{20, 5} { // milliseconds; the owner serves one in 115 ms
		h := newHotKeySim()
		from := h.now
		for ms := 0; h.now.Sub(from) < lasts; ms++ {
			if ms%every == 0 {
				h.offerKey(h.cores[(ms/every*31)%vmCount], ident.Key(fmt.Sprint(ms)))
			}
			h.step()
		}
		most := h.slots * int(lasts/h.work)
		assert.Check(t, h.served > most*95/100, "served %d of %d, one asked for each %d ms", h.served, most, every)
	}
}

// Guards against an owner overrun by all VMs at once because a hot key has moved to it.
func TestHotKeyStaysPacedAtItsNextOwner(t *testing.T) {
	h := newHotKeySim()
	run := func(owner ident.Server) (refused int) {
		for ms := range 1000 {
			if ms%hotIntervalMS == 0 {
				h.offerKeyTo(h.cores[(ms/hotIntervalMS*7)%vmCount], "hot", owner)
			}
			h.step()
		}
		refused, h.refused = h.refused, 0
		h.finishAll()
		return refused
	}
	run("s")
	refused := run("other")
	assert.Assert(t, refused < vmCount/10, "%d refused by the next owner", refused)
}
