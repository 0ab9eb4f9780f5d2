package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// The load: one owner with four slots among 195 VMs. One key of it is hot for hotFor,
// its other keys are asked for all the time, five a second through all VMs together.
const (
	fleet     = 195
	hotFor    = 5 * time.Second
	hotEvery  = 2   // milliseconds
	calmEvery = 200 // milliseconds
	calmFor   = 20 * time.Second
)

// heat is what became of the requests of one such play.
type heat struct {
	crowd
	calm []*asked
}

// settle lets time pass until the owner has answered all that it has.
func (h *heat) settle() {
	for len(h.running)+len(h.queue) > 0 {
		h.step()
	}
}

type asked struct {
	at time.Time
	tk *Ticket
}

func (h *heat) ask(c *Core, key ident.Key) *asked { return h.askAt(c, key, "s") }

func (h *heat) askAt(c *Core, key ident.Key, owner ident.Server) *asked {
	a := &asked{at: h.now}
	a.tk = &Ticket{Job: Job{Key: key, Server: owner, Idempotent: true, Deadline: h.now.Add(6 * time.Second)}, wake: make(chan struct{}, 1)}
	if c.Offer(h.now, a.tk) == Start {
		h.arrive(c, a.tk)
	}
	return a
}

// learn lets a VM see how long answers of the service take.
func (h *heat) learn(c *Core) {
	for range learned {
		tk := &Ticket{Job: Job{Key: "k", Server: "other", Idempotent: true, Deadline: h.now.Add(6 * time.Second)}, wake: make(chan struct{}, 1)}
		c.Offer(h.now, tk)
		c.Done(h.now, tk, Outcome{Latency: h.work})
	}
}

func newHeat() *heat {
	h := &heat{crowd: crowd{now: time.Unix(1000, 0), slots: 4, room: 16, work: 460 * time.Millisecond}}
	for i := range fleet {
		c := NewCore(Config{Seed: uint64(i + 1)})
		c.SetServers(h.now, []ServerInfo{{Name: "s", Slots: h.slots, Conns: 1000}, {Name: "other", Slots: h.slots, Conns: 1000}})
		c.SetShare(h.now, fleet, i)
		h.learn(c)
		h.cores = append(h.cores, c)
	}
	return h
}

func playHeat() *heat {
	h := newHeat()
	from := h.now
	for ms := 0; h.now.Sub(from) < hotFor+calmFor; ms++ {
		if ms%hotEvery == 0 && h.now.Sub(from) < hotFor {
			h.ask(h.cores[(ms/hotEvery*7)%fleet], "hot")
		}
		if ms%calmEvery == 0 {
			h.calm = append(h.calm, h.ask(h.cores[(ms/calmEvery*31)%fleet], ident.Key(fmt.Sprint(ms))))
		}
		h.step()
	}
	return h
}

// refused counts, of the requests for the owner's other keys in a span of the play,
// those that were not started.
func (h *heat) refused(from, to time.Duration) (n, of int) {
	for _, a := range h.calm {
		if at := a.at.Sub(time.Unix(1000, 0)); at >= from && at < to {
			of++
			if a.tk.state == refused {
				n++
			}
		}
	}
	return n, of
}

// Guards against callers of an owner's other keys refused for half a minute because of a hot one.
func TestAHotKeyClosesNoOtherKeyOfItsOwner(t *testing.T) {
	h := playHeat()
	n, of := h.refused(0, hotFor)
	assert.Check(t, n*20 <= of, "%d of %d refused while one key is hot", n, of)
	n, of = h.refused(hotFor, hotFor+calmFor)
	assert.Check(t, n*100 <= of, "%d of %d refused after it has cooled down", n, of)
	assert.Check(t, h.over < 2*fleet, "%d turned away by the owner", h.over)
}

// Guards against an owner left idle because each VM keeps back what others have no use for.
func TestAnOwnerOfManyBusyKeysIsKeptBusy(t *testing.T) {
	const lasts = 20 * time.Second
	for _, every := range []int{20, 5} { // milliseconds; the owner serves one in 115
		h := newHeat()
		from := h.now
		for ms := 0; h.now.Sub(from) < lasts; ms++ {
			if ms%every == 0 {
				h.ask(h.cores[(ms/every*31)%fleet], ident.Key(fmt.Sprint(ms)))
			}
			h.step()
		}
		most := h.slots * int(lasts/h.work)
		assert.Check(t, h.served > most*95/100, "served %d of %d, one asked for each %d ms", h.served, most, every)
	}
}

// Guards against an owner overrun by all VMs at once because a hot key has moved to it.
func TestAHotKeyIsSpacedAtItsNextOwner(t *testing.T) {
	h := newHeat()
	ask := func(owner ident.Server) (over int) {
		for ms := range 1000 {
			if ms%hotEvery == 0 {
				h.askAt(h.cores[(ms/hotEvery*7)%fleet], "hot", owner)
			}
			h.step()
		}
		over, h.over = h.over, 0
		h.settle()
		return over
	}
	ask("s")
	over := ask("other")
	assert.Assert(t, over < fleet/10, "%d turned away by the next owner", over)
}
