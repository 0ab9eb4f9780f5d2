package demo

import (
	"slices"
	"sort"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// storedTable is one version of an ownership table and the time when it was stored.
type storedTable struct {
	table.Table
	storedAt time.Time
}

// decodeTables decodes the history of a table's object in the store.
func decodeTables(written []objapi.Written) ([]storedTable, error) {
	var all []storedTable
	for _, w := range written {
		t, err := table.Decode(w.Value)
		if err != nil {
			return nil, kinds.Wrap(kinds.Malformed, err, "decode a table from the store's history")
		}
		all = append(all, storedTable{t, w.At})
	}
	return all, nil
}

// ownerAt returns the owner of a key according to the table that was in the store at the
// given time, or "" if there was none.
func (e *evidence) ownerAt(key ident.Key, at time.Time) ident.Server {
	n := sort.Search(len(e.tableHistory), func(i int) bool { return e.tableHistory[i].storedAt.After(at) })
	if n == 0 {
		return ""
	}
	t := e.tableHistory[n-1]
	if owner, isHot := t.HotOwner(key); isHot {
		return owner
	}
	return t.OwnerOf(ident.SliceOf(key, t.Slices()))
}

// step is the change of a slice's owner between two consecutive tables.
type step struct {
	from, to ident.Server
	rev      ident.Revision
}

// steps holds the steps of each slice in the order of the tables.
type steps map[ident.Slice][]step

// stepsBetween returns the steps between consecutive tables.
func stepsBetween(tables []storedTable) steps {
	all := steps{}
	for i := 1; i < len(tables); i++ {
		older, newer := tables[i-1].Table, tables[i].Table
		for x := range ident.Slice(newer.Slices()) {
			if from, to := older.OwnerOf(x), newer.OwnerOf(x); from != to {
				all[x] = append(all[x], step{from, to, newer.Rev})
			}
		}
	}
	return all
}

// take removes the step that corresponds to a logged move and reports whether there was
// one. Because it is removed, two logged moves need two steps. A move is logged with the
// revision of the table that made it or of a later one.
func (s steps) take(m record.Decision) bool {
	list := s[m.Slice]
	i := slices.IndexFunc(list, func(t step) bool { return t.from == m.PrevOwner && t.to == m.Server && t.rev <= m.Rev })
	if i < 0 {
		return false
	}
	s[m.Slice] = slices.Delete(list, i, i+1)
	return true
}
