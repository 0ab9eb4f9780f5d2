package leases

import (
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// A standby is a server that serves the keys of a lost server while the store is
// down. The table still names the lost server, since no new table can be written.
// Every entry VM therefore has to learn of the standby in another way, or it would
// send requests for these keys to the lost server until the outage ends. What it
// learns is a hint: only leases decide which server serves, so a wrong or late
// hint costs a request that is refused as not executed, and never leads to a
// second owner.

// Standby is that hint: To serves the keys of Server under Epoch; an empty To means
// that there is no standby. Seq orders the hints of one epoch.
type Standby struct {
	Service ident.Service `cbor:"svc"`
	Server  ident.Server  `cbor:"srv"`
	Epoch   ident.Epoch   `cbor:"epoch"`
	Seq     uint16        `cbor:"n"`
	To      ident.Server  `cbor:"to,omitempty"`
}

// announceStandby applies a hint of one of this VM's own lessors and passes it on to
// the other VMs.
func (mgr *Manager) announceStandby(h *hostedLessor, cmd lessor.StandbyCmd) {
	sb := Standby{Service: h.lessorID.svc, Server: h.srv, Epoch: cmd.Epoch, Seq: uint16(h.standbySeq.Add(1)), To: cmd.To}
	mgr.ApplyStandby(sb)
	if hooks := mgr.hooks.Load(); hooks != nil && hooks.Standby != nil {
		hooks.Standby(sb)
	}
	if cmd.To == "" {
		mgr.Log.Info("standby ended", "service", sb.Service, "server", sb.Server, "epoch", sb.Epoch)
		return
	}
	mgr.Log.Warn("standby serves the keys of a lost server: the store is down", "service", sb.Service, "server", sb.Server, "by", sb.To, "epoch", sb.Epoch)
	mgr.recordStandby(h, sb)
}

// recordStandby records a decision for each slice and key that the table gives the
// lost server, as a move of it would, so that a report on any of its keys shows it.
func (mgr *Manager) recordStandby(h *hostedLessor, sb Standby) {
	v := h.svc.View()
	if mgr.Record == nil || v == nil {
		return
	}
	tab := v.Table()
	set := tab.SetOf(sb.Server)
	d := record.Decision{
		Action: record.Place, Service: sb.Service, Rev: tab.Rev,
		Server: sb.To, PrevOwner: sb.Server, Epoch: sb.Epoch, Reason: "stands by",
	}
	for _, x := range set.Slices {
		d.Slice = x
		mgr.Record.Record(d)
	}
	for _, key := range set.Keys {
		d.Key, d.Slice = key, ident.SliceOf(key, tab.Slices())
		mgr.Record.Record(d)
	}
}

// ApplyStandby applies a hint from a lessor of this or another VM.
func (mgr *Manager) ApplyStandby(sb Standby) {
	ts, ok := mgr.tables[sb.Service]
	if !ok {
		return
	}
	ts.svc.SetStandby(sb.Server, state.Standby{Epoch: sb.Epoch, Seq: sb.Seq, To: sb.To})
}

// lessorFor finds the lessor of another server of the same service. Orders to a
// standby go to that server's own control address.
func (mgr *Manager) lessorFor(h *hostedLessor, srv ident.Server) (*hostedLessor, bool) {
	if srv == h.srv {
		return h, true
	}
	other, ok := mgr.lessors[lessorID{h.lessorID.svc, srv}]
	return other, ok
}
