package gossip

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Packet is what one entry VM sends to another. Exactly one field is set.
type Packet struct {
	Heartbeat  *Heartbeat  `cbor:"1,keyasint,omitempty"`
	Ack        *Ack        `cbor:"2,keyasint,omitempty"`
	Comparison *Comparison `cbor:"3,keyasint,omitempty"`
	Heads      *Heads      `cbor:"4,keyasint,omitempty"`
	Request    *Request    `cbor:"5,keyasint,omitempty"`
	Value      *Value      `cbor:"6,keyasint,omitempty"`
	News       *News       `cbor:"7,keyasint,omitempty"`
}

// Head identifies one revision of a named value.
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
	Heard int           `cbor:"5,keyasint"` // VMs that answered an earlier heartbeat
	Heads []Head        `cbor:"6,keyasint,omitempty"`
	// Ask requests an Ack up the tree. View merges what the answers to the
	// heartbeat ViewAge milliseconds ago said with the news since then.
	Ask     bool   `cbor:"7,keyasint,omitempty"`
	ViewAge uint64 `cbor:"8,keyasint,omitempty"`
	View    *View  `cbor:"9,keyasint,omitempty"`
	// PeerList and TreeIndex determine the tree; see newTree.
	PeerList  uint32 `cbor:"10,keyasint,omitempty"`
	TreeIndex int    `cbor:"11,keyasint,omitempty"`
	// ListRead is the sum of the platform's list that the root read ListAge
	// milliseconds ago.
	ListRead uint32 `cbor:"12,keyasint,omitempty"`
	ListAge  int64  `cbor:"13,keyasint,omitempty"`
}

// Ack goes up the tree in answer to a heartbeat. It counts the VMs of a subtree
// that the heartbeat reached and merges their views.
type Ack struct {
	Root ident.VM `cbor:"1,keyasint"`
	Seq  uint64   `cbor:"2,keyasint"`
	N    int      `cbor:"3,keyasint"`
	View *View    `cbor:"4,keyasint,omitempty"`
}

// Comparison compares the state of two VMs outside the trees and carries load rows. A
// receiver whose Sum differs answers with its Heads.
type Comparison struct {
	Sum  digest.Sum `cbor:"1,keyasint"`
	Rows []LoadRow  `cbor:"2,keyasint,omitempty"`
}

// Heads lists heads that the sender holds: all of them, or only some if Part is
// set. The receiver of a partial list does not answer with the heads that it
// misses in it.
type Heads struct {
	List []Head `cbor:"list"`
	Part bool   `cbor:"part,omitempty"`
}

// Request asks for a value. Have is the revision that the sender holds, 0 for
// none.
type Request struct {
	Name string         `cbor:"name"`
	Have ident.Revision `cbor:"have"`
	Sum  digest.Sum     `cbor:"sum"` // of the value that the sender holds
}

// Value delivers a value: whole in Raw, or as differences to be applied in order
// to revision Base.
type Value struct {
	Head  Head           `cbor:"head"`
	Base  ident.Revision `cbor:"base,omitempty"`
	Diffs [][]byte       `cbor:"diffs,omitempty"`
	Raw   []byte         `cbor:"raw,omitempty"`
}

// LoadRow is the load of one backend server, read by the VM that holds the
// authority over its keys.
// On the wire Age is in whole milliseconds, rounded up, so that a row never looks
// newer than it is.
type LoadRow struct {
	Server ident.Server
	Slots  int
	Busy   int
	Queue  int
	Age    time.Duration // since the load was read
}

// wireRow is the wire form of a LoadRow. Rows are most of the traffic in normal
// operation, so they are encoded as arrays without field names.
type wireRow struct {
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
	return wire.Encode(wireRow{Server: r.Server, Slots: r.Slots, Busy: r.Busy, Queue: r.Queue, Age: int64(age)})
}

// UnmarshalCBOR implements the codec's interface.
func (r *LoadRow) UnmarshalCBOR(b []byte) error {
	var f wireRow
	if err := wire.Decode(b, &f); err != nil {
		return err
	}
	if f.Age < 0 || f.Age > int64(neverHeard/time.Millisecond) {
		return kinds.New(kinds.Malformed, "load row age out of range")
	}
	*r = LoadRow{Server: f.Server, Slots: f.Slots, Busy: f.Busy, Queue: f.Queue, Age: time.Duration(f.Age) * time.Millisecond}
	return nil
}

// Limits on what is accepted from a peer.
const (
	maxHeads = 256     // in one packet
	maxName  = 256     // bytes
	maxRows  = 64      // load rows in one comparison
	maxValue = 1 << 20 // bytes
	maxDiffs = 16      // differences in one Value
)

// Encode returns the wire form of the packet.
func (p Packet) Encode() ([]byte, error) { return wire.Encode(p) }

// DecodePacket decodes a packet. It fails with kind Malformed on anything that a
// correct peer does not send, except for excess or invalid heads, which it drops.
func DecodePacket(b []byte) (Packet, error) {
	var p Packet
	if err := wire.Decode(b, &p); err != nil {
		return Packet{}, err
	}
	if p.parts() == 1 {
		p.dropInvalidHeads()
	}
	if p.parts() != 1 || !p.valid() {
		return Packet{}, kinds.New(kinds.Malformed, "invalid peer packet")
	}
	return p, nil
}

// parts returns the number of fields that are set.
func (p Packet) parts() int {
	n := 0
	for _, has := range []bool{p.Heartbeat != nil, p.Ack != nil, p.Comparison != nil, p.Heads != nil, p.Request != nil, p.Value != nil, p.News != nil} {
		if has {
			n++
		}
	}
	return n
}

func (p Packet) valid() bool {
	switch {
	case p.Heartbeat != nil:
		return p.Heartbeat.Age >= 0 && p.Heartbeat.TreeIndex >= 0 && p.Heartbeat.TreeIndex < Watchers && p.Heartbeat.ListAge >= 0 && p.Heartbeat.Heard >= 0 && (p.Heartbeat.View == nil || validView(p.Heartbeat.View))
	case p.Ack != nil:
		return p.Ack.N >= 0 && (p.Ack.View == nil || validView(p.Ack.View))
	case p.News != nil:
		return validView(&p.News.View)
	case p.Comparison != nil:
		return validRows(p.Comparison.Rows)
	case p.Heads != nil:
		return true
	case p.Request != nil:
		return validName(p.Request.Name)
	default:
		v := p.Value
		return validName(v.Head.Name) && len(v.Raw) <= maxValue && len(v.Diffs) <= maxDiffs
	}
}

func validName(s string) bool { return s != "" && len(s) <= maxName }

// dropInvalidHeads drops heads with an invalid name, and those beyond maxHeads.
// One invalid head must not keep a VM from learning of all the others, the rules
// among them.
func (p Packet) dropInvalidHeads() {
	switch {
	case p.Heartbeat != nil:
		p.Heartbeat.Heads = validHeads(p.Heartbeat.Heads)
	case p.Heads != nil:
		p.Heads.List = validHeads(p.Heads.List)
	}
}

func validHeads(list []Head) []Head {
	list = slices.DeleteFunc(list, func(h Head) bool { return !validName(h.Name) })
	return list[:min(len(list), maxHeads)]
}

func validRows(rows []LoadRow) bool {
	for _, r := range rows {
		if !validName(string(r.Server)) || r.Age < 0 {
			return false
		}
	}
	return len(rows) <= maxRows
}
