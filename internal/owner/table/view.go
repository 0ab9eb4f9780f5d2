package table

import "hawthornfield.org/hawthornfield/internal/core/ident"

// Owner is the result of a look-up on the request path.
type Owner struct {
	Server ident.Server
	Slice  ident.Slice
	Epoch  ident.Epoch    // minimum epoch of the server, under which its lease was granted
	Rev    ident.Revision // revision of the table
	Hot    bool           // owned apart from its slice
}

// View answers which server owns a key. It never changes, so readers share it through an
// atomic pointer without a lock. The zero View has no owner for any key.
type View struct {
	table Table
	hot   map[ident.Key]uint16
}

// NewView prepares a table for look-ups on the request path.
func NewView(t Table) *View {
	v := &View{table: t, hot: make(map[ident.Key]uint16, len(t.Hot))}
	for _, h := range t.Hot {
		if i, ok := t.rowIndex(h.Server); ok {
			v.hot[h.Key] = uint16(i + 1)
		}
	}
	return v
}

// Rev returns the revision of the underlying table.
func (v *View) Rev() ident.Revision { return v.table.Rev }

// Table returns the underlying table. Treat it as read-only.
func (v *View) Table() Table { return v.table }

// Owner returns the owner of a key and reports whether it has one. It does not allocate.
func (v *View) Owner(k ident.Key) (Owner, bool) {
	n := len(v.table.owners)
	if n == 0 {
		return Owner{}, false
	}
	o := Owner{Slice: ident.SliceOf(k, uint32(n)), Rev: v.table.Rev}
	i := v.table.owners[o.Slice]
	if len(v.hot) > 0 {
		if h, ok := v.hot[k]; ok {
			i, o.Hot = h, true
		}
	}
	if i == 0 {
		return o, false
	}
	r := &v.table.Rows[i-1]
	o.Server, o.Epoch = r.Name, r.MinEpoch
	return o, true
}
