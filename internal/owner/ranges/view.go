package ranges

import (
	"slices"
	"strconv"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Assignment says which server serves a span now; an empty Server that none does,
// because its keys are between two owners.
type Assignment struct {
	Span
	Server ident.Server
}

// View answers which server serves a key now. It differs from the table while
// keys move: the former owner serves until it is asked to give them back, and the
// next one only once it has them. A View never changes: Apply makes another. The
// zero View has no owner for any key.
type View struct {
	Epoch uint64
	Seq   uint64
	cells [KeySpace / CellWidth]uint16 // index of the server plus one
	names []ident.Server
	index map[ident.Server]uint16
	room  int // names that there may be before those out of use are dropped
}

// fewNames are kept without a look at whether they are still in use.
const fewNames = 256

// Apply returns the view after changes. A full one begins with nothing.
func (v *View) Apply(epoch, seq uint64, full bool, changes []Assignment) *View {
	next := &View{}
	if !full && v != nil {
		*next = *v
	}
	next.Epoch, next.Seq = epoch, seq
	next.names = slices.Clone(next.names)
	next.index = make(map[ident.Server]uint16, len(next.names))
	for i, name := range next.names {
		next.index[name] = uint16(i + 1)
	}
	for _, c := range changes {
		at := next.place(c.Server)
		for cell := int(c.First) / CellWidth; cell <= int(c.Last)/CellWidth; cell++ {
			next.cells[cell] = at
		}
	}
	return next
}

// place returns the index of a server plus one, and zero for none. Servers that serve
// nothing any more make room first: over a long lead they would become more than an
// index can tell apart, and keys would be said to be another server's.
func (v *View) place(s ident.Server) uint16 {
	if s == "" {
		return 0
	}
	if at := v.index[s]; at != 0 {
		return at
	}
	if len(v.names) >= max(v.room, fewNames) {
		v.compact()
		v.room = 2 * len(v.names)
	}
	v.names = append(v.names, s)
	v.index[s] = uint16(len(v.names))
	return v.index[s]
}

// compact keeps the names of those servers only that serve some cell.
func (v *View) compact() {
	old := v.names
	v.names, v.index = nil, map[ident.Server]uint16{}
	for cell, at := range v.cells {
		if at == 0 {
			continue
		}
		name := old[at-1]
		if v.index[name] == 0 {
			v.names = append(v.names, name)
			v.index[name] = uint16(len(v.names))
		}
		v.cells[cell] = v.index[name]
	}
}

// Owner finds the server of a key, a number in decimal. It does not allocate.
func (v *View) Owner(k ident.Key) (table.Owner, bool) {
	if v == nil {
		return table.Owner{}, false
	}
	n, err := strconv.ParseUint(string(k), 10, 16)
	if err != nil {
		return table.Owner{}, false
	}
	cell := int(n) / CellWidth
	o := table.Owner{Slice: ident.Slice(cell), Epoch: ident.Epoch(v.Epoch)}
	at := v.cells[cell]
	if at == 0 {
		return o, false
	}
	o.Server = v.names[at-1]
	return o, true
}

// CellOf returns the cell of a key, and false for what is no key.
func CellOf(k ident.Key) (uint16, bool) {
	n, err := strconv.ParseUint(string(k), 10, 16)
	return uint16(n / CellWidth), err == nil
}

// Spans lists who serves what, for a reader who has nothing yet.
func (v *View) Spans() []Assignment {
	var all []Assignment
	for i, at := range v.cells {
		first, last := uint16(i*CellWidth), uint16(i*CellWidth+CellWidth-1)
		name := ident.Server("")
		if at > 0 {
			name = v.names[at-1]
		}
		if n := len(all); n > 0 && all[n-1].Server == name {
			all[n-1].Last = last
			continue
		}
		all = append(all, Assignment{Span: Span{First: first, Last: last}, Server: name})
	}
	return all
}
