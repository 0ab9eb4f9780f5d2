// Package ranges records which backend server owns which keys when keys are numbers and
// servers own ranges of them.
//
// Busy keys tend to lie next to each other: with one large range for each server, one
// server would get all of them. The key space is therefore split into many small ranges,
// the rows, which are distributed over the servers; a row that is busy by itself is split
// further. A [Table] is the agreed assignment, stored as one object for each service. The
// request path reads a [View], which needs no lock.
package ranges

import (
	"encoding/json"
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Limits of the key space and of tables.
const (
	KeySpace = 1 << 16 // keys are the numbers from 0 to KeySpace-1
	// InitialWidth is the initial number of keys in a row where servers are few. Each row
	// costs an order of some 350 bytes every 1.6 s to a server that is mostly in another data
	// centre: 1,024 rows of 64 keys sent 6 MB between three data centres in 40 s, 40 in 100 of
	// all bytes of a quiet day; 256 rows send 2 MB. Narrower rows spread two hundred
	// neighbouring busy keys over four servers before their load has been noticed; with wider
	// ones, that takes splitting in one or two plans.
	//
	// Compared with a width of 64, the value of a day's service rises by 0.033 of the
	// total where traffic is expensive (18 days), and by 0.007 and 0.005 where it is not (12
	// days each). A width of 128 gives four fifths of that.
	InitialWidth = 256
	// minInitialWidth is the initial width where servers are many: a leader renews a
	// thousand rows with a tenth of a core.
	minInitialWidth = 64
	// minRowsPerServer is the minimum initial number of rows for each server. One row is then
	// less than the band of 0.15 within which no keys move for balance.
	minRowsPerServer = 8
	// CellWidth is the number of keys in a cell, the smallest row that splitting produces.
	CellWidth = 4
	// MaxRows limits the size of a table, and with it the cost of renewals.
	MaxRows = 2048
)

// Span is a range of keys, both ends included.
type Span struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
}

// Len returns the number of keys in the span.
func (s Span) Len() int { return int(s.Last) - int(s.First) + 1 }

// Row is a range of keys and its owner.
type Row struct {
	Span
	Owner       ident.Server // empty: no owner yet
	Incarnation int64        // of the owner's process that has the keys
	Fence       uint64       // under which the owner has the keys
	// PrevOwner is the previous owner, until it has certainly released the keys.
	PrevOwner ident.Server
	// Lost means that the holder of the keys is unknown, because the stored row named a
	// server that the table does not list. That server may hold them for up to the longest
	// grant.
	Lost bool
	// Kept means that the row is Lost, but that Owner has the keys under Fence unless they were
	// taken back from it in a time that the store has lost.
	Kept bool
}

// Table is the agreed assignment of one service's keys. Rows are sorted and cover all keys.
// Treat a table as read-only and edit a Clone.
type Table struct {
	Epoch uint64         // of the leader that wrote it
	Era   object.EraMark // of the store in which it was written
	Top   uint64         // highest fence ever used; fences never decrease
	Rows  []Row
}

// NewTable splits the key space into rows without owners, enough for so many servers.
func NewTable(servers int) Table {
	width := InitialWidth
	for width > minInitialWidth && KeySpace/width < minRowsPerServer*servers {
		width /= 2
	}
	t := Table{Rows: make([]Row, 0, KeySpace/width)}
	for first := 0; first < KeySpace; first += width {
		t.Rows = append(t.Rows, Row{Span: Span{First: uint16(first), Last: uint16(first + width - 1)}})
	}
	return t
}

// RaiseTop makes sure that fences from now on are above floor.
func (t *Table) RaiseTop(floor uint64) { t.Top = max(t.Top, floor) }

// Clone returns a copy whose rows may be changed.
func (t Table) Clone() Table {
	t.Rows = slices.Clone(t.Rows)
	return t
}

// NextFence returns a new fence, above all that were ever used.
func (t *Table) NextFence() uint64 {
	t.Top++
	return t.Top
}

// LostRows counts the rows whose holder is unknown.
func (t Table) LostRows() int {
	n := 0
	for _, r := range t.Rows {
		if r.Lost {
			n++
		}
	}
	return n
}

// Find returns the index of the row that contains a key.
func (t *Table) Find(key uint16) int {
	i, _ := slices.BinarySearchFunc(t.Rows, key, func(r Row, k uint16) int {
		switch {
		case r.Last < k:
			return -1
		case r.First > k:
			return 1
		}
		return 0
	})
	return i
}

