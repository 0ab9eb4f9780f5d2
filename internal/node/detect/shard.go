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

// Prober is an entry VM that may probe for the others.
type Prober struct {
	VM     ident.VM
	Centre ident.Centre
}

// ProbersMsg says which entry VMs share the probes, this one included. Without it
// every VM probes every member.
//
// Each member is then probed by a few VMs, the same on every VM. The rest do
// without while all is as it was; what they are told never changes what they
// believe of a member, it only makes them look for themselves. So a VM that
// lies, or a packet that is lost, costs probes and nothing else.
type ProbersMsg struct {
	Self ident.VM
	VMs  []Prober
	// Peers says that the members are these VMs themselves. Their own views then
	// show that they are there, and none is probed that is heard so.
	Peers bool
}

const (
	// proberCount VMs probe a member: with one lost and one that lies, there is
	// still one to tell.
	proberCount = 3
	// neededViews of them must have been heard lately, so that one that lies is
	// never the only one believed.
	neededViews = 2
)

// wordFresh is how long a view of a prober stands for a probe of one's own. The
// exchange renews it up to three times a second while the prober is heard, and
// up to 1.4 s after it was lost; the first probe of our own still leaves some
// tenths of the 3 s in which a leaving member must be noticed.
const wordFresh = 1200 * time.Millisecond

// probe asks for the probes that are due and tells the others what is seen here.
func (m *Model[K]) probe(now time.Time, looked []*member[K]) []loop.Cmd {
	var cmds []loop.Cmd
	for _, x := range looked {
		if x.Is == Gone || now.Sub(x.probed) < m.cfg.Probe || !m.excuse(now, x).IsZero() {
			continue
		}
		x.probed = now
		cmds = append(cmds, ProbeCmd[K]{ID: x.ID, Addr: x.Addr})
	}
	if now.Sub(m.told) < m.cfg.Probe && !m.tell {
		return cmds
	}
	m.told, m.tell = now, false
	return append(cmds, m.view(now, looked))
}

// view has nothing of members that rest: nothing speaks against them.
func (m *Model[K]) view(now time.Time, looked []*member[K]) ViewCmd[K] {
	var v ViewCmd[K]
	for _, x := range looked {
		if x.Is == Gone {
			continue
		}
		if x.suspect(now, m.cfg) {
			v.Frozen = append(v.Frozen, x.ID)
		}
		if x.odd() && m.shards() && slices.Contains(m.probersOf(x), m.shard.Self) {
			v.Suspect = append(v.Suspect, x.ID)
		}
	}
	return v
}

func (m *Model[K]) shards() bool { return m.shard.Self != "" }

// odd reports whether a member's last answer to us was anything but "ready", or
// the last probe went without one.
func (x *member[K]) odd() bool { return x.probeBad > 0 || x.health != server.Health{Ready: true} }

// excuse returns until when we need not probe a member, zero if we must: others
// do, we heard from enough of them, nobody finds it odd, and nothing here speaks
// against it. What others heard counts as heard, so it is asked before anything
// changes that speaks against the member.
func (m *Model[K]) excuse(now time.Time, x *member[K]) time.Time {
	if !m.shards() || x.Is != Live || x.odd() || x.callBad > 0 || x.saidBad > 0 || !x.oddAt.IsZero() && now.Sub(x.oddAt) <= m.cfg.Fresh {
		return time.Time{}
	}
	at := m.views[ident.VM(x.ID)].at
	if !m.shard.Peers {
		at = m.heardProbers(x)
	}
	x.hear(at)
	until := at.Add(wordFresh)
	if at.IsZero() || now.After(until) {
		return time.Time{}
	}
	return until
}

// heardProbers is when enough of a member's probers were last heard; zero if this
// VM is one of them.
func (m *Model[K]) heardProbers(x *member[K]) time.Time {
	probers := m.probersOf(x)
	var heard []time.Time
	for _, vm := range probers {
		if vm == m.shard.Self {
			return time.Time{}
		}
		if v, ok := m.views[vm]; ok {
			heard = append(heard, v.at)
		}
	}
	if len(heard) < neededViews {
		return time.Time{}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[neededViews-1]
}

// hear notes that others heard a member.
func (x *member[K]) hear(at time.Time) {
	if at.After(x.heard) {
		x.heard = at
	}
}

// probersOf returns the VMs that probe a member, in rendezvous order, from as
// many data centres as there are.
func (m *Model[K]) probersOf(x *member[K]) []ident.VM {
	if x.probers != nil {
		return x.probers
	}
	type ranked struct {
		Prober
		rank uint64
	}
	all := make([]ranked, 0, len(m.shard.VMs))
	for _, vm := range m.shard.VMs {
		all = append(all, ranked{vm, xxhash.Sum64String(string(x.Group) + "\x00" + string(x.ID) + "\x00" + string(vm.VM))})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.VM, b.VM)) })
	x.probers = make([]ident.VM, 0, proberCount)
	centres := map[ident.Centre]bool{}
	for _, fresh := range []bool{true, false} {
		for _, vm := range all {
			if len(x.probers) < proberCount && !slices.Contains(x.probers, vm.VM) && (!fresh || !centres[vm.Centre]) {
				x.probers = append(x.probers, vm.VM)
				centres[vm.Centre] = true
			}
		}
	}
	return x.probers
}
