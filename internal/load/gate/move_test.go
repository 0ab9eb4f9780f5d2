package gate

import (
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// moveSim is a core with one slice that moves from server a to b.
type moveSim struct {
	core  *Core
	owner Owner
	known bool
	now   time.Time
}

func newMoveSim(held int) *moveSim {
	m := &moveSim{core: NewCore(Config{Seed: 1, MaxHeld: held}), owner: Owner{Server: "a", Slice: 1, Epoch: 1}, known: true, now: begin}
	m.core.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 10}, {Name: "b", Slots: 1, Conns: 1}})
	m.core.SetOwnerLookup(begin, func(ident.Key) (Owner, bool) { return m.owner, m.known })
	return m
}

func (m *moveSim) job(c ident.Caller, left time.Duration) Job {
	return Job{
		Caller: c, Key: "scale-7", Slice: 1, Epoch: m.owner.Epoch, Server: m.owner.Server,
		Size: 1, Deadline: m.now.Add(left),
	}
}

// offerMisrouted waits for the owner with a request that the known owner has refused.
func (m *moveSim) offerMisrouted(c ident.Caller, left time.Duration) (*Ticket, Verdict) {
	t := &Ticket{Job: m.job(c, left).NextAttempt("")}
	return t, m.core.WaitOwner(m.now, t)
}

func (m *moveSim) offer(c ident.Caller, left time.Duration) (*Ticket, Verdict) {
	t := &Ticket{Job: m.job(c, left)}
	return t, m.core.Offer(m.now, t)
}

// advance advances the time and returns the tickets decided meanwhile.
func (m *moveSim) advance(d time.Duration) []*Ticket {
	var all []*Ticket
	until := m.now.Add(d)
	for next := m.core.Next(); !next.IsZero() && !next.After(until); next = m.core.Next() {
		m.now = next
		m.core.Tick(m.now)
		all = append(all, m.core.TakeDecided()...)
	}
	m.now = until
	return all
}

// refuseProbes advances the time while the owner refuses every probe, and returns their
// number.
func (m *moveSim) refuseProbes(t *testing.T, d time.Duration) (probes int) {
	t.Helper()
	for until := m.now.Add(d); m.now.Before(until); {
		for _, tk := range m.advance(time.Millisecond) {
			if kind, _ := tk.Refusal(); kind != kinds.None {
				continue
			}
			probes++
			m.core.Done(m.now, tk, Outcome{Kind: kinds.Misrouted, Refused: true})
			m.core.WaitOwner(m.now, &Ticket{Job: tk.Job.NextAttempt("")})
		}
	}
	return probes
}

// Guards against a request refused because its key is moving, and against two owners
// serving the key: requests that arrive during the move must reach the new owner only.
func TestMovingKeyWaitsForItsNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{Seed: 1})
		defer g.Close()
		g.SetServers([]ServerInfo{{Name: "a", Slots: 4, Conns: 10}, {Name: "b", Slots: 4, Conns: 10}})
		var owner atomic.Pointer[Owner]
		owner.Store(&Owner{Server: "a", Slice: 1, Epoch: 1})
		g.SetOwnerLookup(func(ident.Key) (Owner, bool) { return *owner.Load(), true })
		job := Job{Key: "scale-7", Slice: 1, Server: "a", Epoch: 1}
		first, err := g.Enter(t.Context(), job)
		assert.NilError(t, err)
		time.AfterFunc(5*time.Millisecond, func() {
			owner.Store(&Owner{Server: "b", Slice: 1, Epoch: 2})
			g.OwnersChanged()
		})
		start := time.Now()
		p, err := first.WaitOwner(t.Context(), Outcome{Kind: kinds.Misrouted, Refused: true})
		assert.NilError(t, err)
		assert.Equal(t, p.Server(), ident.Server("b"))
		assert.Equal(t, time.Since(start), 5*time.Millisecond)
		p.Done(Outcome{})
		assert.Equal(t, g.Stats().Running, 0)
	})
}

// Guards against reordering by a move: a driver at the weighbridge would see the load of
// the lorry behind. Some requests arrive during the move, some come back refused by the
// former owner; the next owner must run each once, in order of arrival.
func TestWaitingRequestsRunInArrivalOrderAfterMove(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := newMoveSim(100)
		var asked []*Ticket
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			m.now = m.now.Add(time.Millisecond / 4)
			c := ident.Caller("c" + strconv.Itoa(i))
			tk, v := m.offerMisrouted(c, time.Hour)
			if i > 0 && rapid.Bool().Draw(t, "new") {
				m.core.Abandon(m.now, tk)
				tk, v = m.offer(c, time.Hour)
			}
			assert.Equal(t, v, Wait)
			asked = append(asked, tk)
		}
		m.owner = Owner{Server: "b", Slice: 1, Epoch: 2}
		m.core.OwnersChanged(m.now)
		var ran []*Ticket
		for len(ran) < len(asked) {
			got := m.core.TakeDecided()
			assert.Assert(t, len(got) > 0, "%d of %d ran", len(ran), len(asked))
			ran = append(ran, got...)
			m.now = m.now.Add(time.Millisecond)
			for _, tk := range ran[len(ran)-len(got):] {
				assert.Equal(t, tk.Server(), ident.Server("b"))
				m.core.Done(m.now, tk, Outcome{Latency: time.Millisecond})
			}
		}
		assert.DeepEqual(t, callersOf(ran), callersOf(asked))
		assert.Equal(t, m.core.Stats(m.now).Held, 0)
	})
}

