package quorum

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Object is the name of the object that says which revision is accepted.
const Object = "rules/held"

// FormatVersion is the version of the record's meaning.
const FormatVersion = 1

// Record says that a revision is accepted: Have of the Live entry VMs held it,
// or a newer one, when it was written.
type Record struct {
	FormatVersion uint           `cbor:"form"`
	Rev           ident.Revision `cbor:"rev"`
	Confirmed     int            `cbor:"have"`
	Live          int            `cbor:"live"`
	At            time.Time      `cbor:"at"`
}

// Encode renders the record as it is stored.
func (r Record) Encode() ([]byte, error) { return wire.Encode(r) }

// Decode reads a stored record. It fails with kind Newer when a newer version of
// the program wrote it, and Malformed when it makes no sense.
func Decode(raw []byte) (Record, error) {
	var r Record
	if err := wire.Decode(raw, &r); err != nil {
		return Record{}, err
	}
	switch {
	case r.FormatVersion > FormatVersion:
		return Record{}, kinds.New(kinds.NewerVersion, "accepted rules of a newer form")
	case r.FormatVersion == 0 || r.Rev == 0 || r.Confirmed < 1 || 2*r.Confirmed <= r.Live:
		return Record{}, kinds.New(kinds.Malformed, "accepted rules")
	}
	return r, nil
}
