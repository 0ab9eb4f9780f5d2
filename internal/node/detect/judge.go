package detect

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

func (m *Model[K]) ids() []K { return slices.Sorted(maps.Keys(m.members)) }

// Members returns all members that are not gone, in the order of their names.
func (m *Model[K]) Members() []Member[K] {
	out := make([]Member[K], 0, len(m.members))
	for _, id := range m.ids() {
		if x := m.members[id]; x.Is != Gone {
			out = append(out, x.Member)
		}
	}
	return out
}

// Member returns one member, also one that is gone.
func (m *Model[K]) Member(id K) (Member[K], bool) {
	x := m.members[id]
	if x == nil {
		return Member[K]{}, false
	}
	return x.Member, true
}

// judge brings the states of all members up to date that may change: first who
// leaves or is gone, then the others, since the share that may be frozen is one of
// those who stay.
func (m *Model[K]) judge(now time.Time, looked []*member[K]) []loop.Cmd {
	for _, x := range looked {
		m.excuse(now, x) // what others heard counts before anything is judged by silence
	}
	drains := m.drains(looked)
	broken := m.listBroken(looked)
	cmds := m.each(now, looked, func(x *member[K]) (chart.Trigger, string) { return m.leaving(now, x, drains, broken) })
	blind := m.blind(now, looked)
	cmds = append(cmds, m.each(now, looked, func(x *member[K]) (chart.Trigger, string) { return m.staying(now, x, blind) })...)
	m.settle(now, m.forget(now, looked))
	return cmds
}

// each asks a verdict for each member and carries it out.
func (m *Model[K]) each(now time.Time, looked []*member[K], verdict func(*member[K]) (chart.Trigger, string)) []loop.Cmd {
	var cmds []loop.Cmd
	for _, x := range looked {
		from := x.Is
		on, why := verdict(x)
		if on != "" && x.fire(now, on) {
			cmds = append(cmds, ChangeCmd[K]{ID: x.ID, From: from, To: x.Is, Reason: why})
		}
	}
	return cmds
}

// leaving decides on drained and gone.
func (m *Model[K]) leaving(now time.Time, x *member[K], drains map[ident.Service]bool, broken bool) (chart.Trigger, string) {
	leaves := x.State == vmlist.Leaving || x.health.Drain && drains[x.Group]
	if leaves {
		x.denied = time.Time{}
	} else if x.denied.IsZero() {
		x.denied = now
	}
	switch {
	case x.Is == Gone:
		return "", ""
	case m.listGone(now, x) && x.silentFor(now) >= m.cfg.Lost && !broken:
		return onLost, "the list says gone, and it is silent"
	case x.Is == Draining:
		if x.State == vmlist.Live && !leaves && now.Sub(x.denied) >= m.cfg.Stay {
			return onStay, "it no longer leaves"
		}
		return "", ""
	case x.State == vmlist.Gone:
		return onLeave, "the list says gone"
	case leaves:
		return onLeave, leaveReason(x.State)
	}
	return "", ""
}

// staying decides on joining, live and frozen.
func (m *Model[K]) staying(now time.Time, x *member[K], blind bool) (chart.Trigger, string) {
	frozen := x.looksFrozen(now, m.cfg)
	x.Avoid = frozen && (blind || x.saidBad == 0 && x.saidWell >= someViews)
	switch {
	case x.Is == Frozen && !frozen && x.proofs >= goodProofs && now.Sub(x.Since) >= x.hold():
		return onBack, "it answers again"
	case (x.Is == Live || x.Is == Joining) && frozen && !x.Avoid:
		return onSilent, "witnesses agree that it does not answer"
	case x.Is == Joining && !frozen && x.proofs >= goodProofs && x.health.Ready:
		return onReady, "it proved ready"
	}
	return "", ""
}

func leaveReason(s vmlist.State) string {
	if s == vmlist.Leaving {
		return "the list says leaving"
	}
	return "it says itself that it drains"
}

// listGone reports whether the list holds a member to be gone: by its word, or
// by not showing it for long. A name that was never missing long may only have
// been read by another reader of the list, ahead of it.
func (m *Model[K]) listGone(now time.Time, x *member[K]) bool {
	return x.State == vmlist.Gone || !x.inList && now.Sub(x.listAt) >= m.cfg.Absent
}

// listBroken reports whether the list shows less than half of the members that
// still answered a while ago. An empty or half-read list must not empty the
// fleet.
func (m *Model[K]) listBroken(looked []*member[K]) bool {
	known, kept := m.calm, m.calm
	for _, x := range looked {
		if x.Is == Gone {
			continue
		}
		known++
		if x.inList && x.State != vmlist.Gone {
			kept++
		}
	}
	return 2*kept < known
}

// blind reports whether more than half of the members that should take work are
// frozen or look so from here. Then it is our link, our own pause, or overload
// everywhere, and nobody more is declared frozen.
func (m *Model[K]) blind(now time.Time, looked []*member[K]) bool {
	all, bad := m.calm, 0
	for _, x := range looked {
		looks := x.looksFrozen(now, m.cfg)
		switch {
		case x.Is == Frozen, looks && (x.Is == Live || x.Is == Joining):
			all++
			bad++
		case x.Is == Live:
			all++
		}
	}
	return 2*bad > all
}

// drains tells for each group whether its members' own word on draining is
// believed: not when more than half say so at once and the list says nothing.
func (m *Model[K]) drains(looked []*member[K]) map[ident.Service]bool {
	type tally struct{ all, own int }
	sums := map[ident.Service]tally{}
	for _, x := range looked {
		if x.Is == Gone || x.State == vmlist.Leaving {
			continue
		}
		s := sums[x.Group]
		s.all++
		if x.health.Drain {
			s.own++
		}
		sums[x.Group] = s
	}
	out := make(map[ident.Service]bool, len(sums))
	for g, s := range sums {
		s.all += m.groups[g]
		out[g] = 2*s.own <= s.all || s.all == 1
	}
	return out
}

// countViews counts, for each member, the other VMs that hold it frozen and
// those that do not. Only a member that looks frozen asks for the second.
func (m *Model[K]) countViews(now time.Time) {
	views := 0
	said := map[K]int{}
	for vm, v := range m.views {
		switch age := now.Sub(v.at); {
		case age > forgetAfter:
			delete(m.views, vm)
		case age <= m.cfg.Fresh:
			views++
			for _, id := range v.bad {
				said[id]++
			}
		}
	}
	for id := range said {
		if x := m.members[id]; x != nil {
			m.wake(x)
		}
	}
	for id, x := range m.awake {
		m.excuse(now, x)
		x.saidBad = said[id]
		x.saidWell = views - x.saidBad
	}
}

// forgetAfter is how long a member that is gone is remembered: longer than any
// list lags, so that a late list does not bring it back.
const forgetAfter = time.Hour

// forget drops who is gone for long, and returns the others.
func (m *Model[K]) forget(now time.Time, looked []*member[K]) []*member[K] {
	return slices.DeleteFunc(looked, func(x *member[K]) bool {
		if x.Is != Gone || x.inList || now.Sub(x.Since) <= forgetAfter {
			return false
		}
		delete(m.members, x.ID)
		delete(m.awake, x.ID)
		return true
	})
}
