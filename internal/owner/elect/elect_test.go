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

// cluster is a store and several VMs that share one simulated clock.
type cluster struct {
	t            *rapid.T
	now          time.Time
	lease        Lease
	version      object.Version // zero: there is no lease of the era
	era          object.Era
	copied       Lease // the lease of the era before, as of the copy from which the store returned
	past         []Lease
	writes       object.Version // versions are never used twice
	tableEpoch   uint64         // epoch of the key table
	tableWriter  string         // incarnation of the VM that wrote the key table
	incarnations int
	vms          []*vm
	storeDown    bool // the store is unreachable for every VM
	loseAnswers  bool // the store applies calls, but all its answers are lost
}

type vm struct {
	cluster    *cluster
	name       ident.VM
	model      Model
	storeCut   bool // cannot reach the store
	leaderCut  bool // cannot exchange messages with the leader
	frozen     bool
	actedEpoch uint64 // epoch under which it last gave orders
	pending    []func()
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{t: t, now: time.Unix(1000, 0)}
	for i := range n {
		v := &vm{cluster: c, name: ident.VM(rune('a' + i))}
		v.start("1")
		c.vms = append(c.vms, v)
	}
	return c
}

func (v *vm) start(incarnation string) {
	v.model = New(v.cluster.now, v.name, string(v.name)+incarnation, netip.AddrPort{})
	v.pending, v.actedEpoch = nil, 0
}

func (v *vm) update(msg loop.Msg) {
	next, cmds := v.model.Update(v.cluster.now, msg)
	v.model = next.(Model)
	for _, c := range cmds {
		v.execute(c)
	}
}

func (v *vm) execute(cmd loop.Cmd) {
	c, asked := v.cluster, v.cluster.now
	unreached := c.storeDown || v.storeCut
	switch cmd := cmd.(type) {
	case ReadCmd:
		msg := ReadMsg{Asked: asked, Lease: c.lease, Version: c.version, Era: c.era}
		if c.era > 1 && c.version == 0 {
			msg.MaxEpoch = max(c.copied.Epoch, 1)
		}
		if c.version == 0 {
			msg.Kind = kinds.NotFound
		}
		if unreached || c.loseAnswers {
			msg = ReadMsg{Asked: asked, Kind: kinds.Unavailable}
		}
		v.pending = append(v.pending, func() { v.update(msg) })
	case WriteCmd:
		msg := WroteMsg{Asked: asked, Lease: cmd.Lease}
		switch {
		case unreached:
			msg.Kind = kinds.Ambiguous
		case cmd.Old != c.version || cmd.Era != c.era:
			msg.Kind = kinds.Conflict
		default:
			c.writes++
			c.version, c.lease = c.writes, cmd.Lease
			c.past = append(c.past, c.lease)
			msg.Version = c.version
			if c.loseAnswers {
				msg = WroteMsg{Asked: asked, Lease: cmd.Lease, Kind: kinds.Ambiguous}
			}
		}
		v.pending = append(v.pending, func() { v.update(msg) })
	}
}

// advance runs the simulation for d in steps of 50 ms. Followers poll the leader every third
// of a second.
func (c *cluster) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for n := 0; d > 0; d -= step {
		c.now = c.now.Add(step)
		n++
		for i, v := range c.vms {
			if v.frozen {
				continue
			}
			answers := v.pending
			v.pending = nil
			for _, f := range answers {
				f()
			}
			v.update(TickMsg{})
			if n%6 == 0 {
				c.pollLeader(i, v)
			}
		}
	}
}

func (c *cluster) pollLeader(rank int, v *vm) {
	leader := c.find(v.model.Lease().Holder)
	if leader == nil || leader == v || leader.frozen || v.leaderCut || leader.leaderCut {
		return
	}
	l := leader.model
	v.update(LeaseMsg{l.Lease()})
	switch {
	case l.Role() == Leader && l.Lease().Epoch == v.model.Lease().Epoch:
		v.update(HeartbeatMsg{Epoch: l.Lease().Epoch, RenewOverdue: l.RenewOverdue(c.now)})
		v.update(RankMsg{rank})
		leader.update(LeaseMsg{v.model.Lease()})
	case l.Lease().Epoch == v.model.Lease().Epoch:
		v.update(TermEndedMsg{l.Lease().Epoch})
		v.update(SteppedDownMsg{l.Lease().Epoch})
	}
}

