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

// mover is a core whose one slice moves from a to b.
type mover struct {
	core  *Core
	owner Owner
	known bool
	now   time.Time
}

func newMover(held int) *mover {
	m := &mover{core: NewCore(Config{Seed: 1, MaxHeld: held}), owner: Owner{Server: "a", Slice: 1, Epoch: 1}, known: true, now: begin}
	m.core.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 10}, {Name: "b", Slots: 1, Conns: 1}})
	m.core.Follow(begin, func(ident.Key) (Owner, bool) { return m.owner, m.known })
	return m
}

func (m *mover) job(c ident.Caller, left time.Duration) Job {
	return Job{
		Caller: c, Key: "scale-7", Slice: 1, Epoch: m.owner.Epoch, Server: m.owner.Server,
		Size: 1, Deadline: m.now.Add(left),
	}
}

// refused is a request that the owner of the table turned away.
func (m *mover) refused(c ident.Caller, left time.Duration) (*Ticket, Verdict) {
	t := &Ticket{Job: m.job(c, left).NextAttempt("")}
	return t, m.core.Await(m.now, t)
}

func (m *mover) offer(c ident.Caller, left time.Duration) (*Ticket, Verdict) {
	t := &Ticket{Job: m.job(c, left)}
	return t, m.core.Offer(m.now, t)
}

// pass lets time go by and returns who was decided meanwhile.
func (m *mover) pass(d time.Duration) []*Ticket {
	var all []*Ticket
	until := m.now.Add(d)
	for next := m.core.Next(); !next.IsZero() && !next.After(until); next = m.core.Next() {
		m.now = next
		m.core.Tick(m.now)
		all = append(all, m.core.Ready()...)
	}
	m.now = until
	return all
}

// turnedAway lets time go by while the owner refuses whoever asks it.
func (m *mover) turnedAway(t *testing.T, d time.Duration) (asked int) {
	t.Helper()
	for until := m.now.Add(d); m.now.Before(until); {
		for _, k := range m.pass(time.Millisecond) {
			if kind, _ := k.Refusal(); kind != kinds.None {
				continue
			}
			asked++
			m.core.Done(m.now, k, Outcome{Kind: kinds.Misrouted, Refused: true})
			m.core.Await(m.now, &Ticket{Job: k.Job.NextAttempt("")})
		}
	}
	return asked
}

// A key moves from one owner to another. Requests that come in between must
// reach the new owner, and only it; a caller would otherwise see its request
// refused, or two owners serve the key.
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

// Requests of many callers meet a key between owners, some as they come, some
// after the owner turned them away. When the next owner is known they must run
// there in the order in which they were asked, each once. A caller who came
// later would otherwise overtake, and a driver at the scale see the load of the
// lorry behind.
func TestThoseWhoWaitedLeaveInOrder(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := newMover(100)
		var asked []*Ticket
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			m.now = m.now.Add(time.Millisecond / 4)
			c := ident.Caller("c" + strconv.Itoa(i))
			k, v := m.refused(c, time.Hour)
			if i > 0 && rapid.Bool().Draw(t, "new") {
				m.core.Abandon(m.now, k)
				k, v = m.offer(c, time.Hour)
			}
			assert.Equal(t, v, Wait)
			asked = append(asked, k)
		}
		m.owner = Owner{Server: "b", Slice: 1, Epoch: 2}
		m.core.Moved(m.now)
		var ran []*Ticket
		for len(ran) < len(asked) {
			got := m.core.Ready()
			assert.Assert(t, len(got) > 0, "%d of %d ran", len(ran), len(asked))
			ran = append(ran, got...)
			m.now = m.now.Add(time.Millisecond)
			for _, k := range ran[len(ran)-len(got):] {
				assert.Equal(t, k.Server(), ident.Server("b"))
				m.core.Done(m.now, k, Outcome{Latency: time.Millisecond})
			}
		}
		assert.DeepEqual(t, callersOf(ran), callersOf(asked))
		assert.Equal(t, m.core.Stats(m.now).Held, 0)
	})
}

func callersOf(all []*Ticket) []ident.Caller {
	var names []ident.Caller
	for _, k := range all {
		names = append(names, k.Job.Caller)
	}
	return names
}

