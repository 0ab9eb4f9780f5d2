package lessor

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// RecordVersion is the newest version of a record's encoding. A record that says
// nothing about stand-bys is written as version 1; one that does must not be
// taken over by a program that does not know what they are.
const (
	RecordVersion = 2
	plainFormat   = 1
)

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
	// Stand says that the holder may grant the keys to another server while the
	// store is down and the deputy agrees: see stand.go.
	Stand bool `cbor:"stand,omitempty"`
}

// Member is a VM that could act under an epoch.
type Member struct {
	VM     ident.VM    `cbor:"vm"`
	Epoch  ident.Epoch `cbor:"epoch"`
	Deputy bool        `cbor:"deputy,omitempty"`
	// Stand marks a holder that may have granted the keys to a stand-by.
	Stand bool `cbor:"stand,omitempty"`
}

// format returns the version to write the record in.
func (r Record) format() uint {
	if r.Stand || slices.ContainsFunc(r.Past, func(m Member) bool { return m.Stand }) {
		return RecordVersion
	}
	return plainFormat
}

// Encode renders the record as the value of its object.
func (r Record) Encode() ([]byte, error) {
	r.V = r.format()
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
	if v.V > RecordVersion {
		return Record{}, kinds.New(kinds.NewerVersion, "seat record in a later format")
	}
	var r Record
	if err := wire.Decode(b, &r); err != nil {
		return Record{}, err
	}
	if len(r.Past) > maxPast || r.Term < 0 || r.V < plainFormat {
		return Record{}, kinds.New(kinds.Malformed, "seat record out of bounds")
	}
	return r, nil
}