// Split splits row i into four pieces, none smaller than a cell. The pieces keep its owner
// and fence. It reports whether the row could be split.
func (t *Table) Split(i int) bool {
	r := t.Rows[i]
	const parts = 4
	width := max(r.Len()/parts, CellWidth)
	if r.Len() <= CellWidth || len(t.Rows)+parts > MaxRows {
		return false
	}
	var pieces []Row
	for first := int(r.First); first <= int(r.Last); first += width {
		piece := r
		piece.Span = Span{First: uint16(first), Last: uint16(min(first+width-1, int(r.Last)))}
		pieces = append(pieces, piece)
	}
	t.Rows = slices.Replace(t.Rows, i, i+1, pieces...)
	return true
}

// storedTable is the stored form of a table. A row is [first key, owner, incarnation, fence,
// previous owner]; owners are indexes into Servers, from 1, and 0 is none.
type storedTable struct {
	Epoch   uint64         `json:"epoch"`
	Era     object.EraMark `json:"era,omitempty"`
	Top     uint64         `json:"top"`
	Servers []ident.Server `json:"servers"`
	Rows    [][5]int64     `json:"rows"`
}

// Encode returns the stored form of the table.
func (t Table) Encode() ([]byte, error) {
	d := storedTable{Epoch: t.Epoch, Era: t.Era, Top: t.Top, Rows: make([][5]int64, len(t.Rows))}
	index := map[ident.Server]int64{}
	indexOf := func(s ident.Server) int64 {
		if s == "" {
			return 0
		}
		if index[s] == 0 {
			d.Servers = append(d.Servers, s)
			index[s] = int64(len(d.Servers))
		}
		return index[s]
	}
	for i, r := range t.Rows {
		prev := indexOf(r.PrevOwner)
		switch {
		case r.Lost && r.Kept:
			prev = keptOwner
		case r.Lost:
			prev = unknownOwner
		}
		d.Rows[i] = [5]int64{int64(r.First), indexOf(r.Owner), r.Incarnation, int64(r.Fence), prev}
	}
	b, err := json.Marshal(d)
	return b, kinds.Wrap(kinds.Internal, err, "encode table")
}

// Stored indexes of a previous owner that is unknown. Earlier versions read both alike.
const (
	unknownOwner = -1 - iota
	keptOwner    // see Row.Kept
)

// maxFence limits stored fences, so that they can still rise for long enough.
const maxFence = 1 << 62

// Decode parses what Encode wrote. A table that does not cover all keys in order is
// Malformed. A single invalid row must not keep all other keys from their owners: if it
// names a server that is not listed, it is Lost, and if its fence is above the table's Top,
// Top is raised.
func Decode(b []byte) (Table, error) {
	var d storedTable
	if err := json.Unmarshal(b, &d); err != nil {
		return Table{}, kinds.Wrap(kinds.Malformed, err, "decode table")
	}
	t := Table{Epoch: d.Epoch, Era: d.Era, Top: d.Top, Rows: make([]Row, len(d.Rows))}
	last := int64(KeySpace)
	for i := len(d.Rows) - 1; i >= 0; i-- {
		r := d.Rows[i]
		if r[0] < 0 || r[0] >= last || r[3] < 0 || r[3] > maxFence {
			return Table{}, kinds.New(kinds.Malformed, "decode table: invalid row")
		}
		t.Rows[i] = d.decodeRow(r, uint16(last-1))
		t.Top = max(t.Top, t.Rows[i].Fence)
		last = r[0]
	}
	if last != 0 {
		return Table{}, kinds.New(kinds.Malformed, "decode table: keys without a row")
	}
	return t, nil
}

// decodeRow decodes one row whose last key is given.
func (d *storedTable) decodeRow(r [5]int64, last uint16) Row {
	row := Row{Span: Span{First: uint16(r[0]), Last: last}, Fence: uint64(r[3])}
	if !d.validIndex(r[1]) {
		row.Lost = true
		return row
	}
	row.Owner, row.Incarnation = d.server(r[1]), r[2]
	if !d.validIndex(r[4]) {
		row.Lost, row.Kept = true, r[4] == keptOwner
		return row
	}
	row.PrevOwner = d.server(r[4])
	return row
}

func (d *storedTable) validIndex(i int64) bool { return i >= 0 && i <= int64(len(d.Servers)) }

func (d *storedTable) server(i int64) ident.Server {
	if i == 0 {
		return ""
	}
	return d.Servers[i-1]
}
