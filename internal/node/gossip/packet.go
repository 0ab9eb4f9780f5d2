package gossip

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Packet is what one entry VM sends to another: exactly one of the parts.
type Packet struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Ack       *Ack       `cbor:"2,keyasint,omitempty"`
	Probe     *Probe     `cbor:"3,keyasint,omitempty"`
	Heads     *Heads     `cbor:"4,keyasint,omitempty"`
	Want      *Want      `cbor:"5,keyasint,omitempty"`
	Value     *Value     `cbor:"6,keyasint,omitempty"`
	News      *News      `cbor:"7,keyasint,omitempty"`
}

// Head names one revision of one value.
type Head struct {
	Name string         `cbor:"name"`
	Rev  ident.Revision `cbor:"rev"`
	Sum  digest.Sum     `cbor:"sum"`
}

// Heartbeat goes from a watcher of the store down its tree to every VM, once a
// period and at once after a change.
type Heartbeat struct {
	Root  ident.VM      `cbor:"1,keyasint"`
	Seq   uint64        `cbor:"2,keyasint"` // milliseconds on the root's clock
	Sum   digest.Sum    `cbor:"3,keyasint"` // over all heads that the root holds
	Age   time.Duration `cbor:"4,keyasint"` // since the root last heard the store
	Heard int           `cbor:"5,keyasint"` // VMs that answered the pulse before
	Heads []Head        `cbor:"6,keyasint,omitempty"`
	// Ask wants an answer up the tree. View is what the answers to the pulse Back
	// milliseconds ago said, with what was heard since.
	Ask  bool   `cbor:"7,keyasint,omitempty"`
	Back uint64 `cbor:"8,keyasint,omitempty"`
	View *View  `cbor:"9,keyasint,omitempty"`
	// List and Turn say how the tree is laid; see newTree.
	List uint32 `cbor:"10,keyasint,omitempty"`
	Turn int    `cbor:"11,keyasint,omitempty"`
	// Read names the platform's list as the root read it Old milliseconds ago.
	Read uint32 `cbor:"12,keyasint,omitempty"`
	Old  int64  `cbor:"13,keyasint,omitempty"`
}

// Ack goes up the tree and counts the VMs that a pulse reached, with what they
// say.
type Ack struct {
	Root ident.VM `cbor:"1,keyasint"`
	Seq  uint64   `cbor:"2,keyasint"`
	N    int      `cbor:"3,keyasint"`
	View *View    `cbor:"4,keyasint,omitempty"`
}

// Probe compares two VMs outside the trees and carries load rows. A receiver
// whose Sum differs answers with its Heads.
type Probe struct {
	Sum  digest.Sum `cbor:"1,keyasint"`
	Rows []LoadRow  `cbor:"2,keyasint,omitempty"`
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

// Value brings a value: as differences that follow on Base, or whole.
type Value struct {
	Head  Head           `cbor:"head"`
	Base  ident.Revision `cbor:"base,omitempty"`
	Diffs [][]byte       `cbor:"diffs,omitempty"`
	Raw   []byte         `cbor:"raw,omitempty"`
}

// LoadRow is one backend server's load as the VM that holds its seat read it. Its
// age travels in whole milliseconds, rounded up: a row never looks newer than it
// is.
type LoadRow struct {
	Server ident.Server
	Slots  int
	Busy   int
	Queue  int
	Age    time.Duration // since it was read
}

// rowForm is a row on its way. Rows are most of what VMs tell each other while
// all is well, so they carry no names of fields.
type rowForm struct {
	_      struct{} `cbor:",toarray"`
	Server ident.Server
	Slots  int
	Busy   int
	Queue  int
	Age    int64 // milliseconds
}

// MarshalCBOR implements the codec's interface.
func (r LoadRow) MarshalCBOR() ([]byte, error) {
	age := (r.Age + time.Millisecond - 1) / time.Millisecond
	return wire.Encode(rowForm{Server: r.Server, Slots: r.Slots, Busy: r.Busy, Queue: r.Queue, Age: int64(age)})
}

// UnmarshalCBOR implements the codec's interface.
func (r *LoadRow) UnmarshalCBOR(b []byte) error {
	var f rowForm
	if err := wire.Decode(b, &f); err != nil {
		return err
	}
	if f.Age < 0 || f.Age > int64(forever/time.Millisecond) {
		return kinds.New(kinds.Malformed, "age of a load row")
	}
	*r = LoadRow{Server: f.Server, Slots: f.Slots, Busy: f.Busy, Queue: f.Queue, Age: time.Duration(f.Age) * time.Millisecond}
	return nil
}

// Bounds on what is accepted from a peer.
const (
	maxHeads = 256 // in one packet
	maxName  = 256 // bytes
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
	if p.parts() == 1 {
		p.skim()
	}
	if p.parts() != 1 || !p.sane() {
		return Packet{}, kinds.New(kinds.Malformed, "peer packet")
	}
	return p, nil
}

func (p Packet) parts() int {
	n := 0
	for _, has := range []bool{p.Heartbeat != nil, p.Ack != nil, p.Probe != nil, p.Heads != nil, p.Want != nil, p.Value != nil, p.News != nil} {
		if has {
			n++
		}
	}
	return n
}

func (p Packet) sane() bool {
	switch {
	case p.Heartbeat != nil:
		return p.Heartbeat.Age >= 0 && p.Heartbeat.Turn >= 0 && p.Heartbeat.Turn < Watchers && p.Heartbeat.Old >= 0 && p.Heartbeat.Heard >= 0 && (p.Heartbeat.View == nil || saneView(p.Heartbeat.View))
	case p.Ack != nil:
		return p.Ack.N >= 0 && (p.Ack.View == nil || saneView(p.Ack.View))
	case p.News != nil:
		return saneView(&p.News.View)
	case p.Probe != nil:
		return saneRows(p.Probe.Rows)
	case p.Heads != nil:
		return true
	case p.Want != nil:
		return saneName(p.Want.Name)
	default:
		g := p.Value
		return saneName(g.Head.Name) && len(g.Raw) <= maxValue && len(g.Diffs) <= maxDiffs
	}
}

func saneName(s string) bool { return s != "" && len(s) <= maxName }

// skim leaves out heads that no honest peer sends, and those beyond the bound. One
// among many must not keep a VM from hearing of all others, the rules among them.
func (p Packet) skim() {
	switch {
	case p.Heartbeat != nil:
		p.Heartbeat.Heads = saneHeads(p.Heartbeat.Heads)
	case p.Heads != nil:
		p.Heads.List = saneHeads(p.Heads.List)
	}
}

func saneHeads(list []Head) []Head {
	list = slices.DeleteFunc(list, func(h Head) bool { return !saneName(h.Name) })
	return list[:min(len(list), maxHeads)]
}

func saneRows(rows []LoadRow) bool {
	for _, r := range rows {
		if !saneName(string(r.Server)) || r.Age < 0 {
			return false
		}
	}
	return len(rows) <= maxRows
}
