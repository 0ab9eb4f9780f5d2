package gossip

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Packet is what one entry VM sends to another: exactly one of the parts.
type Packet struct {
	Pulse *Pulse `cbor:"pulse,omitempty"`
	Ack   *Ack   `cbor:"ack,omitempty"`
	Probe *Probe `cbor:"probe,omitempty"`
	Heads *Heads `cbor:"heads,omitempty"`
	Want  *Want  `cbor:"want,omitempty"`
	Give  *Give  `cbor:"give,omitempty"`
}

// Head names one revision of one value.
type Head struct {
	Name string         `cbor:"name"`
	Rev  ident.Revision `cbor:"rev"`
	Sum  digest.Sum     `cbor:"sum"`
}

// Pulse goes from a watcher of the store down its tree to every VM, once a
// period and at once after a change.
type Pulse struct {
	Root  ident.VM      `cbor:"root"`
	Seq   uint64        `cbor:"seq"`   // milliseconds on the root's clock
	Sum   digest.Sum    `cbor:"sum"`   // over all heads that the root holds
	Age   time.Duration `cbor:"age"`   // since the root last heard the store
	Heard int           `cbor:"heard"` // VMs that answered the pulse before
	Heads []Head        `cbor:"heads,omitempty"`
}

// Ack goes up the tree and counts the VMs that a pulse reached. It is only sent
// while the store is silent.
type Ack struct {
	Root ident.VM `cbor:"root"`
	Seq  uint64   `cbor:"seq"`
	N    int      `cbor:"n"`
}

// Probe compares two VMs outside the trees and carries load rows. A receiver
// whose Sum differs answers with its Heads.
type Probe struct {
	Sum  digest.Sum `cbor:"sum"`
	Rows []Row      `cbor:"rows,omitempty"`
}

// Heads lists the revisions that the sender holds: all, or a part of them that
// needs no answer.
type Heads struct {
	List []Head `cbor:"list"`
	Part bool   `cbor:"part,omitempty"`
}

// Want asks for a value; Have is the revision that the sender holds.
type Want struct {
	Name string         `cbor:"name"`
	Have ident.Revision `cbor:"have"`
	Sum  digest.Sum     `cbor:"sum"` // of what it holds
}

// Give brings a value: as differences that follow on Base, or whole.
type Give struct {
	Head  Head           `cbor:"head"`
	Base  ident.Revision `cbor:"base,omitempty"`
	Diffs [][]byte       `cbor:"diffs,omitempty"`
	Raw   []byte         `cbor:"raw,omitempty"`
}

// Row is one backend server's load as the VM that holds its seat read it.
type Row struct {
	Server ident.Server  `cbor:"s"`
	Slots  int           `cbor:"n"`
	Busy   int           `cbor:"b"`
	Queue  int           `cbor:"q"`
	Age    time.Duration `cbor:"a"` // since it was read
}

// Bounds on what is accepted from a peer.
const (
	maxHeads = 256
	maxName  = 128
	maxRows  = 64
	maxValue = 1 << 20
	maxDiffs = 16
)

// Encode renders the packet.
func (p Packet) Encode() ([]byte, error) { return wire.Encode(p) }

// DecodePacket reads a packet. It fails with kind Malformed on anything that an
// honest peer does not send.
func DecodePacket(b []byte) (Packet, error) {
	var p Packet
	if err := wire.Decode(b, &p); err != nil {
		return Packet{}, err
	}
	if p.parts() != 1 || !p.sane() {
		return Packet{}, kinds.New(kinds.Malformed, "peer packet")
	}
	return p, nil
}

func (p Packet) parts() int {
	n := 0
	for _, has := range []bool{p.Pulse != nil, p.Ack != nil, p.Probe != nil, p.Heads != nil, p.Want != nil, p.Give != nil} {
		if has {
			n++
		}
	}
	return n
}

func (p Packet) sane() bool {
	switch {
	case p.Pulse != nil:
		return p.Pulse.Age >= 0 && p.Pulse.Heard >= 0 && saneHeads(p.Pulse.Heads)
	case p.Ack != nil:
		return p.Ack.N >= 0
	case p.Probe != nil:
		return saneRows(p.Probe.Rows)
	case p.Heads != nil:
		return saneHeads(p.Heads.List)
	case p.Want != nil:
		return saneName(p.Want.Name)
	default:
		g := p.Give
		return saneName(g.Head.Name) && len(g.Raw) <= maxValue && len(g.Diffs) <= maxDiffs
	}
}

func saneName(s string) bool { return s != "" && len(s) <= maxName }

func saneHeads(list []Head) bool {
	for _, h := range list {
		if !saneName(h.Name) {
			return false
		}
	}
	return len(list) <= maxHeads
}

func saneRows(rows []Row) bool {
	for _, r := range rows {
		if !saneName(string(r.Server)) || r.Age < 0 {
			return false
		}
	}
	return len(rows) <= maxRows
}