func callersOf(all []*Ticket) []ident.Caller {
	var names []ident.Caller
	for _, tk := range all {
		names = append(names, tk.Job.Caller)
	}
	return names
}

// Guards against a flood of retries at a new owner that is announced before it has its
// lease. One probe at a time is sent, and the first one that is answered releases the
// others.
func TestOneProbeAtATimePerMovingSlice(t *testing.T) {
	m := newMoveSim(100)
	for i := range 50 {
		m.now = m.now.Add(time.Microsecond)
		_, v := m.offerMisrouted(ident.Caller(strconv.Itoa(i)), time.Hour)
		assert.Equal(t, v, Wait)
	}
	probes := m.refuseProbes(t, 10*maxProbeDelay)
	assert.Assert(t, probes >= 10 && probes <= 12, "%d probes", probes)
	assert.Equal(t, m.core.Stats(m.now).Held, 50)
	var got []*Ticket
	for len(got) == 0 {
		got = m.advance(time.Millisecond)
	}
	assert.Equal(t, got[0].Job.Caller, ident.Caller("0"), "the oldest request must be the first probe")
	m.now = m.now.Add(time.Millisecond)
	m.core.Done(m.now, got[0], Outcome{Latency: time.Millisecond})
	assert.Equal(t, m.core.Stats(m.now).Held, 0, "the others must be released")
	assert.Assert(t, len(m.core.TakeDecided()) > 0)
}

// Guards against waiting in vain when an owner is lost and its keys have no owner for a
// second. A request with less time than that must be refused as not run at once; it
// would hold memory and its caller would wait for nothing.
func TestAMoveThatLastsTooLongRefusesAtOnce(t *testing.T) {
	m := newMoveSim(100)
	_, v := m.offerMisrouted("first", 250*time.Millisecond)
	assert.Equal(t, v, Wait, "a planned move would end in time")
	m.refuseProbes(t, maxPlannedMove)
	late, v := m.offer("late", 250*time.Millisecond)
	assert.Equal(t, v, Refuse)
	kind, after := late.Refusal()
	assert.Equal(t, kind, kinds.Moving)
	assert.Equal(t, kind.Answer().Ran, kinds.RanNo)
	assert.Assert(t, after >= time.Second/2, "retry after %v", after)
	patient, v := m.offer("patient", 10*time.Second)
	assert.Equal(t, v, Wait)
	m.core.Abandon(m.now, patient)
	m.refuseProbes(t, time.Second)
	assert.Equal(t, m.core.Stats(m.now).Held, 0)
}

// Guards against a wait beyond the rule's MaxOwnerWait of 300 ms by a request that is
// sent as a probe several times.
func TestMaxOwnerWaitCountsFromFirstMiss(t *testing.T) {
	m := newMoveSim(100)
	j := m.job("c", time.Hour)
	j.MaxOwnerWait = 300 * time.Millisecond
	tk := &Ticket{Job: j.NextAttempt("")}
	assert.Equal(t, m.core.WaitOwner(m.now, tk), Wait)
	for {
		got := m.advance(time.Millisecond)
		if len(got) == 0 {
			continue
		}
		if kind, _ := got[0].Refusal(); kind != kinds.None {
			assert.Equal(t, kind, kinds.Moving)
			break
		}
		m.core.Done(m.now, got[0], Outcome{Kind: kinds.Misrouted, Refused: true})
		tk = &Ticket{Job: got[0].Job.NextAttempt("")}
		if m.core.WaitOwner(m.now, tk) == Refuse {
			break
		}
	}
	assert.Assert(t, m.now.Sub(begin) <= 300*time.Millisecond, "%v", m.now.Sub(begin))
	assert.Assert(t, m.now.Sub(begin) >= 250*time.Millisecond, "%v", m.now.Sub(begin))
}

