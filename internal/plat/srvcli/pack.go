package srvcli

import (
	"encoding/json"
	"mime"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// The two forms of bodies, by their Content-Type.
const (
	TypeJSON = "application/json"
	TypeCBOR = "application/cbor"
)

// Encode renders an order or an answer. In CBOR, those that cross the wire
// several times a second have numbers for field names and leave out what is
// zero: a renewal is 65 bytes in place of 194.
func Encode(kind string, v any) ([]byte, error) {
	if kind != TypeCBOR {
		return json.Marshal(v)
	}
	switch v := v.(type) {
	case server.Order:
		return wire.Encode(packOrder(v))
	case server.Reply:
		return wire.Encode(packReply(v))
	case server.Status:
		return wire.Encode(packWord(v))
	}
	return wire.Encode(v)
}

// Decode reads what Encode rendered. It fails with kind Malformed.
func Decode(kind string, b []byte, v any) error {
	if media, _, err := mime.ParseMediaType(kind); err != nil || media != TypeCBOR {
		return kinds.Wrap(kinds.Malformed, json.Unmarshal(b, v), "decode")
	}
	switch v := v.(type) {
	case *server.Order:
		return unpack(b, v, packedOrder.open)
	case *server.Reply:
		return unpack(b, v, packedReply.open)
	case *server.Status:
		return unpack(b, v, packedWord.open)
	}
	return wire.Decode(b, v)
}

func unpack[P, V any](b []byte, v *V, open func(P) V) error {
	var p P
	if err := wire.Decode(b, &p); err != nil {
		return err
	}
	*v = open(p)
	return nil
}

// packedMark and packedFence are arrays of two numbers.
type (
	packedMark struct {
		_    struct{} `cbor:",toarray"`
		Boot uint64
		At   time.Duration
	}
	packedFence struct {
		_     struct{} `cbor:",toarray"`
		Epoch ident.Epoch
		Seq   uint64
	}
)

func packMark(m server.Mark) packedMark   { return packedMark{Boot: m.Boot, At: m.At} }
func packFence(f ident.Fence) packedFence { return packedFence{Epoch: f.Epoch, Seq: f.Seq} }
func (m packedMark) open() server.Mark    { return server.Mark{Boot: m.Boot, At: m.At} }
func (f packedFence) open() ident.Fence   { return ident.Fence{Epoch: f.Epoch, Seq: f.Seq} }

// packedOrder is a server.Order. A seat that has its server's name is left out.
type packedOrder struct {
	Service ident.Service  `cbor:"1,keyasint,omitempty"`
	Server  ident.Server   `cbor:"2,keyasint,omitempty"`
	Seat    ident.Server   `cbor:"3,keyasint,omitempty"`
	Sender  ident.VM       `cbor:"4,keyasint,omitempty"`
	Fence   packedFence    `cbor:"5,keyasint"`
	Mark    packedMark     `cbor:"6,keyasint"`
	TTL     time.Duration  `cbor:"7,keyasint"`
	Rev     ident.Revision `cbor:"8,keyasint,omitempty"`
	Full    bool           `cbor:"9,keyasint,omitempty"`
	Slices  []ident.Slice  `cbor:"10,keyasint,omitempty"`
	Keys    []ident.Key    `cbor:"11,keyasint,omitempty"`
	Except  []ident.Key    `cbor:"12,keyasint,omitempty"`
}

func packOrder(o server.Order) packedOrder {
	p := packedOrder{
		Service: o.Service, Server: o.Server, Seat: o.Lessor, Sender: o.Sender,
		Fence: packFence(o.Fence), Mark: packMark(o.Mark), TTL: o.TTL,
		Rev: o.Rev, Full: o.Full, Slices: o.Slices, Keys: o.Keys, Except: o.Except,
	}
	if p.Seat == p.Server {
		p.Seat = ""
	}
	return p
}

func (p packedOrder) open() server.Order {
	o := server.Order{
		Service: p.Service, Server: p.Server, Lessor: p.Seat, Sender: p.Sender,
		Fence: p.Fence.open(), Mark: p.Mark.open(), TTL: p.TTL,
		Rev: p.Rev, Full: p.Full, Slices: p.Slices, Keys: p.Keys, Except: p.Except,
	}
	if o.Lessor == "" {
		o.Lessor = o.Server
	}
	return o
}

// packedReply is a server.Reply.
type packedReply struct {
	Done  bool           `cbor:"1,keyasint,omitempty"`
	Why   string         `cbor:"2,keyasint,omitempty"`
	Fence packedFence    `cbor:"3,keyasint"`
	Rev   ident.Revision `cbor:"4,keyasint,omitempty"`
	Left  time.Duration  `cbor:"5,keyasint,omitempty"`
	Mark  packedMark     `cbor:"6,keyasint"`
	Word  *packedWord    `cbor:"7,keyasint,omitempty"`
}

func packReply(r server.Reply) packedReply {
	p := packedReply{
		Done: r.Done, Why: r.Reason, Fence: packFence(r.Fence), Rev: r.Rev, Left: r.Left, Mark: packMark(r.Mark),
	}
	if r.Status != nil {
		w := packWord(*r.Status)
		p.Word = &w
	}
	return p
}

func (p packedReply) open() server.Reply {
	r := server.Reply{
		Done: p.Done, Reason: p.Why, Fence: p.Fence.open(), Rev: p.Rev, Left: p.Left, Mark: p.Mark.open(),
	}
	if p.Word != nil {
		w := p.Word.open()
		r.Status = &w
	}
	return r
}

// packedWord is a server.Word.
type packedWord struct {
	Ready bool          `cbor:"1,keyasint,omitempty"`
	Cold  bool          `cbor:"2,keyasint,omitempty"`
	Drain bool          `cbor:"3,keyasint,omitempty"`
	Slots int           `cbor:"4,keyasint,omitempty"`
	Busy  int           `cbor:"5,keyasint,omitempty"`
	Queue int           `cbor:"6,keyasint,omitempty"`
	Age   time.Duration `cbor:"7,keyasint,omitempty"`
}

func packWord(w server.Status) packedWord {
	return packedWord{w.Ready, w.Cold, w.Drain, w.Slots, w.Busy, w.Queue, w.Age}
}

func (p packedWord) open() server.Status {
	return server.Status{
		Health: server.Health{Ready: p.Ready, Cold: p.Cold, Drain: p.Drain},
		Load:   server.Load{Slots: p.Slots, Busy: p.Busy, Queue: p.Queue, Age: p.Age},
	}
}
