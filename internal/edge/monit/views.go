package monit

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Sorts of members, which keep a VM and a server of one name apart.
const (
	vmSort     = "vm"
	serverSort = "srv"
)

// holds is what this VM tells the others: whom its rosters hold to look frozen,
// and which of the servers that it probes gave another word than "ready".
type holds struct {
	vms          []ident.VM
	servers, odd []ident.Server
}

// known finds the members that other VMs speak of by four bytes.
type known struct {
	vms     map[gossip.Member]ident.VM
	servers map[gossip.Member]ident.Server
}

func (k *known) addServer(id ident.Server) {
	if k.servers == nil {
		k.servers = map[gossip.Member]ident.Server{}
	}
	k.servers[gossip.MemberOf(serverSort, string(id))] = id
}

func (k *known) setVMs(list []vmlist.VM) {
	k.vms = make(map[gossip.Member]ident.VM, len(list))
	for _, vm := range list {
		k.vms[gossip.MemberOf(vmSort, string(vm.ID))] = vm.ID
	}
}

// say changes what the other VMs are told.
func (w *Monitor) say(change func(*holds)) {
	w.mu.Lock()
	change(&w.holds)
	s := w.holds
	w.mu.Unlock()
	var msg gossip.ViewMsg
	msg.Suspect = append(msg.Suspect, members(serverSort, s.odd)...)
	msg.Frozen = append(msg.Frozen, members(serverSort, s.servers)...)
	msg.Frozen = append(msg.Frozen, members(vmSort, s.vms)...)
	w.Syncer.PublishView(msg)
}

func members[K ~string](sort string, ids []K) []gossip.Member {
	out := make([]gossip.Member, 0, len(ids))
	for _, id := range ids {
		out = append(out, gossip.MemberOf(sort, string(id)))
	}
	return out
}

// Views passes on what the other VMs say to the rosters that it is about.
func (w *Monitor) Views(cmd gossip.ViewsCmd) {
	w.mu.Lock()
	vms, servers := w.known.vms, w.known.servers
	w.mu.Unlock()
	ofVMs := viewsOf(vms, cmd)
	ofVMs.Suspect = append(ofVMs.Suspect, cmd.Missing...)
	w.vms.Send(ofVMs)
	w.servers.Send(viewsOf(servers, cmd))
}

// viewsOf is the part of the views that is about members of one sort.
func viewsOf[K ~string](names map[gossip.Member]K, cmd gossip.ViewsCmd) detect.ViewsMsg[K] {
	msg := detect.ViewsMsg[K]{Views: make([]detect.ViewMsg[K], 0, len(cmd.Views)), Suspect: named(names, cmd.Suspect)}
	for _, v := range cmd.Views {
		msg.Views = append(msg.Views, detect.ViewMsg[K]{From: v.From, Frozen: named(names, v.Frozen)})
	}
	return msg
}

// named leaves out who is of the other sort, or not known here yet.
func named[K ~string](names map[gossip.Member]K, ids []gossip.Member) []K {
	var out []K
	for _, id := range ids {
		if name, ok := names[id]; ok {
			out = append(out, name)
		}
	}
	return out
}