// The news of the next owner comes before its lease. Each request asking for
// itself until then would be a storm on a server that has just been given more
// to do; one at a time goes, and the first that is taken brings the others.
func TestOneAsksForAll(t *testing.T) {
	m := newMover(100)
	for i := range 50 {
		m.now = m.now.Add(time.Microsecond)
		_, v := m.refused(ident.Caller(strconv.Itoa(i)), time.Hour)
		assert.Equal(t, v, Wait)
	}
	asked := m.turnedAway(t, 10*lastAsk)
	assert.Assert(t, asked >= 10 && asked <= 12, "%d asked", asked)
	assert.Equal(t, m.core.Stats(m.now).Held, 50)
	var got []*Ticket
	for len(got) == 0 {
		got = m.pass(time.Millisecond)
	}
	assert.Equal(t, got[0].Job.Caller, ident.Caller("0"), "the oldest asks first")
	m.now = m.now.Add(time.Millisecond)
	m.core.Done(m.now, got[0], Outcome{Latency: time.Millisecond})
	assert.Equal(t, m.core.Stats(m.now).Held, 0, "the others still wait")
	assert.Assert(t, len(m.core.Ready()) > 0)
}

// A lost server's keys take a second to be served again. A request whose caller
// waits for less must hear at once that it was not run; its caller would
// otherwise hold a screen, and memory here, for an answer that cannot come.
func TestAMoveThatLastsTooLongRefusesAtOnce(t *testing.T) {
	m := newMover(100)
	_, v := m.refused("first", 250*time.Millisecond)
	assert.Equal(t, v, Wait, "a planned move would end in time")
	m.turnedAway(t, brief)
	late, v := m.offer("late", 250*time.Millisecond)
	assert.Equal(t, v, Refuse)
	kind, after := late.Refusal()
	assert.Equal(t, kind, kinds.Moving)
	assert.Equal(t, kind.Answer().Ran, kinds.RanNo)
	assert.Assert(t, after >= time.Second/2, "come back after %v", after)
	patient, v := m.offer("patient", 10*time.Second)
	assert.Equal(t, v, Wait)
	m.core.Abandon(m.now, patient)
	m.turnedAway(t, time.Second)
	assert.Equal(t, m.core.Stats(m.now).Held, 0)
}

// A rule lets its requests wait for an owner for 300 ms at most, however often
// they go and ask meanwhile.
func TestPatienceCountsFromTheFirstMeeting(t *testing.T) {
	m := newMover(100)
	j := m.job("c", time.Hour)
	j.MaxOwnerWait = 300 * time.Millisecond
	k := &Ticket{Job: j.NextAttempt("")}
	assert.Equal(t, m.core.Await(m.now, k), Wait)
	for {
		got := m.pass(time.Millisecond)
		if len(got) == 0 {
			continue
		}
		if kind, _ := got[0].Refusal(); kind != kinds.None {
			assert.Equal(t, kind, kinds.Moving)
			break
		}
		m.core.Done(m.now, got[0], Outcome{Kind: kinds.Misrouted, Refused: true})
		k = &Ticket{Job: got[0].Job.NextAttempt("")}
		if m.core.Await(m.now, k) == Refuse {
			break
		}
	}
	assert.Assert(t, m.now.Sub(begin) <= 300*time.Millisecond, "%v", m.now.Sub(begin))
	assert.Assert(t, m.now.Sub(begin) >= 250*time.Millisecond, "%v", m.now.Sub(begin))
}

// One caller sends all it has while a key moves. It must not take all places:
// the others' requests would be refused for a move that they could have waited
// out.
func TestAHotCallerLeavesPlacesInAMove(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		m := newMover(limit)
		hot := 0
		for range 2 * limit {
			if _, v := m.refused("hot", time.Hour); v == Wait {
				hot++
			}
		}
		assert.Assert(t, hot <= (limit+1)/2, "%d of %d", hot, limit)
		_, v := m.refused("other", time.Hour)
		assert.Equal(t, v, Wait)
		assert.Assert(t, m.core.Stats(m.now).Held <= limit)
	})
}

