package elect

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// world is a store and some VMs on one clock.
type world struct {
	t       *rapid.T
	now     time.Time
	lease   Lease
	version object.Version // zero: there is no lease
	writes  object.Version // versions are never used twice
	table   uint64         // the epoch of the key table
	writer  string         // the life of the VM that wrote it
	lives   int
	vms     []*vm
	away    bool // the store answers nobody
	lose    bool // it does what it is asked, and the answer is lost
}

type vm struct {
	w      *world
	name   ident.VM
	model  Model
	cut    bool // does not reach the store
	deaf   bool // does not reach the leader
	frozen bool
	acts   uint64 // the epoch under which it last gave orders
	later  []func()
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t, now: time.Unix(1000, 0)}
	for i := range n {
		v := &vm{w: w, name: ident.VM(rune('a' + i))}
		v.start("1")
		w.vms = append(w.vms, v)
	}
	return w
}

func (v *vm) start(life string) {
	v.model = New(v.w.now, v.name, string(v.name)+life, netip.AddrPort{})
	v.later, v.acts = nil, 0
}

func (v *vm) tell(msg loop.Msg) {
	next, cmds := v.model.Update(v.w.now, msg)
	v.model = next.(Model)
	for _, c := range cmds {
		v.do(c)
	}
}

func (v *vm) do(cmd loop.Cmd) {
	w, asked := v.w, v.w.now
	unreached := w.away || v.cut
	switch cmd := cmd.(type) {
	case ReadCmd:
		msg := ReadMsg{Asked: asked, Lease: w.lease, Version: w.version}
		if w.version == 0 {
			msg.Kind = kinds.NotFound
		}
		if unreached || w.lose {
			msg = ReadMsg{Asked: asked, Kind: kinds.Unavailable}
		}
		v.later = append(v.later, func() { v.tell(msg) })
	case WriteCmd:
		msg := WroteMsg{Asked: asked, Lease: cmd.Lease}
		switch {
		case unreached:
			msg.Kind = kinds.Ambiguous
		case cmd.Old != w.version:
			msg.Kind = kinds.Conflict
		default:
			w.writes++
			w.version, w.lease = w.writes, cmd.Lease
			msg.Version = w.version
			if w.lose {
				msg = WroteMsg{Asked: asked, Lease: cmd.Lease, Kind: kinds.Ambiguous}
			}
		}
		v.later = append(v.later, func() { v.tell(msg) })
	}
}

// run plays for a while, in steps of 50 ms. Followers ask the leader every third of a
// second.
func (w *world) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for n := 0; d > 0; d -= step {
		w.now = w.now.Add(step)
		n++
		for i, v := range w.vms {
			if v.frozen {
				continue
			}
			answers := v.later
			v.later = nil
			for _, f := range answers {
				f()
			}
			v.tell(TickMsg{})
			if n%6 == 0 {
				w.ask(i, v)
			}
		}
	}
}

func (w *world) ask(rank int, v *vm) {
	leader := w.find(v.model.Lease().Holder)
	if leader == nil || leader == v || leader.frozen || v.deaf || leader.deaf {
		return
	}
	l := leader.model
	v.tell(LeaseMsg{l.Lease()})
	switch {
	case l.Role() == Leader && l.Lease().Epoch == v.model.Lease().Epoch:
		v.tell(HeartbeatMsg{Epoch: l.Lease().Epoch, RenewOverdue: l.RenewOverdue(w.now)})
		v.tell(RankMsg{rank})
		leader.tell(LeaseMsg{v.model.Lease()})
	case l.Lease().Epoch == v.model.Lease().Epoch:
		v.tell(TermEndedMsg{l.Lease().Epoch})
		v.tell(SteppedDownMsg{l.Lease().Epoch})
	}
}

