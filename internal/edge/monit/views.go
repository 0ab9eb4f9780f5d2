package monit

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Kinds of members. They keep a VM and a server of the same name apart.
const (
	vmKind     = "vm"
	serverKind = "srv"
)

// ownView is what this VM publishes to the others: the members that look frozen, and
// those of the probed servers that reported another status than ready.
type ownView struct {
	frozenVMs                     []ident.VM
	frozenServers, suspectServers []ident.Server
}

// memberIDs maps the 4-byte hashes by which views name members to their IDs.
type memberIDs struct {
	vms     map[gossip.Member]ident.VM
	servers map[gossip.Member]ident.Server
}

func (ids *memberIDs) addServer(id ident.Server) {
	if ids.servers == nil {
		ids.servers = map[gossip.Member]ident.Server{}
	}
	ids.servers[gossip.MemberOf(serverKind, string(id))] = id
}

func (ids *memberIDs) setVMs(list []vmlist.VM) {
	ids.vms = make(map[gossip.Member]ident.VM, len(list))
	for _, vm := range list {
		ids.vms[gossip.MemberOf(vmKind, string(vm.ID))] = vm.ID
	}
}

// changeView changes and publishes this VM's view.
func (m *Monitor) changeView(change func(*ownView)) {
	m.mu.Lock()
	change(&m.view)
	v := m.view
	m.mu.Unlock()
	var msg gossip.ViewMsg
	msg.Suspect = append(msg.Suspect, members(serverKind, v.suspectServers)...)
	msg.Frozen = append(msg.Frozen, members(serverKind, v.frozenServers)...)
	msg.Frozen = append(msg.Frozen, members(vmKind, v.frozenVMs)...)
	m.Syncer.PublishView(msg)
}

func members[K ~string](kind string, ids []K) []gossip.Member {
	out := make([]gossip.Member, 0, len(ids))
	for _, id := range ids {
		out = append(out, gossip.MemberOf(kind, string(id)))
	}
	return out
}

// ApplyViews passes the views of the other VMs to the detectors that they concern.
func (m *Monitor) ApplyViews(cmd gossip.ViewsCmd) {
	m.mu.Lock()
	vms, servers := m.ids.vms, m.ids.servers
	m.mu.Unlock()
	ofVMs := viewsOf(vms, cmd)
	ofVMs.Suspect = append(ofVMs.Suspect, cmd.Missing...)
	m.vms.Send(ofVMs)
	m.servers.Send(viewsOf(servers, cmd))
}

// viewsOf returns the part of the views that is about members of one kind.
func viewsOf[K ~string](ids map[gossip.Member]K, cmd gossip.ViewsCmd) detect.ViewsMsg[K] {
	msg := detect.ViewsMsg[K]{Views: make([]detect.ViewMsg[K], 0, len(cmd.Views)), Suspect: idsOf(ids, cmd.Suspect)}
	for _, v := range cmd.Views {
		msg.Views = append(msg.Views, detect.ViewMsg[K]{From: v.From, Frozen: idsOf(ids, v.Frozen)})
	}
	return msg
}

// idsOf returns the IDs of members, without those of the other kind and those that
// are not known here yet.
func idsOf[K ~string](byMember map[gossip.Member]K, members []gossip.Member) []K {
	var out []K
	for _, m := range members {
		if id, ok := byMember[m]; ok {
			out = append(out, id)
		}
	}
	return out
}