// All places are taken by requests that were asked before. One that went to ask
// and comes back must not be squeezed in beyond the bound: each held request
// costs memory of the VM and a connection of a caller.
func TestOneThatComesBackStaysWithinTheBound(t *testing.T) {
	m := newMover(4)
	young, v := m.offer("young", time.Hour)
	assert.Equal(t, v, Start)
	for i := range 4 {
		k := &Ticket{Job: m.job(ident.Caller(strconv.Itoa(i)), time.Hour).NextAttempt("")}
		k.Job.asked, k.Job.met = begin.Add(-time.Second), begin
		assert.Equal(t, m.core.Await(m.now, k), Wait)
	}
	m.now = m.now.Add(time.Millisecond)
	back := &Ticket{Job: young.Job.NextAttempt("")}
	back.Job.met = m.now
	m.core.Done(m.now, young, Outcome{Kind: kinds.Misrouted, Refused: true})
	assert.Equal(t, m.core.Await(m.now, back), Refuse)
	assert.Equal(t, m.core.Stats(m.now).Held, 4)
	old := &Ticket{Job: m.job("old", time.Hour).NextAttempt("")}
	old.Job.asked, old.Job.met = begin.Add(-2*time.Second), begin
	assert.Equal(t, m.core.Await(m.now, old), Wait, "older than all: the newest gives way")
	assert.Equal(t, m.core.Stats(m.now).Held, 4)
	assert.Equal(t, len(m.core.Ready()), 1)
}

// An owner answers one request that it had taken before its lease ended, and
// refuses those that came after. The late answer must not send everybody who
// waits to a server that will refuse them.
func TestALateAnswerOfTheFormerOwnerEndsNoHold(t *testing.T) {
	m := newMover(100)
	early, v := m.offer("early", time.Hour)
	assert.Equal(t, v, Start)
	m.now = m.now.Add(time.Millisecond)
	for i := range 5 {
		_, v = m.refused(ident.Caller(strconv.Itoa(i)), time.Hour)
		assert.Equal(t, v, Wait)
	}
	m.now = m.now.Add(time.Millisecond)
	m.core.Done(m.now, early, Outcome{Latency: 2 * time.Millisecond})
	assert.Equal(t, m.core.Stats(m.now).Held, 5)
	assert.Equal(t, len(m.core.Ready()), 0)
}

// A key owned apart from its slice moves. Requests for the other keys of the
// slice have their owner and must not wait.
func TestAHotKeysMoveHoldsNobodyElse(t *testing.T) {
	m := newMover(100)
	j := m.job("c", time.Hour)
	j.HotKey = true
	hot := &Ticket{Job: j.NextAttempt("")}
	assert.Equal(t, m.core.Await(m.now, hot), Wait)
	_, v := m.offer("other", time.Hour)
	assert.Equal(t, v, Start)
	j.Deadline = m.now.Add(time.Hour)
	assert.Equal(t, m.core.Offer(m.now, &Ticket{Job: j}), Wait, "the hot key's next one")
	assert.Equal(t, m.core.Stats(m.now).Held, 2)
}

// Each slice of a server without a lease sent it a request every 40 ms.
func TestOneAsksForAllSlicesOfAServer(t *testing.T) {
	const slices = 64
	m := newMover(4 * slices)
	m.known = false
	await := func(j Job) {
		m.core.Await(m.now, &Ticket{Job: j.NextAttempt("")})
	}
	for i := range slices {
		j := m.job("weighbridge", time.Hour)
		j.Slice = ident.Slice(i)
		await(j)
	}
	asked := 0
	for until := m.now.Add(20 * lastAsk); m.now.Before(until); {
		for _, k := range m.pass(time.Millisecond) {
			asked++
			m.core.Done(m.now, k, Outcome{Kind: kinds.Misrouted, Refused: true})
			await(k.Job)
		}
	}
	assert.Assert(t, asked >= 20 && asked <= 23, "%d asked", asked)

	var got []*Ticket
	for len(got) == 0 {
		got = m.pass(time.Millisecond)
	}
	m.core.Done(m.now, got[0], Outcome{Latency: time.Millisecond})
	assert.Assert(t, len(m.core.Ready()) > 1, "the other slices do not ask the server that answers again")
}