// Guards against one caller taking all places in the move queues: the requests of
// others would be refused for a move that they could have waited out.
func TestHotCallerLeavesRoomInMoveQueue(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		m := newMoveSim(limit)
		hot := 0
		for range 2 * limit {
			if _, v := m.offerMisrouted("hot", time.Hour); v == Wait {
				hot++
			}
		}
		assert.Assert(t, hot <= (limit+1)/2, "%d of %d", hot, limit)
		_, v := m.offerMisrouted("other", time.Hour)
		assert.Equal(t, v, Wait)
		assert.Assert(t, m.core.Stats(m.now).Held <= limit)
	})
}

// Guards against a refused probe that returns to full move queues and exceeds MaxHeld:
// each held request costs memory of the VM and a connection of a caller.
func TestReturningProbeStaysWithinMaxHeld(t *testing.T) {
	m := newMoveSim(4)
	young, v := m.offer("young", time.Hour)
	assert.Equal(t, v, Start)
	for i := range 4 {
		tk := &Ticket{Job: m.job(ident.Caller(strconv.Itoa(i)), time.Hour).NextAttempt("")}
		tk.Job.arrivedAt, tk.Job.ownerMissingSince = begin.Add(-time.Second), begin
		assert.Equal(t, m.core.WaitOwner(m.now, tk), Wait)
	}
	m.now = m.now.Add(time.Millisecond)
	back := &Ticket{Job: young.Job.NextAttempt("")}
	back.Job.ownerMissingSince = m.now
	m.core.Done(m.now, young, Outcome{Kind: kinds.Misrouted, Refused: true})
	assert.Equal(t, m.core.WaitOwner(m.now, back), Refuse)
	assert.Equal(t, m.core.Stats(m.now).Held, 4)
	old := &Ticket{Job: m.job("old", time.Hour).NextAttempt("")}
	old.Job.arrivedAt, old.Job.ownerMissingSince = begin.Add(-2*time.Second), begin
	assert.Equal(t, m.core.WaitOwner(m.now, old), Wait, "older than all: the newest must be refused")
	assert.Equal(t, m.core.Stats(m.now).Held, 4)
	assert.Equal(t, len(m.core.TakeDecided()), 1)
}

// Guards against a late answer ending a move. The former owner answers a request that
// it had started before its lease ended, and refuses later ones; those waiting must not
// be sent to it.
func TestLateAnswerOfFormerOwnerDoesNotEndMove(t *testing.T) {
	m := newMoveSim(100)
	early, v := m.offer("early", time.Hour)
	assert.Equal(t, v, Start)
	m.now = m.now.Add(time.Millisecond)
	for i := range 5 {
		_, v = m.offerMisrouted(ident.Caller(strconv.Itoa(i)), time.Hour)
		assert.Equal(t, v, Wait)
	}
	m.now = m.now.Add(time.Millisecond)
	m.core.Done(m.now, early, Outcome{Latency: 2 * time.Millisecond})
	assert.Equal(t, m.core.Stats(m.now).Held, 5)
	assert.Equal(t, len(m.core.TakeDecided()), 0)
}

// Guards against requests for the other keys of a slice waiting while a key with an
// owner of its own moves.
func TestHotKeyMoveDoesNotDelayItsSlice(t *testing.T) {
	m := newMoveSim(100)
	j := m.job("c", time.Hour)
	j.HotKey = true
	hot := &Ticket{Job: j.NextAttempt("")}
	assert.Equal(t, m.core.WaitOwner(m.now, hot), Wait)
	_, v := m.offer("other", time.Hour)
	assert.Equal(t, v, Start)
	j.Deadline = m.now.Add(time.Hour)
	assert.Equal(t, m.core.Offer(m.now, &Ticket{Job: j}), Wait, "the next request for the hot key must wait")
	assert.Equal(t, m.core.Stats(m.now).Held, 2)
}

// Guards against one probe each 40 ms from every slice of a server without a lease.
func TestOneProbeAtATimePerServer(t *testing.T) {
	const slices = 64
	m := newMoveSim(4 * slices)
	m.known = false
	await := func(j Job) {
		m.core.WaitOwner(m.now, &Ticket{Job: j.NextAttempt("")})
	}
	for i := range slices {
		j := m.job("weighbridge", time.Hour)
		j.Slice = ident.Slice(i)
		await(j)
	}
	probes := 0
	for until := m.now.Add(20 * maxProbeDelay); m.now.Before(until); {
		for _, tk := range m.advance(time.Millisecond) {
			probes++
			m.core.Done(m.now, tk, Outcome{Kind: kinds.Misrouted, Refused: true})
			await(tk.Job)
		}
	}
	assert.Assert(t, probes >= 20 && probes <= 23, "%d probes", probes)

	var got []*Ticket
	for len(got) == 0 {
		got = m.advance(time.Millisecond)
	}
	m.core.Done(m.now, got[0], Outcome{Latency: time.Millisecond})
	assert.Assert(t, len(m.core.TakeDecided()) > 1, "the other slices must probe the recovered server")
}
