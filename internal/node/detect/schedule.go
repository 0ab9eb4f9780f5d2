package detect

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// This file decides which members are evaluated at each tick.
//
// Nearly all members are healthy at nearly all times. Evaluating each of them ten
// times a second took 8.2 µs per second and member, 1.9 % of a core with 2,288 of
// them, to find that nothing had changed. So a healthy member is idle: it is
// evaluated when something unfavourable is heard of it, and at the time at which
// its silence would count. All others are active and evaluated at each tick.
//
// Totals over all members are the counts of the idle ones, to which each
// evaluation adds the active ones.

// activity states whether a member is evaluated at each tick.
type activity uint8

const (
	activityActive activity = iota
	activityIdle            // live and healthy
	activityGone            // gone, until it is forgotten
)

// dueQueue holds the members that are not active, ordered by checkAt.
type dueQueue[K ~string] []*member[K]

func (d dueQueue[K]) Len() int           { return len(d) }
func (d dueQueue[K]) Less(i, j int) bool { return d[i].checkAt.Before(d[j].checkAt) }
func (d dueQueue[K]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].queueIndex, d[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (d *dueQueue[K]) Push(x any) {
	m := x.(*member[K])
	m.queueIndex = len(*d)
	*d = append(*d, m)
}

// Pop implements heap.Interface.
func (d *dueQueue[K]) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return last
}

// schedule holds the members by activity.
type schedule[K ~string] struct {
	active      map[K]*member[K]
	queue       dueQueue[K]
	idleCount   int                   // number of idle members
	idleByGroup map[ident.Service]int // number of idle members of each group
}

// activate makes a member active, so that the next tick evaluates it.
func (m *Model[K]) activate(x *member[K]) {
	switch x.activity {
	case activityActive:
		return
	case activityIdle:
		m.idleCount--
		m.idleByGroup[x.Group]--
	}
	x.activity = activityActive
	heap.Remove(&m.queue, x.queueIndex)
	m.active[x.ID] = x
}

// activateDue activates the members whose checkAt has passed.
func (m *Model[K]) activateDue(now time.Time) {
	for len(m.queue) > 0 && !m.queue[0].checkAt.After(now) {
		m.activate(m.queue[0])
	}
}

func (m *Model[K]) activateAll() {
	for len(m.queue) > 0 {
		m.activate(m.queue[0])
	}
}

// activeMembers returns the active members, sorted by name.
func (m *Model[K]) activeMembers() []*member[K] {
	return slices.SortedFunc(maps.Values(m.active), func(a, b *member[K]) int { return cmp.Compare(a.ID, b.ID) })
}

// deactivate makes those members inactive that are healthy or gone.
func (m *Model[K]) deactivate(now time.Time, active []*member[K]) {
	for _, x := range active {
		switch {
		case x.Is == Gone:
			x.activity, x.checkAt = activityGone, x.Since.Add(forgetAfter)
		case x.healthy() && x.silentFor(now) < m.cfg.SilentAfter:
			x.activity, x.checkAt = activityIdle, m.nextCheck(now, x)
			m.idleCount++
			m.idleByGroup[x.Group]++
		default:
			continue
		}
		delete(m.active, x.ID)
		heap.Push(&m.queue, x)
	}
}

// nextCheck returns when the passing of time may next matter for a healthy member:
// a probe is due, or its silence counts as an observation.
func (m *Model[K]) nextCheck(now time.Time, x *member[K]) time.Time {
	probe := x.probedAt.Add(m.cfg.ProbePeriod)
	if until := m.coveredUntil(now, x); until.After(probe) {
		probe = until
	}
	silent := x.lastHeard().Add(m.cfg.SilentAfter)
	if silent.Before(probe) {
		return silent
	}
	return probe
}

// healthy reports whether only silence could still count against a member.
func (x *member[K]) healthy() bool {
	return x.Is == Live && x.inList && x.State == vmlist.Live && !x.isSuspect() && x.failedCalls == 0 && x.frozenViews == 0
}
