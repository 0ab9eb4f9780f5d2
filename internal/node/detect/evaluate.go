package detect

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// evaluate updates the states of the active members: first of those that leave or
// are gone, then of the others, since the share of frozen members is computed over
// those that stay.
func (m *Model[K]) evaluate(now time.Time, active []*member[K]) []loop.Cmd {
	for _, x := range active {
		m.coveredUntil(now, x) // records what other VMs heard before silence is judged
	}
	trustDrain := m.trustDrain(active)
	listBroken := m.listBroken(active)
	cmds := m.fireEach(now, active, func(x *member[K]) (chart.Trigger, string) { return m.leaveTrigger(now, x, trustDrain, listBroken) })
	majorityFrozen := m.majorityFrozen(now, active)
	cmds = append(cmds, m.fireEach(now, active, func(x *member[K]) (chart.Trigger, string) { return m.healthTrigger(now, x, majorityFrozen) })...)
	m.deactivate(now, m.forget(now, active))
	return cmds
}

// fireEach fires the trigger that decide returns for each member.
func (m *Model[K]) fireEach(now time.Time, active []*member[K], decide func(*member[K]) (chart.Trigger, string)) []loop.Cmd {
	var cmds []loop.Cmd
	for _, x := range active {
		from := x.Is
		on, why := decide(x)
		if on != "" && x.fire(now, on) {
			cmds = append(cmds, ChangeCmd[K]{ID: x.ID, From: from, To: x.Is, Reason: why})
		}
	}
	return cmds
}

// leaveTrigger decides whether a member is draining, gone, or no longer leaving.
func (m *Model[K]) leaveTrigger(now time.Time, x *member[K], trustDrain map[ident.Service]bool, listBroken bool) (chart.Trigger, string) {
	leaving := x.State == vmlist.Leaving || x.health.Drain && trustDrain[x.Group]
	if leaving {
		x.notLeavingSince = time.Time{}
	} else if x.notLeavingSince.IsZero() {
		x.notLeavingSince = now
	}
	switch {
	case x.Is == Gone:
		return "", ""
	case m.listedGone(now, x) && x.silentFor(now) >= m.cfg.GoneAfter && !listBroken:
		return onLost, "listed as gone, and silent"
	case x.Is == Draining:
		if x.State == vmlist.Live && !leaving && now.Sub(x.notLeavingSince) >= m.cfg.StayAfter {
			return onStay, "no longer leaving"
		}
		return "", ""
	case x.State == vmlist.Gone:
		return onLeave, "listed as gone"
	case leaving:
		return onLeave, leaveReason(x.State)
	}
	return "", ""
}

// healthTrigger decides whether a member is frozen, joining again, or live.
func (m *Model[K]) healthTrigger(now time.Time, x *member[K], majorityFrozen bool) (chart.Trigger, string) {
	frozen := x.looksFrozen(now, m.cfg)
	x.Avoid = frozen && (majorityFrozen || x.frozenViews == 0 && x.contraryViews >= minContraryViews)
	switch {
	case x.Is == Frozen && !frozen && x.answers >= minAnswers && now.Sub(x.Since) >= x.freezeHold():
		return onBack, "answers again"
	case (x.Is == Live || x.Is == Joining) && frozen && !x.Avoid:
		return onSilent, "several observations show that it does not answer"
	case x.Is == Joining && !frozen && x.answers >= minAnswers && x.health.Ready:
		return onReady, "reports ready and answers"
	}
	return "", ""
}

func leaveReason(s vmlist.State) string {
	if s == vmlist.Leaving {
		return "listed as leaving"
	}
	return "its health endpoint reports draining"
}

// listedGone reports whether the list counts as saying that a member is gone: it
// says so, or has not shown the member for AbsentAfter. A member that is missing
// for a shorter time may only have been added by another reader of the list that
// is ahead.
func (m *Model[K]) listedGone(now time.Time, x *member[K]) bool {
	return x.State == vmlist.Gone || !x.inList && now.Sub(x.listedAt) >= m.cfg.AbsentAfter
}

// listBroken reports whether the list shows less than half of the members that are
// not gone. An empty or incomplete list must not remove the whole fleet.
func (m *Model[K]) listBroken(active []*member[K]) bool {
	known, listed := m.idleCount, m.idleCount
	for _, x := range active {
		if x.Is == Gone {
			continue
		}
		known++
		if x.inList && x.State != vmlist.Gone {
			listed++
		}
	}
	return 2*listed < known
}

// majorityFrozen reports whether more than half of the members that should take
// work are frozen or look frozen to this VM. The cause is then this VM's link, a
// pause of its process, or general overload, and no further member is declared
// frozen.
func (m *Model[K]) majorityFrozen(now time.Time, active []*member[K]) bool {
	all, frozen := m.idleCount, 0
	for _, x := range active {
		looksFrozen := x.looksFrozen(now, m.cfg)
		switch {
		case x.Is == Frozen, looksFrozen && (x.Is == Live || x.Is == Joining):
			all++
			frozen++
		case x.Is == Live:
			all++
		}
	}
	return 2*frozen > all
}

// trustDrain reports for each group whether its members' own reports of draining
// are believed: not if more than half report it at once without the list.
func (m *Model[K]) trustDrain(active []*member[K]) map[ident.Service]bool {
	type tally struct{ all, draining int }
	sums := map[ident.Service]tally{}
	for _, x := range active {
		if x.Is == Gone || x.State == vmlist.Leaving {
			continue
		}
		s := sums[x.Group]
		s.all++
		if x.health.Drain {
			s.draining++
		}
		sums[x.Group] = s
	}
	out := make(map[ident.Service]bool, len(sums))
	for g, s := range sums {
		s.all += m.idleByGroup[g]
		out[g] = 2*s.draining <= s.all || s.all == 1
	}
	return out
}

// countViews counts, for each active member, the other VMs that report it as
// frozen and those that do not.
func (m *Model[K]) countViews(now time.Time) {
	views := 0
	frozen := map[K]int{}
	for vm, v := range m.views {
		switch age := now.Sub(v.at); {
		case age > forgetAfter:
			delete(m.views, vm)
		case age <= m.cfg.ViewFresh:
			views++
			for _, id := range v.frozen {
				frozen[id]++
			}
		}
	}
	for id := range frozen {
		if x := m.members[id]; x != nil {
			m.activate(x)
		}
	}
	for id, x := range m.active {
		m.coveredUntil(now, x)
		x.frozenViews = frozen[id]
		x.contraryViews = views - x.frozenViews
	}
}

// forgetAfter is how long a member that is gone is remembered: longer than any
// list lags, so that an outdated list does not bring it back.
const forgetAfter = time.Hour

// forget removes the members that have been gone for forgetAfter, and returns the
// others.
func (m *Model[K]) forget(now time.Time, active []*member[K]) []*member[K] {
	return slices.DeleteFunc(active, func(x *member[K]) bool {
		if x.Is != Gone || x.inList || now.Sub(x.Since) <= forgetAfter {
			return false
		}
		delete(m.members, x.ID)
		delete(m.active, x.ID)
		return true
	})
}