func (w *world) find(name ident.VM) *vm {
	for _, v := range w.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// life returns one that no process had before, as all processes have one of their own.
func (w *world) life() string {
	w.lives++
	return "x" + strconv.Itoa(w.lives)
}

// leaders lists those that may give orders now. One whose epoch is not above that of a
// key table which another wrote is told, and gives none unless it did before that.
func (w *world) leaders() []*vm {
	var all []*vm
	for _, v := range w.vms {
		if !w.now.Before(v.model.Until()) {
			continue
		}
		epoch, life := v.model.Lease().Epoch, v.model.Lease().Incarnation
		above := epoch > w.table || epoch == w.table && life == w.writer
		if !above && v.acts != epoch {
			if !v.frozen {
				v.tell(EpochMsg{w.table})
			}
			continue
		}
		if v.acts = epoch; above {
			w.table, w.writer = epoch, life
		}
		all = append(all, v)
	}
	return all
}

// loseLease removes the lease, or makes it unreadable.
func (w *world) loseLease(whole bool) {
	w.lease, w.version = Lease{}, 0
	if !whole {
		w.writes++
		w.version = w.writes
	}
}

// VMs freeze, start again, lose the store or each other, and the store loses answers.
// A leader may be replaced while it still gives orders; the next one must know until
// when, or it would give keys away that the other still renews. The lease is lost, too:
// who claims the lead then may know of no leader before it.
func TestANewLeaderKnowsHowLongTheOldOneMayGoOn(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		for range rapid.IntRange(2, 12).Draw(t, "faults") {
			v := w.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				v.cut = !v.cut
			case 1:
				v.deaf = !v.deaf
			case 2:
				v.frozen = !v.frozen
			case 3:
				v.start(w.life())
			case 4:
				w.away = !w.away
			case 5:
				w.lose = !w.lose
			case 6:
				v.tell(LeaveMsg{})
				v.start(w.life())
			case 7:
				w.loseLease(rapid.Bool().Draw(t, "removed"))
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				w.run(50 * time.Millisecond)
				w.check()
			}
		}
	})
}

// check compares each pair of leaders: the bar of the later one covers the other.
func (w *world) check() {
	all := w.leaders()
	for _, a := range all {
		for _, b := range all {
			if a.model.Lease().Epoch < b.model.Lease().Epoch {
				assert.Assert(w.t, !a.model.Until().After(b.model.OldTermEnd()),
					"%s leads until %v, %s takes it for ended at %v", a.name, a.model.Until(), b.name, b.model.OldTermEnd())
			}
			assert.Assert(w.t, a == b || a.model.Lease().Epoch != b.model.Lease().Epoch, "two leaders of one epoch")
		}
	}
}

// A leader's process is killed. Nobody renews grants until another VM leads, and they
// last four seconds.
func TestALostLeaderIsReplacedWithinTwoSeconds(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		w.run(3 * time.Second)
		lost := w.find(w.lease.Holder)
		assert.Equal(t, lost.model.Role(), Leader)
		lost.frozen = true
		w.run(2 * time.Second)
		assert.Assert(t, w.lease.Holder != lost.name)
		assert.Equal(t, w.find(w.lease.Holder).model.Role(), Leader)
	})
}

// The store turns the leader away and serves the others. Keys of a server that leaves
// must move within two seconds, and the leader can agree on nothing.
func TestALeaderWithoutTheStoreIsReplacedByOneWithIt(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.run(3 * time.Second)
		old := w.find(w.lease.Holder)
		old.cut = true
		w.run(5 * time.Second)
		assert.Assert(t, w.lease.Holder != old.name)
		assert.Equal(t, old.model.Role(), Follower)
	})
}

// The leader and the VMs that would go first in its place are cut off from the store, all
// at once. It goes on answering, and says that it does not reach the store. If the others'
// turn began anew with each of its answers, it would never come for those that go later
// than one answer follows the other: nobody hears of the operator's new rules until the
// leader's term ends, five seconds on.
func TestALeaderWithoutTheStoreIsReplacedWhoeverIsCutOffBesideIt(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, 10)
		w.run(3 * time.Second)
		old := w.find(w.lease.Holder)
		old.cut = true
		beside := rapid.IntRange(0, 6).Draw(t, "beside")
		for _, v := range w.vms[:beside] {
			v.cut = true
		}
		w.run(RenewInterval + 3*time.Second)
		assert.Assert(t, w.lease.Holder != old.name, "%d cut off beside it", beside)
	})
}

