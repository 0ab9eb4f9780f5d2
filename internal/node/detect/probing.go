package detect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Prober is an entry VM that may probe members on behalf of others.
type Prober struct {
	VM     ident.VM
	Centre ident.Centre
}

// ProbersMsg states which entry VMs share the probes, this one included. Without
// it every VM probes every member.
//
// Each member is then probed by a few VMs, which every VM computes alike. The
// others do not probe it while nothing changes. A prober's report that a member is
// suspect does not change its state at the others, it only makes them probe the
// member themselves. So a VM that lies, or a lost packet, costs probes and nothing
// else.
type ProbersMsg struct {
	Self ident.VM
	VMs  []Prober
	// Peers states that the members are these VMs themselves. Their own views then
	// show that they are running, and none whose view arrives is probed.
	Peers bool
}

const (
	// probersPerMember is the number of VMs that probe a member: with one lost and
	// one lying, one is left to report.
	probersPerMember = 3
	// minProberViews is the number of probers that must have been heard lately, so
	// that a lying one is never the only one believed.
	minProberViews = 2
)

// viewCoverage is how long a prober's view replaces a probe by this VM. Views are
// renewed up to three times a second while the prober is heard, and up to 1.4 s
// after it was lost; this VM's first own probe then still leaves some tenths of
// the 3 s in which a leaving member must be noticed.
const viewCoverage = 1200 * time.Millisecond

// probe returns the probes that are due, and this VM's view when it is due.
func (m *Model[K]) probe(now time.Time, active []*member[K]) []loop.Cmd {
	var cmds []loop.Cmd
	for _, x := range active {
		if x.Is == Gone || now.Sub(x.probedAt) < m.cfg.ProbePeriod || !m.coveredUntil(now, x).IsZero() {
			continue
		}
		x.probedAt = now
		cmds = append(cmds, ProbeCmd[K]{ID: x.ID, Addr: x.Addr})
	}
	if now.Sub(m.viewSentAt) < m.cfg.ProbePeriod && !m.viewDue {
		return cmds
	}
	m.viewSentAt, m.viewDue = now, false
	return append(cmds, m.view(now, active))
}

// view returns this VM's view. Inactive members cannot be in it: nothing speaks
// against them.
func (m *Model[K]) view(now time.Time, active []*member[K]) ViewCmd[K] {
	var v ViewCmd[K]
	for _, x := range active {
		if x.Is == Gone {
			continue
		}
		if x.frozenLocally(now, m.cfg) {
			v.Frozen = append(v.Frozen, x.ID)
		}
		if x.isSuspect() && m.sharesProbes() && slices.Contains(m.probersOf(x), m.probers.Self) {
			v.Suspect = append(v.Suspect, x.ID)
		}
	}
	return v
}

func (m *Model[K]) sharesProbes() bool { return m.probers.Self != "" }

// isSuspect reports whether the member's last answer to this VM was anything but
// "ready", or the last probe got no answer.
func (x *member[K]) isSuspect() bool {
	return x.failedProbes > 0 || x.health != server.Health{Ready: true}
}

// coveredUntil returns until when this VM need not probe a member, because enough
// of its probers were heard and nothing speaks against the member; zero if this VM
// must probe it. What others heard is recorded as heard, so it must be called
// before any change that speaks against the member.
func (m *Model[K]) coveredUntil(now time.Time, x *member[K]) time.Time {
	if !m.sharesProbes() || x.Is != Live || x.isSuspect() || x.failedCalls > 0 || x.frozenViews > 0 || !x.suspectAt.IsZero() && now.Sub(x.suspectAt) <= m.cfg.ViewFresh {
		return time.Time{}
	}
	at := m.views[ident.VM(x.ID)].at
	if !m.probers.Peers {
		at = m.probersHeardAt(x)
	}
	x.heardByOthers(at)
	until := at.Add(viewCoverage)
	if at.IsZero() || now.After(until) {
		return time.Time{}
	}
	return until
}

// probersHeardAt returns when minProberViews of a member's probers had been heard;
// zero if they were not, or if this VM is one of them.
func (m *Model[K]) probersHeardAt(x *member[K]) time.Time {
	probers := m.probersOf(x)
	var heard []time.Time
	for _, vm := range probers {
		if vm == m.probers.Self {
			return time.Time{}
		}
		if v, ok := m.views[vm]; ok {
			heard = append(heard, v.at)
		}
	}
	if len(heard) < minProberViews {
		return time.Time{}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[minProberViews-1]
}

// heardByOthers records that others heard a member.
func (x *member[K]) heardByOthers(at time.Time) {
	if at.After(x.heardAt) {
		x.heardAt = at
	}
}

// probersOf returns the VMs that probe a member, in rendezvous order, from as many
// data centres as possible.
func (m *Model[K]) probersOf(x *member[K]) []ident.VM {
	if x.probers != nil {
		return x.probers
	}
	type ranked struct {
		Prober
		rank uint64
	}
	all := make([]ranked, 0, len(m.probers.VMs))
	for _, vm := range m.probers.VMs {
		all = append(all, ranked{vm, xxhash.Sum64String(string(x.Group) + "\x00" + string(x.ID) + "\x00" + string(vm.VM))})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.VM, b.VM)) })
	x.probers = make([]ident.VM, 0, probersPerMember)
	centres := map[ident.Centre]bool{}
	for _, newCentre := range []bool{true, false} {
		for _, vm := range all {
			if len(x.probers) < probersPerMember && !slices.Contains(x.probers, vm.VM) && (!newCentre || !centres[vm.Centre]) {
				x.probers = append(x.probers, vm.VM)
				centres[vm.Centre] = true
			}
		}
	}
	return x.probers
}
