package seat

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Format is the version of a record's encoding.
const Format = 1

// maxPast bounds the members that a decoded record may list. Two are added by a
// take-over and all leave the list within a term.
const maxPast = 1024

// Record is the value of the object seat/<service>/<server>: who holds the
// authority over one backend server's leases.
type Record struct {
	V      uint          `cbor:"v"`
	Epoch  ident.Epoch   `cbor:"epoch"`
	Holder ident.VM      `cbor:"holder"`
	Deputy ident.VM      `cbor:"deputy"` // "" when there is none
	Term   time.Duration `cbor:"term"`
	// Token differs for every write. A writer whose answer was lost reads the
	// record back and knows its own write by it.
	Token string `cbor:"token"`
	// Past lists the members of earlier epochs that may still act.
	Past []Member `cbor:"past,omitempty"`
}

// Member is a VM that could act under an epoch.
type Member struct {
	VM     ident.VM    `cbor:"vm"`
	Epoch  ident.Epoch `cbor:"epoch"`
	Deputy bool        `cbor:"deputy,omitempty"`
}

// Encode renders the record as the value of its object.
func (r Record) Encode() ([]byte, error) {
	r.V = Format
	return wire.Encode(r)
}

// DecodeRecord reads a record. It fails with kind Newer for a later format: a
// program that does not understand who may act must not act itself.
func DecodeRecord(b []byte) (Record, error) {
	var v struct {
		V uint `cbor:"v"`
	}
	if err := wire.Decode(b, &v); err != nil {
		return Record{}, err
	}
	if v.V > Format {
		return Record{}, kinds.New(kinds.Newer, "seat record in a later format")
	}
	var r Record
	if err := wire.Decode(b, &r); err != nil {
		return Record{}, err
	}
	if len(r.Past) > maxPast || r.Term < 0 || r.V != Format {
		return Record{}, kinds.New(kinds.Malformed, "seat record out of bounds")
	}
	return r, nil
}
