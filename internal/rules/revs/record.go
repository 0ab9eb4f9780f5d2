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
	Current   = "rules/current" // the record in force; its update is acceptance
	RevPrefix = "rules/rev/"    // copies of all records, for the history
)

// RevName returns the name of the object that keeps revision n.
func RevName(n ident.Revision) string {
	return RevPrefix + strconv.FormatUint(uint64(n), 10)
}

// FormatVersion is the version of the record's meaning. A program that reads a higher
// one does not guess: a condition that it does not know would make a rule match
// more requests than its author meant.
const FormatVersion = 1

// Record is one revision of the rules, complete.
type Record struct {
	Form   uint           `cbor:"form" json:"form"`
	Rev    ident.Revision `cbor:"rev" json:"rev"`
	Author string         `cbor:"by" json:"by"`
	Note   string         `cbor:"note" json:"note"`
	At     time.Time      `cbor:"at" json:"at"`
	// Token is drawn by the writer, so that it recognises its own write when
	// the store's answer was lost.
	Token string       `cbor:"token" json:"token"`
	Rules []match.Rule `cbor:"rules" json:"rules"`
}

// Encode renders the record as it is stored. It fails with kind TooLarge when
// the rules do not fit into one value.
func (r *Record) Encode() ([]byte, error) {
	raw, err := wire.Encode(r)
	if err == nil && len(raw) > maxRecord {
		return nil, kinds.New(kinds.TooLarge, "rules beyond the size of one object")
	}
	return raw, err
}

// maxRecord keeps a distance from the platform's limit of a megabyte.
const maxRecord = 1_000_000

// Decode reads a stored record. It fails with kind Newer when the record was
// written by a newer version of the program, and Malformed when it is broken.
func Decode(raw []byte) (*Record, error) {
	var form struct {
		Form uint `cbor:"form"`
	}
	if err := wire.Decode(raw, &form); err != nil {
		return nil, err
	}
	if form.Form > FormatVersion {
		return nil, kinds.New(kinds.NewerVersion, "rules of form "+strconv.FormatUint(uint64(form.Form), 10))
	}
	var r Record
	if err := wire.Decode(raw, &r); err != nil {
		return nil, err
	}
	if form.Form == 0 || r.Rev == 0 {
		return nil, kinds.New(kinds.Malformed, "rules without form or revision")
	}
	return &r, nil
}

// Snapshot is a record ready for use by the request path. It never changes.
type Snapshot struct {
	*Record
	Set *match.Set
	Sum digest.Sum // of the stored bytes
	Raw []byte     // the stored bytes, to hand on to peers
}

// empty is what a Book holds before anything was accepted.
var empty = &Snapshot{Record: &Record{}, Set: &match.Set{}}

// Open decodes and compiles stored bytes.
func Open(raw []byte) (*Snapshot, error) {
	r, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	// What an author may write is checked before a revision is accepted. Checked again
	// here, with the bounds of this program's version, an accepted revision would take
	// every VM of that version out of service.
	set, _ := match.CompileAccepted(r.Rules)
	return &Snapshot{Record: r, Set: set, Sum: digest.Of(raw), Raw: raw}, nil
}
