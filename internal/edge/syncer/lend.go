package syncer

import (
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
)

// standPrefix begins the names under which the exchange carries who stands by.
const standPrefix = "stand/"

func standName(l leases.Standby) string {
	return standPrefix + string(l.Service) + "/" + string(l.Server)
}

// standRev orders what the seats of one server say, whoever holds them: epochs
// only rise, and a holder numbers what it says.
func standRev(l leases.Standby) ident.Revision {
	const perEpoch = 16 // bits
	return ident.Revision(l.Epoch)<<perEpoch | ident.Revision(l.Seq)
}

// PublishStandby tells the other VMs who stands by for a server. It needs no store: that
// is down when it happens.
func (n *Syncer) PublishStandby(l leases.Standby) {
	raw, err := wire.Encode(l)
	if err != nil {
		n.Log.Error("stand-by", "server", l.Server, "err", err)
		return
	}
	name, rev := standName(l), standRev(l)
	n.gossip.Send(gossip.ValueMsg{Name: name, Rev: rev, Raw: raw})
	n.gossip.Send(gossip.NotifyMsg{Name: name, Rev: rev})
}

// onLend takes what a peer brought.
func (n *Syncer) onLend(cmd gossip.ValueCmd) {
	l, err := decodeLend(cmd.Head.Name, cmd.Raw)
	if err != nil {
		n.Log.Error("stand-by", "from", cmd.From, "err", err)
		return
	}
	if n.Standbys != nil {
		n.Standbys(l)
	}
}

// decodeLend checks that a hint stands under its own name: one in another's
// place would send a server's requests elsewhere.
func decodeLend(name string, raw []byte) (leases.Standby, error) {
	var l leases.Standby
	if err := wire.Decode(raw, &l); err != nil {
		return l, err
	}
	if standName(l) != name || strings.Contains(string(l.Service), "/") {
		return l, kinds.New(kinds.Malformed, "a stand-by of "+string(l.Server)+" under the name "+name)
	}
	return l, nil
}