func (c *cluster) find(name ident.VM) *vm {
	for _, v := range c.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// newIncarnation returns a value that no process has used before.
func (c *cluster) newIncarnation() string {
	c.incarnations++
	return "x" + strconv.Itoa(c.incarnations)
}

// leaders lists the VMs that may give orders now. A leader whose epoch is not above that of
// a key table written by another VM receives an EpochMsg and is left out, unless it gave
// orders under that epoch before.
func (c *cluster) leaders() []*vm {
	var all []*vm
	for _, v := range c.vms {
		if !c.now.Before(v.model.Until()) {
			continue
		}
		epoch, incarnation := v.model.Lease().Epoch, v.model.Lease().Incarnation
		above := epoch > c.tableEpoch || epoch == c.tableEpoch && incarnation == c.tableWriter
		if !above && v.actedEpoch != epoch {
			if !v.frozen {
				v.update(EpochMsg{c.tableEpoch})
			}
			continue
		}
		if v.actedEpoch = epoch; above {
			c.tableEpoch, c.tableWriter = epoch, incarnation
		}
		all = append(all, v)
	}
	return all
}

// loseLease removes the lease, or makes it unreadable if removed is false.
func (c *cluster) loseLease(removed bool) {
	c.lease, c.version = Lease{}, 0
	if !removed {
		c.writes++
		c.version = c.writes
	}
}

// returnStore lets the store return from a copy of some writes before.
func (c *cluster) returnStore(lost int) {
	c.era = max(c.era+1, 2)
	c.copied = Lease{}
	if n := len(c.past) - lost; n > 0 {
		c.copied = c.past[n-1]
	}
	c.lease, c.version, c.storeDown = Lease{}, 0, false
}

// Guards against a new leader that takes the one before for ended, when the store has
// returned from an older copy that may not have the lease of that one.
func TestANewLeaderKnowsHowLongTheOldOneMayGoOnWhenTheStoreReturns(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.era = 1
		for range rapid.IntRange(2, 12).Draw(t, "faults") {
			v := c.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				v.storeCut = !v.storeCut
			case 1:
				v.leaderCut = !v.leaderCut
			case 2:
				v.frozen = !v.frozen
			case 3:
				v.start(c.newIncarnation())
			case 4:
				c.storeDown = !c.storeDown
			case 5:
				c.returnStore(rapid.IntRange(0, 10).Draw(t, "lost"))
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				c.advance(50 * time.Millisecond)
				c.checkOldTerms()
			}
		}
	})
}

// Guards against a leader that is replaced because the store has returned without its lease.
func TestALeaderGoesOnWhenTheStoreReturns(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.era = 1
		c.advance(3 * time.Second)
		holder, epoch := c.lease.Holder, c.lease.Epoch
		for range 2 {
			c.storeDown = true
			c.advance(time.Duration(rapid.IntRange(0, 80).Draw(t, "away")) * 50 * time.Millisecond)
			c.returnStore(rapid.IntRange(0, 10).Draw(t, "lost"))
			c.advance(2 * time.Second)
			assert.Equal(t, c.lease.Holder, holder)
			assert.Assert(t, c.lease.Epoch > epoch)
			epoch = c.lease.Epoch
		}
	})
}

// Guards against a new leader that reassigns keys which the old leader still renews.
// VMs freeze, restart, lose the store or each other, the store loses answers, and the
// lease itself is lost, so that a claimant may know of no earlier leader.
func TestANewLeaderKnowsHowLongTheOldOneMayGoOn(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		for range rapid.IntRange(2, 12).Draw(t, "faults") {
			v := c.vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				v.storeCut = !v.storeCut
			case 1:
				v.leaderCut = !v.leaderCut
			case 2:
				v.frozen = !v.frozen
			case 3:
				v.start(c.newIncarnation())
			case 4:
				c.storeDown = !c.storeDown
			case 5:
				c.loseAnswers = !c.loseAnswers
			case 6:
				v.update(LeaveMsg{})
				v.start(c.newIncarnation())
			case 7:
				c.loseLease(rapid.Bool().Draw(t, "removed"))
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				c.advance(50 * time.Millisecond)
				c.checkOldTerms()
			}
		}
	})
}

