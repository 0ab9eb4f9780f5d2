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

// agreed is a table and the moment at which the store took it.
type agreed struct {
	table.Table
	at time.Time
}

// tablesOf reads what the store kept of a service's table.
func tablesOf(kept []objapi.Written) ([]agreed, error) {
	var all []agreed
	for _, w := range kept {
		t, err := table.Decode(w.Value)
		if err != nil {
			return nil, kinds.Wrap(kinds.Malformed, err, "a table that the store has kept")
		}
		all = append(all, agreed{t, w.At})
	}
	return all, nil
}

// ownerAt returns the server that the store named as a key's owner at a moment,
// "" when it named none.
func (e *evidence) ownerAt(key ident.Key, at time.Time) ident.Server {
	n := sort.Search(len(e.tables), func(i int) bool { return e.tables[i].at.After(at) })
	if n == 0 {
		return ""
	}
	t := e.tables[n-1]
	if owner, apart := t.HotOwner(key); apart {
		return owner
	}
	return t.OwnerOf(ident.SliceOf(key, t.Slices()))
}

// step is a slice's way from one server to another, in one table.
type step struct {
	from, to ident.Server
	rev      ident.Revision
}

// steps are those of each slice, in the store's order.
type steps map[ident.Slice][]step

func stepsOf(tables []agreed) steps {
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

// take finds the step that a logged move tells of and takes it out, so that two
// logged moves need two steps. A move is logged under the table that made it or
// a later one.
func (s steps) take(m record.Decision) bool {
	list := s[m.Slice]
	i := slices.IndexFunc(list, func(t step) bool { return t.from == m.PrevOwner && t.to == m.Server && t.rev <= m.Rev })
	if i < 0 {
		return false
	}
	s[m.Slice] = slices.Delete(list, i, i+1)
	return true
}
