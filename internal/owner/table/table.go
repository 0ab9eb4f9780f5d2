// Package table records which backend server owns which key of a sharded service.
//
// A [Table] is the agreed assignment, stored as one object for each service. It gives every
// slice an owner, lists the few hot keys that are owned apart from their slice, and keeps a
// minimum epoch for each server: the epoch of the only lessor that may still move keys away
// from that server. The table's revision only rises.
//
// Users hold 460 million keys, which cannot be listed in one place. Slices keep the agreed
// state small (64k slices take two bytes each) and moves cheap. Since the load of a single
// key would then move its whole slice along, single keys can be overridden.
//
// Tables are values: every edit returns a new table and leaves the old one unchanged, so a
// reader never sees a partial edit. The request path reads a [View] instead of a Table, which
// needs no lock and does not allocate.
package table

import (
	"cmp"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Limits of a table. The size that users expect in two years is 64k slices over 500 servers;
// two bytes for each slice keep such a table at 128 KB, an eighth of the largest value that
// the store holds.
const (
	MaxSlices  = 1 << 17
	MaxServers = 1<<16 - 1
	MaxHot     = 4096
	MaxKey     = 512 // bytes in one hot key
)

// Row is what the table holds for one server.
type Row struct {
	Name ident.Server `cbor:"name"`
	// MinEpoch is the epoch of the lessor that may move keys away from this server. An edit
	// under any other epoch is rejected.
	MinEpoch ident.Epoch `cbor:"bar"`
	// Rev is the revision that last changed the set of keys of this server. Grants and
	// renewals for the server carry it.
	Rev ident.Revision `cbor:"rev"`
}

// Hot is a key that is owned apart from its slice.
type Hot struct {
	Key    ident.Key    `cbor:"key"`
	Server ident.Server `cbor:"srv"`
}

// Table is the agreed ownership of one service's keys. Treat it as read-only: edits copy what
// they change.
type Table struct {
	Service ident.Service
	Rev     ident.Revision
	Rows    []Row // sorted by name
	Hot     []Hot // sorted by key

	owners []uint16 // index in Rows plus one for each slice; 0: no owner
}

// New returns revision 1 of a table with n slices without owners.
func New(svc ident.Service, n uint32, servers ...ident.Server) (Table, error) {
	if n == 0 || n > MaxSlices || len(servers) > MaxServers {
		return Table{}, kinds.New(kinds.Malformed, "table size out of bounds")
	}
	t := Table{Service: svc, Rev: 1, owners: make([]uint16, n)}
	for _, s := range servers {
		if _, ok := t.rowIndex(s); !ok {
			t.insert(s)
		}
	}
	return t, nil
}

// Slices returns the number of slices.
func (t Table) Slices() uint32 { return uint32(len(t.owners)) }

// Row returns the row of a server.
func (t Table) Row(s ident.Server) (Row, bool) {
	i, ok := t.rowIndex(s)
	if !ok {
		return Row{}, false
	}
	return t.Rows[i], true
}

// OwnerOf returns the owner of a slice, or "" if it has none.
func (t Table) OwnerOf(x ident.Slice) ident.Server {
	if int(x) >= len(t.owners) || t.owners[x] == 0 {
		return ""
	}
	return t.Rows[t.owners[x]-1].Name
}

// HotOwner returns the owner of a key that is owned apart from its slice.
func (t Table) HotOwner(k ident.Key) (ident.Server, bool) {
	i, ok := t.hotIndex(k)
	if !ok {
		return "", false
	}
	return t.Hot[i].Server, true
}

// Set is everything that one server owns, in the form used by grants.
type Set struct {
	Slices []ident.Slice
	Keys   []ident.Key // owned apart from their slice
	Except []ident.Key // keys of the slices above that another server owns
}

// Empty reports whether the server owns nothing.
func (s Set) Empty() bool { return len(s.Slices) == 0 && len(s.Keys) == 0 }

// SetOf returns what a server owns.
func (t Table) SetOf(s ident.Server) Set {
	i, ok := t.rowIndex(s)
	if !ok {
		return Set{}
	}
	var set Set
	mine := uint16(i + 1)
	for x, o := range t.owners {
		if o == mine {
			set.Slices = append(set.Slices, ident.Slice(x))
		}
	}
	for _, h := range t.Hot {
		switch {
		case h.Server == s:
			set.Keys = append(set.Keys, h.Key)
		case t.owners[ident.SliceOf(h.Key, t.Slices())] == mine:
			set.Except = append(set.Except, h.Key)
		}
	}
	return set
}

func (t Table) rowIndex(s ident.Server) (int, bool) {
	return slices.BinarySearchFunc(t.Rows, s, func(r Row, s ident.Server) int {
		return strings.Compare(string(r.Name), string(s))
	})
}

func (t Table) hotIndex(k ident.Key) (int, bool) {
	return slices.BinarySearchFunc(t.Hot, k, func(h Hot, k ident.Key) int {
		return cmp.Compare(h.Key, k)
	})
}
