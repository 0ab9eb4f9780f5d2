package leases

import (
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// A server that stands by has the keys of a lost one while the store is down,
// and the table goes on naming the lost one, since nobody can write another.
// Every entry VM therefore has to hear of it on a way of its own, or it would
// send the keys' requests to a server that is gone until the outage ends. What
// it hears is a hint: leases alone decide who serves, so a wrong or a late one
// costs a request that is refused as not run, and never a second owner.

// Standby is that hint: To has the keys of a seat's server under an epoch; none
// does when To is empty. N orders the hints of one epoch.
type Standby struct {
	Service ident.Service `cbor:"svc"`
	Server  ident.Server  `cbor:"srv"`
	Epoch   ident.Epoch   `cbor:"epoch"`
	Seq     uint16        `cbor:"n"`
	To      ident.Server  `cbor:"to,omitempty"`
}

// lend puts a hint of one of this VM's own seats in force, and passes it on.
func (k *Manager) lend(c *chair, cmd lessor.StandbyCmd) {
	l := Standby{Service: c.seatName.svc, Server: c.srv, Epoch: cmd.Epoch, Seq: uint16(c.lends.Add(1)), To: cmd.To}
	k.ApplyStandby(l)
	if told := k.told.Load(); told != nil && told.Standby != nil {
		told.Standby(l)
	}
	if cmd.To == "" {
		k.Log.Info("nobody stands by any more", "service", l.Service, "server", l.Server, "epoch", l.Epoch)
		return
	}
	k.Log.Warn("a server stands by: the store is down", "service", l.Service, "server", l.Server, "by", l.To, "epoch", l.Epoch)
	k.recordLent(c, l)
}

// recordLent notes the loan of each slice and key that the table gives the lost
// server, as a move of it is noted, so that a report on any of its keys shows it.
func (k *Manager) recordLent(c *chair, l Standby) {
	v := c.svc.View()
	if k.Record == nil || v == nil {
		return
	}
	tab := v.Table()
	set := tab.SetOf(l.Server)
	d := record.Decision{
		Action: record.Place, Service: l.Service, Rev: tab.Rev,
		Server: l.To, PrevOwner: l.Server, Epoch: l.Epoch, Reason: "stands by",
	}
	for _, x := range set.Slices {
		d.Slice = x
		k.Record.Record(d)
	}
	for _, key := range set.Keys {
		d.Key, d.Slice = key, ident.SliceOf(key, tab.Slices())
		k.Record.Record(d)
	}
}

// ApplyStandby takes a hint that another VM's seat gave.
func (k *Manager) ApplyStandby(l Standby) {
	b, ok := k.books[l.Service]
	if !ok {
		return
	}
	b.svc.SetStandby(l.Server, state.Standby{Epoch: l.Epoch, Seq: l.Seq, To: l.To})
}

// chairBeside finds the seat of another server of the same service: orders to a
// stand-by go where it takes its own.
func (k *Manager) chairBeside(c *chair, srv ident.Server) (*chair, bool) {
	if srv == c.srv {
		return c, true
	}
	beside, ok := k.seats[seatName{c.seatName.svc, srv}]
	return beside, ok
}
