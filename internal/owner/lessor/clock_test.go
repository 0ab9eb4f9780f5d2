package lessor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// pair is a holder and its deputy, connected by messages alone.
type pair struct {
	now       time.Time
	holder    Lessor
	deputy    Lessor
	clockMsgs int
	dropClock func() bool // whether a ClockMsg gets lost
}

func newPair() *pair {
	p := &pair{now: time.Unix(1000, 0), dropClock: func() bool { return false }}
	p.startHolder(1)
	p.startDeputy()
	return p
}

// startHolder installs a holder that has just begun an epoch.
func (p *pair) startHolder(epoch ident.Epoch) {
	h := New(Config{Self: "h", Service: "lookup", Server: "a"})
	h.startedAt, h.auth, h.epoch = p.now, authHolding, epoch
	h.termEnd = p.now.Add(h.cfg.Times.Term)
	h.termRenewAt = h.termEnd
	h.record = Record{Epoch: epoch, Holder: "h", Deputy: "d", Term: h.cfg.Times.Term}
	p.holder = h
}

func (p *pair) startDeputy() {
	p.deputy = New(Config{Self: "d", Service: "lookup", Server: "a"})
	p.deputy.startedAt = p.now.Add(-time.Second)
}

// run exchanges heartbeats and clock messages for a time.
func (p *pair) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(p.holder.cfg.Times.Heartbeat) {
		for _, beat := range p.step(&p.holder, func(t *turn) { t.sendHeartbeat() }) {
			for _, ask := range p.step(&p.deputy, func(t *turn) { t.onHeartbeat(beat.(HeartbeatMsg)) }) {
				p.clockMsgs++
				if !p.dropClock() {
					p.step(&p.holder, func(t *turn) { t.onClock(ask.(ClockMsg)) })
				}
			}
		}
		assert.Assert(t, !p.deputy.deputy.termEnd.After(p.holder.deputyTermEnd), "a deputy may act longer than its holder told")
	}
}

// step runs one action on one VM and returns what it sends to the other.
func (p *pair) step(s *Lessor, do func(*turn)) []loop.Msg {
	t := &turn{Lessor: *s, now: p.now}
	do(t)
	*s = t.Lessor
	var out []loop.Msg
	for _, cmd := range t.cmds {
		if send, ok := cmd.(SendCmd); ok {
			out = append(out, withSender(send.Msg))
		}
	}
	return out
}

func withSender(m loop.Msg) loop.Msg {
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

// shortfall returns how much earlier than its holder the deputy must stop.
func (p *pair) shortfall() time.Duration { return p.holder.termEnd.Sub(p.deputy.deputy.termEnd) }

// slack is what drift and margin take off the term in a heartbeat.
func (p *pair) slack() time.Duration {
	times := p.holder.cfg.Times
	return times.Term/100 + times.Margin + 2*times.Heartbeat
}

// A deputy that sent its clock after every heartbeat would double the messages of an idle fleet.
// One that sent it too rarely would have a short term when the store and its holder are lost
// together, and its keys would become unavailable.
func TestDeputySendsItsClockRarelyAndKeepsNearlyTheWholeTerm(t *testing.T) {
	p := newPair()
	p.run(t, 10*time.Minute)
	assert.Equal(t, p.clockMsgs, 20)
	p.holder.termEnd = p.now.Add(p.holder.cfg.Times.Term) // the term is renewed
	p.run(t, p.holder.cfg.Times.Heartbeat)
	assert.Assert(t, p.shortfall() <= p.holder.cfg.Times.Term/clockAgeDivisor+p.slack(), "%v", p.shortfall())
}

// The holder's process restarts and begins the next epoch without knowing the
// deputy's clock. A deputy that waited out its period before sending its clock
// would have no term for half a minute.
func TestRestartedHolderGetsTheDeputysClockAtOnce(t *testing.T) {
	p := newPair()
	p.run(t, time.Second)
	p.startHolder(2)
	p.run(t, 300*time.Millisecond)
	assert.Assert(t, p.shortfall() <= p.slack(), "%v", p.shortfall())
}

// The deputy's process restarts, and its clock counts from another start. A
// term counted from the earlier process's reading would end at a wrong time.
func TestRestartedDeputySendsItsNewClockAtOnce(t *testing.T) {
	p := newPair()
	p.run(t, 10*time.Second)
	p.startDeputy()
	p.run(t, 300*time.Millisecond)
	assert.Equal(t, p.clockMsgs, 2)
	assert.Assert(t, p.shortfall() <= p.slack(), "%v", p.shortfall())
}

// Clock messages are datagrams and get lost. One that is not repeated leaves
// the deputy without a term, which shows only when it is needed.
func TestLostClockMessageIsSentAgain(t *testing.T) {
	p := newPair()
	lost := 0
	p.dropClock = func() bool { lost++; return lost <= 3 }
	p.run(t, time.Second)
	assert.Equal(t, p.clockMsgs, 4)
	assert.Assert(t, p.shortfall() <= p.slack(), "%v", p.shortfall())
}

// Authorities begin at any moment. If their heartbeats stayed apart, each would
// need a packet of its own; if one came more than a period after the last,
// three lost ones would no longer mean 300 ms.
func TestHeartbeatsShareATickAndAreNeverLate(t *testing.T) {
	s := New(Config{Self: "h", Service: "lookup", Server: "a"})
	period := s.cfg.Times.Heartbeat
	for i := range 1000 {
		at := &turn{Lessor: s, now: time.Unix(1000, int64(i)*777_777)}
		next := at.nextHeartbeat()
		assert.Assert(t, next.After(at.now) && next.Sub(at.now) <= period)
		assert.Equal(t, next.UnixNano()%int64(period), int64(0))
	}
}
