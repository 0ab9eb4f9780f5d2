// Package table says which backend server owns which key of a divided service.
//
// A [Table] is the agreed value: one object in the store for each service. It
// gives every slice an owner, lists the few hot keys that are owned apart from
// their slice, and keeps a bar for each server: the epoch of the one seat
// holder that may still change that server's rows. Its revision only rises.
//
// Users hold 460 million keys, which nobody can list in one place; slices make
// the agreed state small (64k slices are two bytes each) and a move cheap. A
// load that sits on one key would then drag a whole slice along, so single keys
// can be overridden.
//
// Tables are values: every edit returns a new table and leaves the old one as
// it was, so a reader never sees half an edit. The request path does not read a
// Table but a [View], which answers without a lock and without allocating.
package table

import (
	"cmp"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Bounds of a table. The users' two-year size is 64k slices over 500 servers;
// two bytes for each slice keep such a table at 128 KB, an eighth of the
// largest value that the store holds.
const (
	MaxSlices  = 1 << 17
	MaxServers = 1<<16 - 1
	MaxHot     = 4096
	MaxKey     = 512 // bytes in one hot key
)

// Row is what the table knows of one server.
type Row struct {
	Name ident.Server `cbor:"name"`
	// MinEpoch is the epoch of the seat holder that may move keys away from this
	// server. An edit under any other epoch is refused.
	MinEpoch ident.Epoch `cbor:"bar"`
	// Rev is the revision that last changed the set of keys of this server. It
	// is the revision that grants and renewals for the server carry.
	Rev ident.Revision `cbor:"rev"`
}

// Hot is one key that is owned apart from its slice.
type Hot struct {
	Key    ident.Key    `cbor:"key"`
	Server ident.Server `cbor:"srv"`
}

// Table is the agreed ownership of one service. Treat it as read-only: the
// edits below copy what they change.
type Table struct {
	Service ident.Service
	Rev     ident.Revision
	Rows    []Row // sorted by name
	Hot     []Hot // sorted by key

	owners []uint16 // for each slice, one more than the index in Rows; 0: nobody
}

// New makes revision 1 of a table with n slices that nobody owns.
func New(svc ident.Service, n uint32, servers ...ident.Server) (Table, error) {
	if n == 0 || n > MaxSlices || len(servers) > MaxServers {
		return Table{}, kinds.New(kinds.Malformed, "table size out of bounds")
	}
	t := Table{Service: svc, Rev: 1, owners: make([]uint16, n)}
	for _, s := range servers {
		if _, ok := t.row(s); !ok {
			t.insert(s)
		}
	}
	return t, nil
}

// Slices returns the number of slices.
func (t Table) Slices() uint32 { return uint32(len(t.owners)) }

// Row returns what the table knows of a server.
func (t Table) Row(s ident.Server) (Row, bool) {
	i, ok := t.row(s)
	if !ok {
		return Row{}, false
	}
	return t.Rows[i], true
}

// OwnerOf returns the owner of a slice, or "" when nobody owns it.
func (t Table) OwnerOf(x ident.Slice) ident.Server {
	if int(x) >= len(t.owners) || t.owners[x] == 0 {
		return ""
	}
	return t.Rows[t.owners[x]-1].Name
}

// HotOwner returns the owner of a key that is overridden singly.
func (t Table) HotOwner(k ident.Key) (ident.Server, bool) {
	i, ok := t.hot(k)
	if !ok {
		return "", false
	}
	return t.Hot[i].Server, true
}

// Set is everything that one server owns, in the form that a grant carries.
type Set struct {
	Slices []ident.Slice
	Keys   []ident.Key // owned apart from their slice
	Except []ident.Key // keys of the slices above that another server owns
}

// Empty reports whether the set holds nothing.
func (s Set) Empty() bool { return len(s.Slices) == 0 && len(s.Keys) == 0 }

// SetOf collects what a server owns.
func (t Table) SetOf(s ident.Server) Set {
	i, ok := t.row(s)
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

func (t Table) row(s ident.Server) (int, bool) {
	return slices.BinarySearchFunc(t.Rows, s, func(r Row, s ident.Server) int {
		return strings.Compare(string(r.Name), string(s))
	})
}

func (t Table) hot(k ident.Key) (int, bool) {
	return slices.BinarySearchFunc(t.Hot, k, func(h Hot, k ident.Key) int {
		return cmp.Compare(h.Key, k)
	})
}
