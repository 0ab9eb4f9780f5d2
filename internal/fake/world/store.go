package world

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Store is the fake object API: seat records and one table, with versions. It
// keeps every table that was ever in force.
type Store struct {
	w       *World
	downTo  time.Duration
	records map[ident.Server]versioned
	table   table.Table
	version object.Version
	past    map[ident.Revision]table.Table
}

type versioned struct {
	rec lessor.Record
	ver object.Version
}

func newStore(w *World, t table.Table) *Store {
	return &Store{
		w: w, records: map[ident.Server]versioned{}, table: t, version: 1,
		past: map[ident.Revision]table.Table{t.Rev: t},
	}
}

// Down takes the store away for a while.
func (s *Store) Down(d time.Duration) { s.downTo = max(s.downTo, s.w.now+d) }

// Table returns the table in force.
func (s *Store) Table() table.Table { return s.table }

// Record returns the record of a seat.
func (s *Store) Record(srv ident.Server) lessor.Record { return s.records[srv].rec }

func (s *Store) down() bool { return s.w.now < s.downTo }

// refused is the answer of a store that is down and says so.
type refused struct{}

// serve answers a call unless the store is down; then half the calls are
// refused and half are lost.
func (s *Store) serve(reply func(any), do func() any) {
	if s.down() {
		if s.w.chance(500) {
			reply(refused{})
		}
		return
	}
	s.w.after(s.w.between(time.Millisecond, 4*time.Millisecond), func() {
		if !s.down() {
			reply(do())
		}
	})
}

// request is all copies of one call. A refusal is the store's word that the call
// did nothing and will not do anything: a copy that comes after it is dropped,
// and none is refused when an earlier copy may have taken effect.
type request struct{ came, refused bool }

func (r *request) serve(serve func(reply func(any)), reply func(any)) {
	first := !r.came
	if r.came = true; r.refused {
		return
	}
	serve(func(a any) {
		if _, no := a.(refused); no {
			if !first {
				return
			}
			r.refused = true
		}
		reply(a)
	})
}

// kindOf turns the outcome of a call into its kind.
func kindOf(a any, ok bool, lost kinds.Kind) kinds.Kind {
	if !ok {
		return lost
	}
	switch a := a.(type) {
	case refused:
		return kinds.Unavailable
	case kinds.Kind:
		return a
	}
	return kinds.None
}

func (s *Store) putRecord(srv ident.Server, c lessor.PutRecordCmd) any {
	old := s.records[srv]
	if old.ver != c.Old {
		return kinds.Conflict
	}
	if c.Record.Epoch < old.rec.Epoch {
		s.w.errorf("epoch of %s falls from %d to %d", srv, old.rec.Epoch, c.Record.Epoch)
	}
	s.records[srv] = versioned{c.Record, old.ver + 1}
	return old.ver + 1
}

func (s *Store) putTable(c lessor.PutTableCmd) any {
	if s.version != c.Old {
		return kinds.Conflict
	}
	if c.Table.Rev <= s.table.Rev {
		s.w.errorf("table revision falls from %d to %d", s.table.Rev, c.Table.Rev)
	}
	s.released(c.Table)
	s.version++
	s.table = c.Table
	s.past[c.Table.Rev] = c.Table
	s.push()
	return s.version
}

// push tells the watchers.
func (s *Store) push() {
	t, ver := s.table, s.version
	for _, v := range s.w.VMs {
		s.w.message("store", string(v.ID), func() { v.learn(t, ver) })
	}
}

// acknowledged checks that a reported move stands in the table that is said to
// give it: the old owner has lost the key there, and nobody but the new one has it.
func (s *Store) acknowledged(srv ident.Server, c lessor.MovedCmd) {
	t, ok := s.past[c.Rev]
	if !ok {
		s.w.errorf("move acknowledged under revision %d, which never was", c.Rev)
		return
	}
	for _, m := range c.Moves {
		if t.From(m) == srv && m.To != srv {
			s.w.errorf("acknowledged move of slice %d %q from %s is lost", m.Slice, m.Key, srv)
		}
		if m.To != "" && t.From(m) != m.To {
			s.w.errorf("move of slice %d %q from %s to %s reported under revision %d, where %s has it", m.Slice, m.Key, srv, m.To, c.Rev, t.From(m))
		}
	}
	s.w.Count.Moves += len(c.Moves)
}

// released checks the moment of an update: a key that gets another owner must
// not be served by its old one any more (rule 5). This is stricter than asking
// for two owners, for the next owner starts a little later.
func (s *Store) released(next table.Table) {
	for x := range ident.Slice(next.Slices()) {
		s.free(next, table.Move{Slice: x}, uint64(1)<<x)
	}
	for i, k := range s.w.Hot {
		s.free(next, table.Move{Key: k}, uint64(1)<<(s.w.Opt.Slices+i))
	}
}

func (s *Store) free(next table.Table, m table.Move, bit uint64) {
	from := s.table.From(m)
	if from == "" || from == next.From(m) {
		return
	}
	for _, srv := range s.w.Servers {
		if l := srv.lane(from); l.open && l.last().set&bit != 0 && s.w.now < l.last().to {
			s.w.errorf("slice %d %q given away while %s serves it until %v for the seat of %s",
				m.Slice, m.Key, srv.Name, l.last().to, from)
		}
	}
}