// checkOldTerms asserts for each pair of leaders that the later one's OldTermEnd covers the earlier.
func (c *cluster) checkOldTerms() {
	all := c.leaders()
	for _, a := range all {
		for _, b := range all {
			if a.model.Lease().Epoch < b.model.Lease().Epoch {
				assert.Assert(c.t, !a.model.Until().After(b.model.OldTermEnd()),
					"%s leads until %v, %s takes it for ended at %v", a.name, a.model.Until(), b.name, b.model.OldTermEnd())
			}
			assert.Assert(c.t, a == b || a.model.Lease().Epoch != b.model.Lease().Epoch, "two leaders of one epoch")
		}
	}
}

// Grants last four seconds and nobody renews them without a leader, so a killed leader
// must be replaced in time.
func TestALostLeaderIsReplacedWithinTwoSeconds(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 4)
		c.advance(3 * time.Second)
		lost := c.find(c.lease.Holder)
		assert.Equal(t, lost.model.Role(), Leader)
		lost.frozen = true
		c.advance(2 * time.Second)
		assert.Assert(t, c.lease.Holder != lost.name)
		assert.Equal(t, c.find(c.lease.Holder).model.Role(), Leader)
	})
}

// The store rejects only the leader, which can then agree on no change. Keys of a server
// that leaves must still move within two seconds.
func TestALeaderWithoutTheStoreIsReplacedByOneWithIt(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.advance(3 * time.Second)
		old := c.find(c.lease.Holder)
		old.storeCut = true
		c.advance(5 * time.Second)
		assert.Assert(t, c.lease.Holder != old.name)
		assert.Equal(t, old.model.Role(), Follower)
	})
}

// The leader and the first VMs in line cannot reach the store, and the leader keeps saying so. If
// each such answer restarted the takeover timer, VMs whose turn comes after the polling interval
// would not take over, and new rules would reach nobody until the term ends five seconds later.
func TestALeaderWithoutTheStoreIsReplacedWhoeverIsCutOffBesideIt(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 10)
		c.advance(3 * time.Second)
		old := c.find(c.lease.Holder)
		old.storeCut = true
		beside := rapid.IntRange(0, 6).Draw(t, "beside")
		for _, v := range c.vms[:beside] {
			v.storeCut = true
		}
		c.advance(RenewInterval + 3*time.Second)
		assert.Assert(t, c.lease.Holder != old.name, "%d cut off beside it", beside)
	})
}

// After a store outage the same VM must still lead, because it knows which grants it gave.
func TestALeaderOutlastsAStoreOutage(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.advance(3 * time.Second)
		holder, epoch := c.lease.Holder, c.lease.Epoch
		c.storeDown = true
		c.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
		c.storeDown = false
		c.advance(2 * time.Second)
		assert.Equal(t, c.lease.Holder, holder)
		assert.Equal(t, c.lease.Epoch, epoch)
	})
}

// An operator removes or overwrites the lease and all VMs restart, while the key table has
// the epoch of a leader that none of them knows. Below that epoch no key would get an
// owner. That leader may also go on for its term, since nobody knows whether it stopped.
func TestALostLeaseIsWrittenAboveTheKeyTable(t *testing.T) {
	for _, removed := range []bool{true, false} {
		seeds.Check(t, func(t *rapid.T) {
			c := newCluster(t, 3)
			c.advance(3 * time.Second)
			c.tableEpoch = rapid.Uint64Range(1, 1000).Draw(t, "table")
			c.loseLease(removed)
			for _, v := range c.vms {
				v.start("2")
			}
			for n := 0; len(c.leaders()) == 0; n++ {
				assert.Assert(t, n < 100, "nobody gives orders")
				c.advance(50 * time.Millisecond)
			}
			m := c.leaders()[0].model
			assert.Assert(t, m.Lease().Epoch > 1 && m.Lease().Epoch >= c.tableEpoch)
			assert.Assert(t, m.OldTermEnd().After(c.now.Add(Term)))
			before := m.OldTermEnd()
			c.leaders()[0].update(TermEndedMsg{m.Lease().Epoch - 1})
			assert.Equal(t, c.leaders()[0].model.OldTermEnd(), before, "the end of one leader's term says nothing about unknown ones")
		})
	}
}

