package gossip

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// maxNotified limits the VMs that one NotifyMsg reaches. The others learn of the
// value from heartbeats, some 0.3 s later.
const maxNotified = 16

// NotifyMsg asks to announce a value to some VMs at once, or as soon as this VM
// holds the revision, since another VM may have written it.
type NotifyMsg struct {
	Name string
	Rev  ident.Revision
	To   []ident.VM
}

// onNotify announces the value, or stores the notification until the value
// arrives.
func (m *Model) onNotify(msg NotifyMsg) []loop.Cmd {
	if v := m.values[msg.Name]; v != nil && v.Rev >= msg.Rev {
		return m.announce(msg.Name, msg.To)
	}
	if m.pendingNotify == nil {
		m.pendingNotify = map[string]NotifyMsg{}
	}
	msg.To = msg.To[:min(maxNotified, len(msg.To))]
	m.pendingNotify[msg.Name] = msg
	return nil
}

// sendPendingNotify announces a value that has arrived to the VMs of a stored
// notification.
func (m *Model) sendPendingNotify(h Head) []loop.Cmd {
	msg, ok := m.pendingNotify[h.Name]
	if !ok || h.Rev < msg.Rev {
		return nil
	}
	delete(m.pendingNotify, h.Name)
	return m.announce(h.Name, msg.To)
}

// announce sends the head of a value to VMs, which then request the value if they
// lack it.
func (m *Model) announce(name string, to []ident.VM) []loop.Cmd {
	v := m.values[name]
	if v == nil {
		return nil
	}
	var cmds []loop.Cmd
	for _, vm := range to[:min(maxNotified, len(to))] {
		if vm != m.self {
			cmds = append(cmds, SendCmd{To: vm, Packet: Packet{Heads: &Heads{List: []Head{v.Head}, Part: true}}})
		}
	}
	return cmds
}

// announceToWatchers sends the head of a value that this VM wrote or read itself
// to the watchers, whose heartbeats reach all VMs. The watchers would find it in
// the store as well, but after an outage only at their next successful read, up to
// 2 s later, and the next owner of a moved key might not learn of it until then.
func (m *Model) announceToWatchers(h Head) []loop.Cmd {
	if m.watch || m.values[h.Name].Head != h {
		return nil
	}
	return m.announce(h.Name, m.order[:min(Watchers, len(m.order))])
}
