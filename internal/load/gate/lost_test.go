package gate

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// loss plays an owner that is lost, with keys in several slices. As the front
// end does, it lets those wait for the next owner whom the gate or the owner
// could not serve.
type loss struct {
	*mover
	t      *testing.T
	failed int
}

func (l *loss) ask(slice int) {
	j := l.job(ident.Caller("caller-"+strconv.Itoa(slice)), 3*time.Second)
	j.Slice, j.Key, j.MaxOwnerWait = ident.Slice(slice), ident.Key(strconv.Itoa(slice)), 2*time.Second
	k := &Ticket{Job: j}
	switch l.core.Offer(l.now, k) {
	case Start:
		l.fail(k)
	case Refuse:
		kind, _ := k.Refusal()
		assert.Equal(l.t, kind, kinds.NoServer)
		again := &Ticket{Job: k.Job.NextAttempt("")}
		assert.Equal(l.t, l.core.Await(l.now, again), Wait)
	default:
	}
}

// fail ends an attempt at the lost owner 5 ms later.
func (l *loss) fail(k *Ticket) {
	l.failed++
	l.settle(l.pass(5 * time.Millisecond))
	l.core.Done(l.now, k, Outcome{Kind: kinds.NoServer})
	l.core.Await(l.now, &Ticket{Job: k.Job.NextAttempt("")})
}

func (l *loss) settle(decided []*Ticket) {
	for _, k := range decided {
		kind, _ := k.Refusal()
		assert.Equal(l.t, kind, kinds.None, "refused at %v", l.now.Sub(begin))
		l.fail(k)
	}
}

// A backend server is lost, and its keys in eight slices have another owner
// after 700 ms. Somebody of each slice asks the lost one now and then whether it
// is back. One who found another one asking at that moment was refused, although
// the others who waited with it were served a moment later: the caller read "no
// backend server is available" in place of an answer after half a second.
func TestThoseWhoWaitForALostOwnersKeysAreNotTurnedAway(t *testing.T) {
	const slices = 8
	l := &loss{mover: newMover(0), t: t}
	l.core.Follow(begin, func(k ident.Key) (Owner, bool) {
		x, err := strconv.Atoi(string(k))
		p := l.owner
		p.Slice = ident.Slice(x)
		return p, err == nil
	})
	n := 0
	for l.now.Sub(begin) < 700*time.Millisecond {
		l.ask(n % slices)
		n++
		l.settle(l.pass(10 * time.Millisecond))
	}
	assert.Assert(t, l.failed > slices)
	l.owner = Owner{Server: "b", Epoch: 2}
	l.core.Moved(l.now)
	served := 0
	for until := l.now.Add(2 * time.Second); l.now.Before(until); {
		for _, k := range append(l.core.Ready(), l.pass(time.Millisecond)...) {
			kind, _ := k.Refusal()
			assert.Equal(t, kind, kinds.None)
			assert.Equal(t, k.Server(), ident.Server("b"))
			served++
			l.core.Done(l.now, k, Outcome{Latency: time.Millisecond})
		}
	}
	assert.Equal(t, served, n)
}
