package world

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Store is the fake object API: it holds the lessors' records and one table, with
// versions. It keeps every table that was ever in force.
type Store struct {
	w         *World
	downUntil time.Duration
	records   map[ident.Server]versionedRecord
	table     table.Table
	version   object.Version
	revisions map[ident.Revision]table.Table
}

// versionedRecord is a lessor's record with its version in the store.
type versionedRecord struct {
	rec lessor.Record
	ver object.Version
}

func newStore(w *World, t table.Table) *Store {
	return &Store{
		w: w, records: map[ident.Server]versionedRecord{}, table: t, version: 1,
		revisions: map[ident.Revision]table.Table{t.Rev: t},
	}
}

// Down makes the store unavailable for d.
func (s *Store) Down(d time.Duration) { s.downUntil = max(s.downUntil, s.w.now+d) }

// Table returns the table in force.
func (s *Store) Table() table.Table { return s.table }

// Record returns the lessor's record for a server.
func (s *Store) Record(srv ident.Server) lessor.Record { return s.records[srv].rec }

func (s *Store) isDown() bool { return s.w.now < s.downUntil }

// refused is the answer of a store that refuses a call because it is down.
type refused struct{}

// serve answers a call after 1 to 4 ms. While the store is down, half the calls are
// refused and half get no answer.
func (s *Store) serve(reply func(any), do func() any) {
	if s.isDown() {
		if s.w.chance(500) {
			reply(refused{})
		}
		return
	}
	s.w.after(s.w.between(time.Millisecond, 4*time.Millisecond), func() {
		if !s.isDown() {
			reply(do())
		}
	})
}

// request tracks all copies of one call. A refusal guarantees that the call has had no
// effect and never will: copies that arrive after it are dropped, and no copy is
// refused if an earlier one may have taken effect.
type request struct{ arrived, refused bool }

func (r *request) serve(serve func(reply func(any)), reply func(any)) {
	first := !r.arrived
	if r.arrived = true; r.refused {
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

// kindOf returns the error kind of a call's outcome; onTimeout is the kind of a call
// that got no answer.
func kindOf(a any, ok bool, onTimeout kinds.Kind) kinds.Kind {
	if !ok {
		return onTimeout
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
	s.records[srv] = versionedRecord{c.Record, old.ver + 1}
	return old.ver + 1
}

func (s *Store) putTable(c lessor.PutTableCmd) any {
	if s.version != c.Old {
		return kinds.Conflict
	}
	if c.Table.Rev <= s.table.Rev {
		s.w.errorf("table revision falls from %d to %d", s.table.Rev, c.Table.Rev)
	}
	s.checkReleased(c.Table)
	s.version++
	s.table = c.Table
	s.revisions[c.Table.Rev] = c.Table
	s.notifyWatchers()
	return s.version
}

// notifyWatchers sends the table in force to all VMs.
func (s *Store) notifyWatchers() {
	t, ver := s.table, s.version
	for _, v := range s.w.VMs {
		s.w.send("store", string(v.ID), func() { v.receiveTable(t, ver) })
	}
}

// checkMoved checks that a reported move is part of the table revision it is reported
// under: there the old owner no longer has the key, and only the new owner does.
func (s *Store) checkMoved(srv ident.Server, c lessor.MovedCmd) {
	t, ok := s.revisions[c.Rev]
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

// checkReleased checks a table update: when a key gets another owner, the old owner
// must no longer serve it (rule 5). This is stricter than a search for two owners,
// because the next owner starts a little later.
func (s *Store) checkReleased(next table.Table) {
	for x := range ident.Slice(next.Slices()) {
		s.checkNotServed(next, table.Move{Slice: x}, uint64(1)<<x)
	}
	for i, k := range s.w.Hot {
		s.checkNotServed(next, table.Move{Key: k}, uint64(1)<<(s.w.Opt.Slices+i))
	}
}

// checkNotServed reports a violation if a slice or key leaves its owner in the next
// table while a server still serves it under a lease from that owner's lessor.
func (s *Store) checkNotServed(next table.Table, m table.Move, bit uint64) {
	from := s.table.From(m)
	if from == "" || from == next.From(m) {
		return
	}
	for _, srv := range s.w.Servers {
		if l := srv.lease(from); l.segmentOpen && l.lastSegment().set&bit != 0 && s.w.now < l.lastSegment().to {
			s.w.errorf("slice %d %q given away while %s serves it until %v under the lessor of %s",
				m.Slice, m.Key, srv.Name, l.lastSegment().to, from)
		}
	}
}
