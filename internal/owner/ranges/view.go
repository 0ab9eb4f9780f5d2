package ranges

import (
	"slices"
	"strconv"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Assignment says which server serves a span now. An empty Server means none, because the
// keys are being moved between two owners.
type Assignment struct {
	Span
	Server ident.Server
}

// View answers which server serves a key now. It differs from the table while keys move: the
// previous owner serves until it is asked to release them, and the next one only once it has
// them. A View never changes: Apply returns a new one. The zero View has no owner for any
// key.
type View struct {
	Epoch     uint64
	Seq       uint64
	cells     [KeySpace / CellWidth]uint16 // index into names plus one; 0: no server
	names     []ident.Server
	index     map[ident.Server]uint16
	compactAt int // number of names at which unused ones are dropped
}

// minCompactNames is the number of names below which unused ones are never dropped.
const minCompactNames = 256

// Apply returns the view after changes. If full, the changes replace the whole view.
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
		at := next.serverIndex(c.Server)
		for cell := int(c.First) / CellWidth; cell <= int(c.Last)/CellWidth; cell++ {
			next.cells[cell] = at
		}
	}
	return next
}

// serverIndex returns the index of a server plus one, and zero for none. It drops unused
// names first: otherwise a long-lived leader would exceed the range of an index, and keys
// would be reported as another server's.
func (v *View) serverIndex(s ident.Server) uint16 {
	if s == "" {
		return 0
	}
	if at := v.index[s]; at != 0 {
		return at
	}
	if len(v.names) >= max(v.compactAt, minCompactNames) {
		v.compact()
		v.compactAt = 2 * len(v.names)
	}
	v.names = append(v.names, s)
	v.index[s] = uint16(len(v.names))
	return v.index[s]
}

// compact keeps only the names of servers that serve some cell.
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

// Owner returns the server of a key, which is a decimal number. It does not allocate.
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

// CellOf returns the cell of a key, and false for an invalid key.
func CellOf(k ident.Key) (uint16, bool) {
	n, err := strconv.ParseUint(string(k), 10, 16)
	return uint16(n / CellWidth), err == nil
}

// Spans lists the whole view, for a reader that has none yet.
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