// The store is away from everybody for a while. The one who leads knows what it
// granted, and is still the leader afterwards.
func TestALeaderOutlastsAnAbsenceOfTheStore(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.run(3 * time.Second)
		holder, epoch := w.lease.Holder, w.lease.Epoch
		w.away = true
		w.run(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
		w.away = false
		w.run(2 * time.Second)
		assert.Equal(t, w.lease.Holder, holder)
		assert.Equal(t, w.lease.Epoch, epoch)
	})
}

// An operator removes the lease, or writes over it, and all VMs start again. The key
// table stands at the epoch of a leader that none of them knows. Below it no key would
// have an owner; and that leader may go on for its term, since nobody knows whether it
// has ended.
func TestALostLeaseIsWrittenAboveTheKeyTable(t *testing.T) {
	for _, removed := range []bool{true, false} {
		seeds.Check(t, func(t *rapid.T) {
			w := newWorld(t, 3)
			w.run(3 * time.Second)
			w.table = rapid.Uint64Range(1, 1000).Draw(t, "table")
			w.loseLease(removed)
			for _, v := range w.vms {
				v.start("2")
			}
			for n := 0; len(w.leaders()) == 0; n++ {
				assert.Assert(t, n < 100, "nobody gives orders")
				w.run(50 * time.Millisecond)
			}
			m := w.leaders()[0].model
			assert.Assert(t, m.Lease().Epoch > 1 && m.Lease().Epoch >= w.table)
			assert.Assert(t, m.OldTermEnd().After(w.now.Add(Term)))
			before := m.OldTermEnd()
			w.leaders()[0].tell(TermEndedMsg{m.Lease().Epoch - 1})
			assert.Equal(t, w.leaders()[0].model.OldTermEnd(), before, "a word about one leader is none about all")
		})
	}
}

// The lease is removed while its leader is well. It has the lead again before another
// could take it, and does not rest: grants last four seconds.
func TestALeaderWritesItsLostLeaseAnew(t *testing.T) {
	for _, removed := range []bool{true, false} {
		seeds.Check(t, func(t *rapid.T) {
			w := newWorld(t, 3)
			w.run(3 * time.Second)
			holder, epoch := w.lease.Holder, w.lease.Epoch
			w.loseLease(removed)
			for range 40 {
				w.run(50 * time.Millisecond)
				assert.Equal(t, w.find(holder).model.Role(), Leader)
			}
			assert.Equal(t, w.lease.Holder, holder)
			assert.Assert(t, w.lease.Epoch > epoch)
		})
	}
}

// A leader that shuts down says so, and does not make the others wait for its silence.
func TestALeaderThatLeavesIsReplacedAtOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.run(3 * time.Second)
		old := w.find(w.lease.Holder)
		old.tell(LeaveMsg{})
		w.run(900 * time.Millisecond)
		assert.Assert(t, w.lease.Holder != old.name)
		next := w.find(w.lease.Holder)
		assert.Assert(t, !next.model.OldTermEnd().After(w.now.Add(Margin)), "it said that it has ended")
	})
}

