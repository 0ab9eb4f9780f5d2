package lessor

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// RecordVersion is the newest version of the record's encoding. A record
// without standbys is written as version 1; a program that does not know
// standbys must not take over from a record with one.
const (
	RecordVersion   = 2
	formatNoStandby = 1
)

// maxPastMembers bounds the members that a decoded record may list. A takeover
// adds two, and all leave the list within a term.
const maxPastMembers = 1024

// Record is the value of the object seat/<service>/<server>: it names the
// holder of the authority over one backend server's leases.
type Record struct {
	V      uint          `cbor:"v"`
	Epoch  ident.Epoch   `cbor:"epoch"`
	Holder ident.VM      `cbor:"holder"`
	Deputy ident.VM      `cbor:"deputy"` // "" when there is none
	Term   time.Duration `cbor:"term"`
	// Token differs for every write. A writer whose answer was lost reads the
	// record back and recognises its own write by it.
	Token string `cbor:"token"`
	// Past lists the members of earlier epochs that may still act.
	Past []Member `cbor:"past,omitempty"`
	// Standby says that the holder may grant the keys to another server while
	// the store is down and the deputy agrees: see standby.go.
	Standby bool `cbor:"stand,omitempty"`
}

// Member is a VM that could act under an epoch.
type Member struct {
	VM     ident.VM    `cbor:"vm"`
	Epoch  ident.Epoch `cbor:"epoch"`
	Deputy bool        `cbor:"deputy,omitempty"`
	// Standby marks a holder that may have granted the keys to a standby.
	Standby bool `cbor:"stand,omitempty"`
}

// format returns the version to write the record in.
func (r Record) format() uint {
	if r.Standby || slices.ContainsFunc(r.Past, func(m Member) bool { return m.Standby }) {
		return RecordVersion
	}
	return formatNoStandby
}

// Encode renders the record as the value of its object.
func (r Record) Encode() ([]byte, error) {
	r.V = r.format()
	return wire.Encode(r)
}

// DecodeRecord decodes a record. It fails with kind NewerVersion for a later
// format: a program that does not know who may act must not act itself.
func DecodeRecord(b []byte) (Record, error) {
	var v struct {
		V uint `cbor:"v"`
	}
	if err := wire.Decode(b, &v); err != nil {
		return Record{}, err
	}
	if v.V > RecordVersion {
		return Record{}, kinds.New(kinds.NewerVersion, "lessor record is in a newer format")
	}
	var r Record
	if err := wire.Decode(b, &r); err != nil {
		return Record{}, err
	}
	if len(r.Past) > maxPastMembers || r.Term < 0 || r.V < formatNoStandby {
		return Record{}, kinds.New(kinds.Malformed, "lessor record is out of bounds")
	}
	return r, nil
}
