package revs

import (
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Names of the objects that hold rules.
const (
	Current   = "rules/current" // the record in force; a revision is accepted when this object is updated
	RevPrefix = "rules/rev/"    // prefix for copies of all records, kept as history
)

// RevName returns the name of the object that holds revision n.
func RevName(n ident.Revision) string {
	return RevPrefix + strconv.FormatUint(uint64(n), 10)
}

// FormatVersion is the version of the record format. A record with a higher version is
// rejected: ignoring a condition that this program does not know would make a rule match
// more requests than its author meant.
const FormatVersion = 1

// Record is one complete revision of the rules.
type Record struct {
	FormatVersion uint           `cbor:"form" json:"form"`
	Rev           ident.Revision `cbor:"rev" json:"rev"`
	Author        string         `cbor:"by" json:"by"`
	Note          string         `cbor:"note" json:"note"`
	At            time.Time      `cbor:"at" json:"at"`
	// Token is chosen by the writer, so that it recognises its own write when the store's
	// answer was lost.
	Token string       `cbor:"token" json:"token"`
	Rules []match.Rule `cbor:"rules" json:"rules"`
}

// Encode returns the stored form of the record. It fails with kind TooLarge when the rules
// do not fit into one object.
func (r *Record) Encode() ([]byte, error) {
	raw, err := wire.Encode(r)
	if err == nil && len(raw) > maxRecordSize {
		return nil, kinds.New(kinds.TooLarge, "rules exceed the maximum size of one object")
	}
	return raw, err
}

// maxRecordSize is the maximum size of an encoded record in bytes. It stays below the
// platform's limit of one megabyte for an object.
const maxRecordSize = 1_000_000

// Decode decodes a stored record. It fails with kind NewerVersion when the record was
// written by a newer version of the program, and with kind Malformed when it is invalid.
func Decode(raw []byte) (*Record, error) {
	var header struct {
		FormatVersion uint `cbor:"form"`
	}
	if err := wire.Decode(raw, &header); err != nil {
		return nil, err
	}
	if header.FormatVersion > FormatVersion {
		return nil, kinds.New(kinds.NewerVersion, "rules of format version "+strconv.FormatUint(uint64(header.FormatVersion), 10))
	}
	var r Record
	if err := wire.Decode(raw, &r); err != nil {
		return nil, err
	}
	if header.FormatVersion == 0 || r.Rev == 0 {
		return nil, kinds.New(kinds.Malformed, "rules without format version or revision")
	}
	return &r, nil
}

// Snapshot is a record compiled for use by the request path. It is immutable.
type Snapshot struct {
	*Record
	Set *match.Set
	Sum digest.Sum // digest of the stored bytes
	Raw []byte     // the stored bytes, sent to peers on request
}

// emptySnapshot is the current snapshot of a Holder before any revision is applied.
var emptySnapshot = &Snapshot{Record: &Record{}, Set: &match.Set{}}

// Open decodes and compiles the stored bytes of a record.
func Open(raw []byte) (*Snapshot, error) {
	r, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	// The rules were checked before the revision was accepted. Checking them again with
	// the limits of this program's version could reject an accepted revision and take
	// every VM of this version out of service.
	set, _ := match.CompileAccepted(r.Rules)
	return &Snapshot{Record: r, Set: set, Sum: digest.Of(raw), Raw: raw}, nil
}
