package lessor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// pair is a holder and its deputy with nothing but messages between them.
type pair struct {
	now    time.Time
	holder Lessor
	deputy Lessor
	asks   int
	lose   func() bool // asks that get lost
}

func newPair() *pair {
	p := &pair{now: time.Unix(1000, 0), lose: func() bool { return false }}
	p.startHolder(1)
	p.startDeputy()
	return p
}

// startHolder puts a holder that has just won an epoch in place.
func (p *pair) startHolder(epoch ident.Epoch) {
	h := New(Config{Self: "h", Service: "lookup", Server: "a"})
	h.born, h.auth, h.epoch = p.now, holding, epoch
	h.until = p.now.Add(h.cfg.Times.Term)
	h.freshAt = h.until
	h.rec = Record{Epoch: epoch, Holder: "h", Deputy: "d", Term: h.cfg.Times.Term}
	p.holder = h
}

func (p *pair) startDeputy() {
	p.deputy = New(Config{Self: "d", Service: "lookup", Server: "a"})
	p.deputy.born = p.now.Add(-time.Second)
}

// run lets beats and questions pass for a time.
func (p *pair) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(p.holder.cfg.Times.Heartbeat) {
		for _, beat := range p.step(&p.holder, func(t *turn) { t.beat() }) {
			for _, ask := range p.step(&p.deputy, func(t *turn) { t.onBeat(beat.(HeartbeatMsg)) }) {
				p.asks++
				if !p.lose() {
					p.step(&p.holder, func(t *turn) { t.onAsk(ask.(ClockMsg)) })
				}
			}
		}
		assert.Assert(t, !p.deputy.d.until.After(p.holder.told), "a deputy may act longer than its holder told")
	}
}

// step does one thing on one VM and returns what it sends to the other.
func (p *pair) step(s *Lessor, do func(*turn)) []loop.Msg {
	t := &turn{Lessor: *s, now: p.now}
	do(t)
	*s = t.Lessor
	var out []loop.Msg
	for _, cmd := range t.cmds {
		if send, ok := cmd.(SendCmd); ok {
			out = append(out, signed(send.Msg))
		}
	}
	return out
}

func signed(m loop.Msg) loop.Msg {
	switch m := m.(type) {
	case HeartbeatMsg:
		m.From = "h"
		return m
	case ClockMsg:
		m.From = "d"
		return m
	}
	return m
}

// behind returns how much earlier than its holder the deputy must stop.
func (p *pair) behind() time.Duration { return p.holder.until.Sub(p.deputy.d.until) }

// slack is what drift and margin take off a told term.
func (p *pair) slack() time.Duration {
	times := p.holder.cfg.Times
	return times.Term/100 + times.Margin + 2*times.Heartbeat
}

// A deputy that asks with every beat doubles the messages of a fleet that is at
// rest, and nobody notices but the bill. One that asks too rarely has a short
// term when the store and its holder are lost together: its keys go down.
func TestADeputyAsksRarelyAndKeepsNearlyTheWholeTerm(t *testing.T) {
	p := newPair()
	p.run(t, 10*time.Minute)
	assert.Equal(t, p.asks, 20)
	p.holder.until = p.now.Add(p.holder.cfg.Times.Term) // the term is renewed
	p.run(t, p.holder.cfg.Times.Heartbeat)
	assert.Assert(t, p.behind() <= p.holder.cfg.Times.Term/askPart+p.slack(), "%v", p.behind())
}

// The holder's process starts anew and takes the seat under the next epoch: what
// it knew of the deputy's clock is gone. A deputy that waits out its period to
// ask would have no term for half a minute.
func TestARestartedHolderIsAnchoredAtOnce(t *testing.T) {
	p := newPair()
	p.run(t, time.Second)
	p.startHolder(2)
	p.run(t, 300*time.Millisecond)
	assert.Assert(t, p.behind() <= p.slack(), "%v", p.behind())
}

// The deputy's process starts anew, with a clock that counts from another start.
// A term counted from the earlier process's reading would end at a wrong time.
func TestARestartedDeputyIsAnchoredAtOnce(t *testing.T) {
	p := newPair()
	p.run(t, 10*time.Second)
	p.startDeputy()
	p.run(t, 300*time.Millisecond)
	assert.Equal(t, p.asks, 2)
	assert.Assert(t, p.behind() <= p.slack(), "%v", p.behind())
}

// Questions travel as datagrams and get lost. One that is not put again leaves
// the deputy without a term, which shows only when it is needed.
func TestALostQuestionIsPutAgain(t *testing.T) {
	p := newPair()
	lost := 0
	p.lose = func() bool { lost++; return lost <= 3 }
	p.run(t, time.Second)
	assert.Equal(t, p.asks, 4)
	assert.Assert(t, p.behind() <= p.slack(), "%v", p.behind())
}

// Seats win their authority at any moment. If their beats stayed apart, each
// would be a packet of its own; if one came later than a period after the last,
// three lost ones would no longer mean 300 ms.
func TestBeatsFallDueTogetherAndNeverLater(t *testing.T) {
	s := New(Config{Self: "h", Service: "lookup", Server: "a"})
	period := s.cfg.Times.Heartbeat
	for i := range 1000 {
		at := &turn{Lessor: s, now: time.Unix(1000, int64(i)*777_777)}
		next := at.nextBeat()
		assert.Assert(t, next.After(at.now) && next.Sub(at.now) <= period)
		assert.Equal(t, next.UnixNano()%int64(period), int64(0))
	}
}
