package syncer

import (
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
)

// standbyPrefix starts the names under which gossip carries standby hints.
const standbyPrefix = "stand/"

func standbyName(sb leases.Standby) string {
	return standbyPrefix + string(sb.Service) + "/" + string(sb.Server)
}

// standbyRev orders the hints about one server, whichever VM holds its lessor:
// epochs only increase, and the holder numbers its hints.
func standbyRev(sb leases.Standby) ident.Revision {
	const perEpoch = 16 // bits
	return ident.Revision(sb.Epoch)<<perEpoch | ident.Revision(sb.Seq)
}

// PublishStandby tells the other VMs which server is the standby of another. It works
// without the store, which is down when there is a standby.
func (s *Syncer) PublishStandby(sb leases.Standby) {
	raw, err := wire.Encode(sb)
	if err != nil {
		s.Log.Error("stand-by", "server", sb.Server, "err", err)
		return
	}
	name, rev := standbyName(sb), standbyRev(sb)
	s.gossip.Send(gossip.ValueMsg{Name: name, Rev: rev, Raw: raw})
	s.gossip.Send(gossip.NotifyMsg{Name: name, Rev: rev})
}

// onStandby takes a standby hint from a peer.
func (s *Syncer) onStandby(cmd gossip.ValueCmd) {
	sb, err := decodeStandby(cmd.Head.Name, cmd.Raw)
	if err != nil {
		s.Log.Error("stand-by", "from", cmd.From, "err", err)
		return
	}
	if s.ApplyStandby != nil {
		s.ApplyStandby(sb)
	}
}

// decodeStandby decodes a hint and checks that it carries its own name: a hint under
// another server's name would send that server's requests elsewhere.
func decodeStandby(name string, raw []byte) (leases.Standby, error) {
	var sb leases.Standby
	if err := wire.Decode(raw, &sb); err != nil {
		return sb, err
	}
	if standbyName(sb) != name || strings.Contains(string(sb.Service), "/") {
		return sb, kinds.New(kinds.Malformed, "standby hint of "+string(sb.Server)+" under the name "+name)
	}
	return sb, nil
}
