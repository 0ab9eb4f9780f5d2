package quorum

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Object is the name of the object that holds the record of the accepted revision.
const Object = "rules/held"

// FormatVersion is the format version of the records that this program writes.
const FormatVersion = 1

// Record states that a revision is accepted: Confirmed of the Live entry VMs held it, or
// a newer one, when the record was written.
type Record struct {
	FormatVersion uint           `cbor:"form"`
	Rev           ident.Revision `cbor:"rev"`
	Confirmed     int            `cbor:"have"`
	Live          int            `cbor:"live"`
	At            time.Time      `cbor:"at"`
}

// Encode encodes the record in its stored form.
func (r Record) Encode() ([]byte, error) { return wire.Encode(r) }

// Decode decodes a stored record. The error is of kind NewerVersion when a newer version
// of the program wrote it, and of kind Malformed when its values are invalid.
func Decode(raw []byte) (Record, error) {
	var r Record
	if err := wire.Decode(raw, &r); err != nil {
		return Record{}, err
	}
	switch {
	case r.FormatVersion > FormatVersion:
		return Record{}, kinds.New(kinds.NewerVersion, "the record of accepted rules has a newer format version")
	case r.FormatVersion == 0 || r.Rev == 0 || r.Confirmed < 1 || 2*r.Confirmed <= r.Live:
		return Record{}, kinds.New(kinds.Malformed, "the record of accepted rules is invalid")
	}
	return r, nil
}
