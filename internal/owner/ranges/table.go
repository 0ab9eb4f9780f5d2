// Package ranges says which backend server owns which keys where keys are numbers
// and servers take them in ranges.
//
// The pattern it answers is that busy keys lie next to each other: one large range
// for each server would give all of them to one. The key space is therefore cut
// into stripes that are dealt out in turn, and a stripe that is busy by itself is
// cut further. A [Table] is the agreed value, one object in the store for each
// service; the request path reads a [View], which answers without a lock.
package ranges

import (
	"encoding/json"
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Sizes of the key space.
const (
	KeySpace = 1 << 16 // keys are the numbers below it
	// Widest is how many keys a stripe has to begin with where servers are few. Each
	// stripe is an order of some 350 bytes each 1.6 s, to a server that is mostly in
	// another data centre: 1,024 stripes of 64 keys sent 6 MB between three data centres
	// in 40 s, 40 in 100 of all bytes of a quiet day; 256 stripes send 2 MB. Narrower ones
	// spread two hundred neighbouring busy keys over four servers before anybody has
	// noticed that they are busy; wider ones leave that to cutting, in a plan or two.
	//
	// Gains 0.033 of a day's worth where bytes are dear (18 days), 0.007 and 0.005 where
	// they are not (12 days each), against 64; with 128 four fifths of that.
	Widest = 256
	// narrowest is the same where servers are many: a leader renews a thousand stripes
	// at a tenth of a core.
	narrowest = 64
	// rowsEach is how many stripes each server has to begin with, at least: one is then
	// less than the band of 0.15 within which no keys move for balance.
	rowsEach = 8
	// CellWidth is the narrowest stripe that a busy one is cut into.
	CellWidth = 4
	// MostRows bounds a table, and with it what renewals cost.
	MostRows = 2048
)

// Span is a run of keys, both ends included.
type Span struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
}

// Len is how many keys a span holds.
func (s Span) Len() int { return int(s.Last) - int(s.First) + 1 }

// Row is one stripe and its owner.
type Row struct {
	Span
	Owner       ident.Server // empty: nobody yet
	Incarnation int64        // the owner's life that has the keys
	Fence       uint64       // under which it has them
	// PrevOwner is the owner before, as long as it is not certain that it has given the
	// keys back.
	PrevOwner ident.Server
	// LostRows says that nobody can tell any more who had the keys: the stored row named a
	// server that the table does not have. Whoever it was may hold them for as long as
	// the longest grant.
	Lost bool
}

// Table is the agreed ownership of one service's keys. Rows cover all keys in
// their order. Treat a table as read-only: edits work on a Clone.
type Table struct {
	Epoch uint64 // of the leader who wrote it
	Top   uint64 // highest fence ever used; fences only rise
	Rows  []Row
}

// NewTable cuts the key space into stripes without owners, for so many servers.
func NewTable(servers int) Table {
	width := Widest
	for width > narrowest && KeySpace/width < rowsEach*servers {
		width /= 2
	}
	t := Table{Rows: make([]Row, 0, KeySpace/width)}
	for first := 0; first < KeySpace; first += width {
		t.Rows = append(t.Rows, Row{Span: Span{First: uint16(first), Last: uint16(first + width - 1)}})
	}
	return t
}

// Clone returns a table whose rows may be changed.
func (t Table) Clone() Table {
	t.Rows = slices.Clone(t.Rows)
	return t
}

// NextFence returns the next fence, above all that were ever used.
func (t *Table) NextFence() uint64 {
	t.Top++
	return t.Top
}

// LostRows counts the rows of which nobody can tell who had their keys.
func (t Table) LostRows() int {
	n := 0
	for _, r := range t.Rows {
		if r.Lost {
			n++
		}
	}
	return n
}

// Find returns the index of the row that holds a key.
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

// Split cuts row i into pieces of a quarter, no narrower than a cell. The pieces
// keep its owner and its fence. It reports whether it could.
func (t *Table) Split(i int) bool {
	r := t.Rows[i]
	const parts = 4
	width := max(r.Len()/parts, CellWidth)
	if r.Len() <= CellWidth || len(t.Rows)+parts > MostRows {
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

// document is a table's form in the store: a row is first key, owner, life, fence,
// former owner; owners are indexes from one, lives go with owners.
type document struct {
	Epoch   uint64         `json:"epoch"`
	Top     uint64         `json:"top"`
	Servers []ident.Server `json:"servers"`
	Rows    [][5]int64     `json:"rows"`
}

// Encode renders a table for the store.
func (t Table) Encode() ([]byte, error) {
	d := document{Epoch: t.Epoch, Top: t.Top, Rows: make([][5]int64, len(t.Rows))}
	index := map[ident.Server]int64{}
	of := func(s ident.Server) int64 {
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
		from := of(r.PrevOwner)
		if r.Lost {
			from = lost
		}
		d.Rows[i] = [5]int64{int64(r.First), of(r.Owner), r.Incarnation, int64(r.Fence), from}
	}
	b, err := json.Marshal(d)
	return b, kinds.Wrap(kinds.Internal, err, "encode table")
}

// lost stands for a former owner that nobody can name.
const lost = -1

// mostFence bounds fences: above it, they could not rise for long enough.
const mostFence = 1 << 62

// Decode reads what Encode wrote. A table that does not cover all keys in order
// is Malformed. A row that is wrong by itself must not keep all other keys from their
// owners: where it names a server that there is none of, it is Lost, and where its fence
// is above the table's, the table's is raised.
func Decode(b []byte) (Table, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return Table{}, kinds.Wrap(kinds.Malformed, err, "decode table")
	}
	t := Table{Epoch: d.Epoch, Top: d.Top, Rows: make([]Row, len(d.Rows))}
	last := int64(KeySpace)
	for i := len(d.Rows) - 1; i >= 0; i-- {
		r := d.Rows[i]
		if r[0] < 0 || r[0] >= last || r[3] < 0 || r[3] > mostFence {
			return Table{}, kinds.New(kinds.Malformed, "decode table: bad row")
		}
		t.Rows[i] = d.row(r, uint16(last-1))
		t.Top = max(t.Top, t.Rows[i].Fence)
		last = r[0]
	}
	if last != 0 {
		return Table{}, kinds.New(kinds.Malformed, "decode table: keys without a row")
	}
	return t, nil
}

// row reads one row that ends with a key.
func (d *document) row(r [5]int64, last uint16) Row {
	row := Row{Span: Span{First: uint16(r[0]), Last: last}, Fence: uint64(r[3])}
	if !d.knows(r[1]) {
		row.Lost = true
		return row
	}
	row.Owner, row.Incarnation = d.server(r[1]), r[2]
	if !d.knows(r[4]) {
		row.Lost = true
		return row
	}
	row.PrevOwner = d.server(r[4])
	return row
}

func (d *document) knows(i int64) bool { return i >= 0 && i <= int64(len(d.Servers)) }

func (d *document) server(i int64) ident.Server {
	if i == 0 {
		return ""
	}
	return d.Servers[i-1]
}