// The first VM that started leads, and a much stronger one is there. The weak one makes
// way once it has led for a while, but not while the store is away: then nobody could
// take over, and all keys would lapse.
func TestAWeakLeaderMakesWay(t *testing.T) {
	start := time.Unix(1000, 0)
	leads := func() Model {
		m := New(start, "vm-1", "vm-1-a", netip.AddrPort{})
		next, _ := m.Update(start, TickMsg{})
		next, _ = next.(Model).Update(start, ReadMsg{Asked: start, Kind: kinds.NotFound})
		next, _ = next.(Model).Update(start, WroteMsg{Asked: start, Lease: Lease{Epoch: 1, Holder: "vm-1", Incarnation: "vm-1-a"}, Version: 3})
		return next.(Model)
	}
	m := leads()
	assert.Equal(t, m.Role(), Leader)
	early, _ := m.Update(start.Add(MinTenure/2), StepDownMsg{})
	assert.Equal(t, early.(Model).Role(), Leader, "it began a moment ago")
	away, _ := m.Update(start.Add(MinTenure), StepDownMsg{})
	assert.Equal(t, away.(Model).Role(), Leader, "the store did not confirm the lead lately")

	m.sure = start.Add(MinTenure)
	next, cmds := m.Update(start.Add(MinTenure), StepDownMsg{})
	m = next.(Model)
	assert.Equal(t, m.Role(), Follower)
	assert.Equal(t, len(cmds), 1)
	assert.Assert(t, !m.overdue(start.Add(MinTenure+TakeoverBackoff/2)), "it does not take the lead back at once")
	assert.Assert(t, m.overdue(start.Add(MinTenure+TakeoverBackoff)), "it does when nobody else takes it")
}

// All VMs are killed and start again. Each must learn at once whether somebody leads
// still, and only the claims are spread: a VM that does not look waits for nothing, and
// its callers with it.
func TestAVMThatStartsLooksAtOnceAndClaimsLater(t *testing.T) {
	start := time.Unix(1000, 0)
	m := New(start, "vm-1", "vm-1-a", netip.AddrPort{}, WithDelay(time.Second))
	next, cmds := m.Update(start, TickMsg{})
	assert.DeepEqual(t, cmds, []loop.Cmd{ReadCmd{}})
	next, cmds = next.Update(start, ReadMsg{Asked: start, Kind: kinds.NotFound})
	assert.Equal(t, len(cmds), 0, "nobody leads, and it is not its turn")
	next, cmds = next.Update(start.Add(time.Second/2), TickMsg{})
	assert.Equal(t, len(cmds), 0)
	at := start.Add(time.Second)
	next, cmds = next.Update(at, TickMsg{})
	assert.DeepEqual(t, cmds, []loop.Cmd{ReadCmd{}})
	next, cmds = next.Update(at, ReadMsg{Asked: at, Kind: kinds.NotFound})
	assert.Equal(t, len(cmds), 1)
	assert.Equal(t, next.(Model).Role(), Claim)
}

// A VM that had just started took the lead at the return of the store, before those who knew what to tell.
func TestAVMThatStartsLeavesTheLeadToThoseWhoFollowed(t *testing.T) {
	start := time.Unix(1000, 0)
	began := func(settled bool) Model {
		m := New(start, "vm-1", "vm-1-a", netip.AddrPort{})
		next, _ := m.Update(start, LeaseMsg{Lease: Lease{Epoch: 2, Holder: "vm-2", Incarnation: "b"}})
		if settled {
			next, _ = next.Update(start, ClusterFormedMsg{})
		}
		next, _ = next.Update(start, SteppedDownMsg{Epoch: 2})
		return next.(Model)
	}
	assert.Assert(t, began(false).overdue(start), "nobody else is there")

	m := began(true)
	assert.Assert(t, !m.overdue(start.Add(FirstClaimDelay-1)))
	assert.Assert(t, m.overdue(start.Add(FirstClaimDelay)), "nobody who followed was heard again")

	var next loop.Model = m
	for d := time.Duration(0); d < 2*Settling; d += 100 * time.Millisecond {
		assert.Equal(t, next.(Model).overdue(start.Add(d)), d >= Settling, "%v", d)
		next, _ = next.Update(start.Add(d), ClusterFormedMsg{})
	}

	next, _ = m.Update(start, RankMsg{N: 0})
	next, _ = next.Update(start.Add(FirstClaimDelay), ClusterFormedMsg{})
	assert.Assert(t, next.(Model).overdue(start.Add(FirstClaimDelay)), "a leader has answered it")
}
