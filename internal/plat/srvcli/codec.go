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

// The Content-Type of the two encodings of a body.
const (
	TypeJSON = "application/json"
	TypeCBOR = "application/cbor"
)

// Encode encodes an order, a reply or another body in the given content type. The
// CBOR encoding of types that are sent several times a second has numbers as field
// names and omits zero values: a renewal takes 65 bytes instead of 194.
func Encode(contentType string, v any) ([]byte, error) {
	if contentType != TypeCBOR {
		return json.Marshal(v)
	}
	switch v := v.(type) {
	case server.Order:
		return wire.Encode(packOrder(v))
	case server.Reply:
		return wire.Encode(packReply(v))
	case server.Status:
		return wire.Encode(packStatus(v))
	}
	return wire.Encode(v)
}

// Decode decodes the result of Encode. Its errors have kind Malformed.
func Decode(contentType string, b []byte, v any) error {
	if media, _, err := mime.ParseMediaType(contentType); err != nil || media != TypeCBOR {
		return kinds.Wrap(kinds.Malformed, json.Unmarshal(b, v), "decode")
	}
	switch v := v.(type) {
	case *server.Order:
		return decodePacked(b, v, packedOrder.unpack)
	case *server.Reply:
		return decodePacked(b, v, packedReply.unpack)
	case *server.Status:
		return decodePacked(b, v, packedStatus.unpack)
	}
	return wire.Decode(b, v)
}

// decodePacked decodes b as a P and converts it to a V.
func decodePacked[P, V any](b []byte, v *V, unpack func(P) V) error {
	var p P
	if err := wire.Decode(b, &p); err != nil {
		return err
	}
	*v = unpack(p)
	return nil
}

// packedMark and packedFence are encoded as arrays of two numbers.
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
func (m packedMark) unpack() server.Mark  { return server.Mark{Boot: m.Boot, At: m.At} }
func (f packedFence) unpack() ident.Fence { return ident.Fence{Epoch: f.Epoch, Seq: f.Seq} }

// packedOrder is the compact form of [server.Order]. Lessor is omitted if it equals
// Server.
type packedOrder struct {
	Service ident.Service  `cbor:"1,keyasint,omitempty"`
	Server  ident.Server   `cbor:"2,keyasint,omitempty"`
	Lessor  ident.Server   `cbor:"3,keyasint,omitempty"`
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
		Service: o.Service, Server: o.Server, Lessor: o.Lessor, Sender: o.Sender,
		Fence: packFence(o.Fence), Mark: packMark(o.Mark), TTL: o.TTL,
		Rev: o.Rev, Full: o.Full, Slices: o.Slices, Keys: o.Keys, Except: o.Except,
	}
	if p.Lessor == p.Server {
		p.Lessor = ""
	}
	return p
}

func (p packedOrder) unpack() server.Order {
	o := server.Order{
		Service: p.Service, Server: p.Server, Lessor: p.Lessor, Sender: p.Sender,
		Fence: p.Fence.unpack(), Mark: p.Mark.unpack(), TTL: p.TTL,
		Rev: p.Rev, Full: p.Full, Slices: p.Slices, Keys: p.Keys, Except: p.Except,
	}
	if o.Lessor == "" {
		o.Lessor = o.Server
	}
	return o
}

// packedReply is the compact form of [server.Reply].
type packedReply struct {
	Done   bool           `cbor:"1,keyasint,omitempty"`
	Reason string         `cbor:"2,keyasint,omitempty"`
	Fence  packedFence    `cbor:"3,keyasint"`
	Rev    ident.Revision `cbor:"4,keyasint,omitempty"`
	Left   time.Duration  `cbor:"5,keyasint,omitempty"`
	Mark   packedMark     `cbor:"6,keyasint"`
	Status *packedStatus  `cbor:"7,keyasint,omitempty"`
}

func packReply(r server.Reply) packedReply {
	p := packedReply{
		Done: r.Done, Reason: r.Reason, Fence: packFence(r.Fence), Rev: r.Rev, Left: r.Left, Mark: packMark(r.Mark),
	}
	if r.Status != nil {
		s := packStatus(*r.Status)
		p.Status = &s
	}
	return p
}

func (p packedReply) unpack() server.Reply {
	r := server.Reply{
		Done: p.Done, Reason: p.Reason, Fence: p.Fence.unpack(), Rev: p.Rev, Left: p.Left, Mark: p.Mark.unpack(),
	}
	if p.Status != nil {
		s := p.Status.unpack()
		r.Status = &s
	}
	return r
}

// packedStatus is the compact form of [server.Status].
type packedStatus struct {
	Ready bool          `cbor:"1,keyasint,omitempty"`
	Cold  bool          `cbor:"2,keyasint,omitempty"`
	Drain bool          `cbor:"3,keyasint,omitempty"`
	Slots int           `cbor:"4,keyasint,omitempty"`
	Busy  int           `cbor:"5,keyasint,omitempty"`
	Queue int           `cbor:"6,keyasint,omitempty"`
	Age   time.Duration `cbor:"7,keyasint,omitempty"`
}

func packStatus(s server.Status) packedStatus {
	return packedStatus{s.Ready, s.Cold, s.Drain, s.Slots, s.Busy, s.Queue, s.Age}
}

func (p packedStatus) unpack() server.Status {
	return server.Status{
		Health: server.Health{Ready: p.Ready, Cold: p.Cold, Drain: p.Drain},
		Load:   server.Load{Slots: p.Slots, Busy: p.Busy, Queue: p.Queue, Age: p.Age},
	}
}
