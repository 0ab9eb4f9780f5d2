package gate

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// lostOwnerSim simulates a lost owner with keys in several slices. Like the front end,
// it calls WaitOwner for requests that the gate refuses as NoServer or the owner does
// not serve.
type lostOwnerSim struct {
	*moveSim
	t      *testing.T
	failed int
}

func (l *lostOwnerSim) offerSlice(slice int) {
	j := l.job(ident.Caller("caller-"+strconv.Itoa(slice)), 3*time.Second)
	j.Slice, j.Key, j.MaxOwnerWait = ident.Slice(slice), ident.Key(strconv.Itoa(slice)), 2*time.Second
	tk := &Ticket{Job: j}
	switch l.core.Offer(l.now, tk) {
	case Start:
		l.failAttempt(tk)
	case Refuse:
		kind, _ := tk.Refusal()
		assert.Equal(l.t, kind, kinds.NoServer)
		again := &Ticket{Job: tk.Job.NextAttempt("")}
		assert.Equal(l.t, l.core.WaitOwner(l.now, again), Wait)
	default:
	}
}

// failAttempt ends an attempt at the lost owner 5 ms later.
func (l *lostOwnerSim) failAttempt(tk *Ticket) {
	l.failed++
	l.failStarted(l.advance(5 * time.Millisecond))
	l.core.Done(l.now, tk, Outcome{Kind: kinds.NoServer})
	l.core.WaitOwner(l.now, &Ticket{Job: tk.Job.NextAttempt("")})
}

func (l *lostOwnerSim) failStarted(decided []*Ticket) {
	for _, tk := range decided {
		kind, _ := tk.Refusal()
		assert.Equal(l.t, kind, kinds.None, "refused at %v", l.now.Sub(begin))
		l.failAttempt(tk)
	}
}

// Guards against probes refused with "no backend server is available" because another
// one is in progress. An owner is lost and its eight slices have another one after 700
// ms; requests that waited with the refused probe were served within half a second.
func TestWaitersForLostOwnerAreNotRefused(t *testing.T) {
	const slices = 8
	l := &lostOwnerSim{moveSim: newMoveSim(0), t: t}
	l.core.SetOwnerLookup(begin, func(k ident.Key) (Owner, bool) {
		x, err := strconv.Atoi(string(k))
		p := l.owner
		p.Slice = ident.Slice(x)
		return p, err == nil
	})
	n := 0
	for l.now.Sub(begin) < 700*time.Millisecond {
		l.offerSlice(n % slices)
		n++
		l.failStarted(l.advance(10 * time.Millisecond))
	}
	assert.Assert(t, l.failed > slices)
	l.owner = Owner{Server: "b", Epoch: 2}
	l.core.OwnersChanged(l.now)
	served := 0
	for until := l.now.Add(2 * time.Second); l.now.Before(until); {
		for _, k := range append(l.core.TakeDecided(), l.advance(time.Millisecond)...) {
			kind, _ := k.Refusal()
			assert.Equal(t, kind, kinds.None)
			assert.Equal(t, k.Server(), ident.Server("b"))
			served++
			l.core.Done(l.now, k, Outcome{Latency: time.Millisecond})
		}
	}
	assert.Equal(t, served, n)
}
