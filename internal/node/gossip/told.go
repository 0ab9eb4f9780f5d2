package gossip

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// mostTold bounds how many VMs one TellMsg reaches; the others hear by the trees
// of pulses, some 0.3 s later.
const mostTold = 16

// TellMsg lets some VMs hear at once of the value held under a name.
type TellMsg struct {
	Name string
	To   []ident.VM
}

// tell announces a head to VMs, which ask for what they lack.
func (m *Model) tell(name string, to []ident.VM) []loop.Cmd {
	v := m.values[name]
	if v == nil {
		return nil
	}
	var cmds []loop.Cmd
	for _, vm := range to[:min(mostTold, len(to))] {
		if vm != m.self {
			cmds = append(cmds, SendCmd{To: vm, Packet: Packet{Heads: &Heads{List: []Head{v.Head}, Part: true}}})
		}
	}
	return cmds
}

// tellWatchers lets the watchers, who push to all, hear at once of a value that
// this VM wrote or read itself. They would hear of it from the store as well, but
// after an outage only when their next look succeeds, up to 2 s later; the next
// owner of a key that was moved may not be told until then.
func (m *Model) tellWatchers(h Head) []loop.Cmd {
	if m.watch || m.values[h.Name].Head != h {
		return nil
	}
	return m.tell(h.Name, m.order[:min(Watchers, len(m.order))])
}
