package table

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Move gives one slice, or one hot key if Key is set, to another server. Moving a key to "",
// or back to the owner of its slice, ends its override. Moving a key without an override to
// the owner of its slice pins it there: it stays when the slice moves away.
type Move struct {
	Slice ident.Slice  `cbor:"at"`
	Key   ident.Key    `cbor:"key,omitempty"`
	To    ident.Server `cbor:"to"`
}

// From returns the current owner of what m moves, or "".
func (t Table) From(m Move) ident.Server {
	if m.Key == "" {
		return t.OwnerOf(m.Slice)
	}
	if s, ok := t.HotOwner(m.Key); ok {
		return s
	}
	return t.OwnerOf(ident.SliceOf(m.Key, t.Slices()))
}

// WithMoves returns the table after the moves, all of which take something away from one
// server under the epoch of that server's lessor.
//
// It fails with kind Fenced if the server's minimum epoch is another one: another lessor has
// taken over, and one that goes on would give away keys that its successor still grants. It
// fails with kind Conflict if the server does not own what is moved, or if the next owner is
// unknown.
func (t Table) WithMoves(from ident.Server, epoch ident.Epoch, moves ...Move) (Table, error) {
	r, ok := t.Row(from)
	if !ok {
		return t, kinds.New(kinds.NotFound, "move keys from an unknown server")
	}
	if r.MinEpoch != epoch {
		return t, kinds.New(kinds.Fenced, "move keys under a replaced epoch")
	}
	e := t.copyForEdit()
	for _, m := range moves {
		if e.From(m) != from {
			return t, kinds.New(kinds.Conflict, "move a key that the server does not own")
		}
		if err := e.move(m); err != nil {
			return t, err
		}
	}
	return e, nil
}

// WithAssigned returns the table after giving owners to slices that have none. It fails with
// kind Conflict if a slice has one.
func (t Table) WithAssigned(moves ...Move) (Table, error) {
	e := t.copyForEdit()
	for _, m := range moves {
		if m.Key != "" || e.From(m) != "" {
			return t, kinds.New(kinds.Conflict, "assign a slice that has an owner")
		}
		if err := e.move(m); err != nil {
			return t, err
		}
	}
	return e, nil
}

// WithMinEpoch returns the table with the server's minimum epoch raised to epoch. It fails
// with kind Fenced if it is already higher. Minimum epochs never decrease.
func (t Table) WithMinEpoch(s ident.Server, epoch ident.Epoch) (Table, error) {
	i, ok := t.rowIndex(s)
	if !ok {
		return t, kinds.New(kinds.NotFound, "raise the minimum epoch of an unknown server")
	}
	if t.Rows[i].MinEpoch > epoch {
		return t, kinds.New(kinds.Fenced, "raise the minimum epoch under a replaced epoch")
	}
	e := t.copyForEdit()
	e.Rows[i].MinEpoch = epoch
	return e, nil
}

// WithServer returns the table with an additional server, which owns nothing yet.
func (t Table) WithServer(s ident.Server) (Table, error) {
	if _, ok := t.rowIndex(s); ok {
		return t, kinds.New(kinds.Conflict, "add a server twice")
	}
	if len(t.Rows) >= MaxServers || s == "" {
		return t, kinds.New(kinds.TooLarge, "add a server")
	}
	e := t.copyForEdit()
	e.insert(s)
	return e, nil
}

// WithoutServer returns the table without a server. It fails with kind Conflict while the
// server owns anything: a removal must never leave a key without an owner.
func (t Table) WithoutServer(s ident.Server) (Table, error) {
	i, ok := t.rowIndex(s)
	if !ok {
		return t, kinds.New(kinds.NotFound, "remove an unknown server")
	}
	if !t.SetOf(s).Empty() {
		return t, kinds.New(kinds.Conflict, "remove a server that owns keys")
	}
	e := t.copyForEdit()
	e.Rows = slices.Delete(e.Rows, i, i+1)
	for x, o := range e.owners {
		if int(o) > i+1 {
			e.owners[x] = o - 1
		}
	}
	return e, nil
}

// copyForEdit returns a copy of the table with the next revision.
func (t Table) copyForEdit() Table {
	t.Rev++
	t.Rows = slices.Clone(t.Rows)
	t.Hot = slices.Clone(t.Hot)
	t.owners = slices.Clone(t.owners)
	return t
}

func (t *Table) insert(s ident.Server) {
	i, _ := t.rowIndex(s)
	t.Rows = slices.Insert(t.Rows, i, Row{Name: s, Rev: t.Rev})
	for x, o := range t.owners {
		if int(o) > i {
			t.owners[x] = o + 1
		}
	}
}

// move applies one move and updates the revision of every server whose keys it changes.
func (t *Table) move(m Move) error {
	if m.Key != "" {
		return t.moveKey(m)
	}
	to, ok := t.rowIndex(m.To)
	if !ok || int(m.Slice) >= len(t.owners) {
		return kinds.New(kinds.Conflict, "move a slice to an unknown server")
	}
	t.markChanged(t.OwnerOf(m.Slice))
	t.owners[m.Slice] = uint16(to + 1)
	t.markChanged(m.To)
	return nil
}

func (t *Table) moveKey(m Move) error {
	t.markChanged(t.From(m))
	home := t.OwnerOf(ident.SliceOf(m.Key, t.Slices()))
	i, found := t.hotIndex(m.Key)
	if m.To == "" || m.To == home && found {
		if found {
			t.Hot = slices.Delete(t.Hot, i, i+1)
		}
		t.markChanged(home)
		return nil
	}
	if _, ok := t.rowIndex(m.To); !ok {
		return kinds.New(kinds.Conflict, "move a hot key to an unknown server")
	}
	switch {
	case found:
		t.Hot[i].Server = m.To
	case len(t.Hot) >= MaxHot || len(m.Key) > MaxKey:
		return kinds.New(kinds.TooLarge, "override a hot key")
	default:
		t.Hot = slices.Insert(t.Hot, i, Hot{Key: m.Key, Server: m.To})
	}
	t.markChanged(m.To)
	return nil
}

func (t *Table) markChanged(s ident.Server) {
	if i, ok := t.rowIndex(s); ok {
		t.Rows[i].Rev = t.Rev
	}
}
