package gossip

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// mostTold bounds how many VMs one TellMsg reaches; the others hear by the trees
// of pulses, some 0.3 s later.
const mostTold = 16

// NotifyMsg lets some VMs hear at once of the value under a name, as soon as the
// revision is held: another VM may have written it for this one.
type NotifyMsg struct {
	Name string
	Rev  ident.Revision
	To   []ident.VM
}

// onTell announces the value, or notes that it is owed.
func (m *Model) onTell(msg NotifyMsg) []loop.Cmd {
	if v := m.values[msg.Name]; v != nil && v.Rev >= msg.Rev {
		return m.tell(msg.Name, msg.To)
	}
	if m.owed == nil {
		m.owed = map[string]NotifyMsg{}
	}
	msg.To = msg.To[:min(mostTold, len(msg.To))]
	m.owed[msg.Name] = msg
	return nil
}

// payOwed announces a value that has come to those who wait for it.
func (m *Model) payOwed(h Head) []loop.Cmd {
	msg, ok := m.owed[h.Name]
	if !ok || h.Rev < msg.Rev {
		return nil
	}
	delete(m.owed, h.Name)
	return m.tell(h.Name, msg.To)
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
