package table

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Format is the version of the encoding. It rises when an older program would misinterpret
// the value; such a program then fails with kind NewerVersion instead of guessing, which
// could give one key two owners.
const Format = 1

// encodedTable is the encoded form. Owners holds two bytes for each slice, big endian.
type encodedTable struct {
	V       uint           `cbor:"v"`
	Service ident.Service  `cbor:"svc"`
	Rev     ident.Revision `cbor:"rev"`
	Rows    []Row          `cbor:"rows"`
	Hot     []Hot          `cbor:"hot"`
	Owners  []byte         `cbor:"own"`
}

// Encode returns the table in its stored form.
func (t Table) Encode() ([]byte, error) {
	owners := make([]byte, 0, 2*len(t.owners))
	for _, o := range t.owners {
		owners = binary.BigEndian.AppendUint16(owners, o)
	}
	return wire.Encode(encodedTable{V: Format, Service: t.Service, Rev: t.Rev, Rows: t.Rows, Hot: t.Hot, Owners: owners})
}

// Decode decodes a table. It fails with kind NewerVersion for a later format, and with kind
// Malformed for a value that is out of bounds or inconsistent.
func Decode(b []byte) (Table, error) {
	var v struct {
		V uint `cbor:"v"`
	}
	if err := wire.Decode(b, &v); err != nil {
		return Table{}, err
	}
	if v.V > Format {
		return Table{}, kinds.New(kinds.NewerVersion, "table in a later format")
	}
	var f encodedTable
	if err := wire.Decode(b, &f); err != nil {
		return Table{}, err
	}
	return f.decode()
}

func (f encodedTable) decode() (Table, error) {
	n := len(f.Owners) / 2
	if f.V != Format || n == 0 || n > MaxSlices || len(f.Owners)%2 != 0 || len(f.Rows) > MaxServers || len(f.Hot) > MaxHot {
		return Table{}, kinds.New(kinds.Malformed, "table out of bounds")
	}
	t := Table{Service: f.Service, Rev: f.Rev, Rows: f.Rows, Hot: f.Hot, owners: make([]uint16, n)}
	for x := range t.owners {
		t.owners[x] = binary.BigEndian.Uint16(f.Owners[2*x:])
	}
	return t, t.validate()
}

// validate rejects an inconsistent table: look-ups rely on the order of rows and hot keys, and
// on the existence of all owners.
func (t Table) validate() error {
	bad := kinds.New(kinds.Malformed, "table is inconsistent")
	for i, r := range t.Rows {
		if r.Name == "" || r.Rev > t.Rev || i > 0 && t.Rows[i-1].Name >= r.Name {
			return bad
		}
	}
	for i, h := range t.Hot {
		_, known := t.rowIndex(h.Server)
		if !known || h.Key == "" || len(h.Key) > MaxKey || i > 0 && t.Hot[i-1].Key >= h.Key {
			return bad
		}
	}
	for _, o := range t.owners {
		if int(o) > len(t.Rows) {
			return bad
		}
	}
	return nil
}

// Digest returns a checksum of the whole table. Two VMs whose tables have the
// same revision and digest agree on every owner.
func (t Table) Digest() uint64 {
	b, err := t.Encode()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