// The lease is removed while its leader is healthy. It must rewrite the lease before another
// VM claims it, without an interruption: grants last four seconds.
func TestALeaderRewritesItsLostLease(t *testing.T) {
	for _, removed := range []bool{true, false} {
		seeds.Check(t, func(t *rapid.T) {
			c := newCluster(t, 3)
			c.advance(3 * time.Second)
			holder, epoch := c.lease.Holder, c.lease.Epoch
			c.loseLease(removed)
			for range 40 {
				c.advance(50 * time.Millisecond)
				assert.Equal(t, c.find(holder).model.Role(), Leader)
			}
			assert.Equal(t, c.lease.Holder, holder)
			assert.Assert(t, c.lease.Epoch > epoch)
		})
	}
}

// A leader that shuts down announces it, so the others don't wait for the election timeout.
func TestALeaderThatLeavesIsReplacedAtOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.advance(3 * time.Second)
		old := c.find(c.lease.Holder)
		old.update(LeaveMsg{})
		c.advance(900 * time.Millisecond)
		assert.Assert(t, c.lease.Holder != old.name)
		next := c.find(c.lease.Holder)
		assert.Assert(t, !next.model.OldTermEnd().After(c.now.Add(Margin)), "the old leader announced the end of its term")
	})
}

// A much weaker VM leads because it started first. It must step down after MinTenure, but
// not during a store outage: nobody could take over then and all grants would expire.
func TestAWeakLeaderStepsDown(t *testing.T) {
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
	assert.Equal(t, early.(Model).Role(), Leader, "its tenure was too short")
	away, _ := m.Update(start.Add(MinTenure), StepDownMsg{})
	assert.Equal(t, away.(Model).Role(), Leader, "the store did not confirm the lease lately")

	m.confirmedAt = start.Add(MinTenure)
	next, cmds := m.Update(start.Add(MinTenure), StepDownMsg{})
	m = next.(Model)
	assert.Equal(t, m.Role(), Follower)
	assert.Equal(t, len(cmds), 1)
	assert.Assert(t, !m.takeoverDue(start.Add(MinTenure+TakeoverBackoff/2)), "it does not claim the lease again at once")
	assert.Assert(t, m.takeoverDue(start.Add(MinTenure+TakeoverBackoff)), "it claims the lease again if nobody else does")
}

// All VMs restart together. Each must read the lease at once, or its callers wait for
// nothing; only the claims are spread out.
func TestAVMThatStartsReadsTheLeaseAtOnceAndClaimsLater(t *testing.T) {
	start := time.Unix(1000, 0)
	m := New(start, "vm-1", "vm-1-a", netip.AddrPort{}, WithDelay(time.Second))
	next, cmds := m.Update(start, TickMsg{})
	assert.DeepEqual(t, cmds, []loop.Cmd{ReadCmd{}})
	next, cmds = next.Update(start, ReadMsg{Asked: start, Kind: kinds.NotFound})
	assert.Equal(t, len(cmds), 0, "there is no leader, and the claim is delayed")
	next, cmds = next.Update(start.Add(time.Second/2), TickMsg{})
	assert.Equal(t, len(cmds), 0)
	at := start.Add(time.Second)
	next, cmds = next.Update(at, TickMsg{})
	assert.DeepEqual(t, cmds, []loop.Cmd{ReadCmd{}})
	next, cmds = next.Update(at, ReadMsg{Asked: at, Kind: kinds.NotFound})
	assert.Equal(t, len(cmds), 1)
	assert.Equal(t, next.(Model).Role(), Claim)
}

// When the store returned, a VM that had just started claimed the lease before the VMs that
// had followed a leader and knew the state to publish.
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
	assert.Assert(t, began(false).takeoverDue(start), "no other VM has answered")

	m := began(true)
	assert.Assert(t, !m.takeoverDue(start.Add(FirstClaimDelay-1)))
	assert.Assert(t, m.takeoverDue(start.Add(FirstClaimDelay)), "no VM that has followed a leader was heard again")

	var next loop.Model = m
	for d := time.Duration(0); d < 2*FirstClaimMaxDelay; d += 100 * time.Millisecond {
		assert.Equal(t, next.(Model).takeoverDue(start.Add(d)), d >= FirstClaimMaxDelay, "%v", d)
		next, _ = next.Update(start.Add(d), ClusterFormedMsg{})
	}

	next, _ = m.Update(start, RankMsg{N: 0})
	next, _ = next.Update(start.Add(FirstClaimDelay), ClusterFormedMsg{})
	assert.Assert(t, next.(Model).takeoverDue(start.Add(FirstClaimDelay)), "a leader has assigned it a rank")
}
