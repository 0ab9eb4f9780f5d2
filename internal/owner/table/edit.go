package table

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Move gives one slice, or one hot key when Key is set, to another server. A
// move of a key to "", or back to the owner of its slice, ends its override. A
// move of a key that is not overridden to the owner of its slice holds the key
// there: it stays when the slice moves away.
type Move struct {
	Slice ident.Slice  `cbor:"at"`
	Key   ident.Key    `cbor:"key,omitempty"`
	To    ident.Server `cbor:"to"`
}

// From returns the server that owns the subject of m now, or "".
func (t Table) From(m Move) ident.Server {
	if m.Key == "" {
		return t.OwnerOf(m.Slice)
	}
	if s, ok := t.HotOwner(m.Key); ok {
		return s
	}
	return t.OwnerOf(ident.SliceOf(m.Key, t.Slices()))
}

// WithMoves returns the table after the moves, all of which take something away
// from one server under the epoch of that server's seat.
//
// It fails with kind Fenced when the server's bar is another epoch: somebody
// took the seat over, and a holder that goes on would give away keys that its
// successor still grants. It fails with kind Conflict when a subject is not the
// server's, or its next owner is unknown.
func (t Table) WithMoves(from ident.Server, epoch ident.Epoch, moves ...Move) (Table, error) {
	r, ok := t.Row(from)
	if !ok {
		return t, kinds.New(kinds.NotFound, "move keys from an unknown server")
	}
	if r.MinEpoch != epoch {
		return t, kinds.New(kinds.Fenced, "move keys under a replaced epoch")
	}
	e := t.edit()
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

// WithAssigned returns the table after giving slices that nobody owns an owner. It
// fails with kind Conflict when a slice has one.
func (t Table) WithAssigned(moves ...Move) (Table, error) {
	e := t.edit()
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

// WithMinEpoch returns the table with the server's bar raised to epoch. It fails with
// kind Fenced when the bar is higher already. Bars never fall.
func (t Table) WithMinEpoch(s ident.Server, epoch ident.Epoch) (Table, error) {
	i, ok := t.row(s)
	if !ok {
		return t, kinds.New(kinds.NotFound, "raise the bar of an unknown server")
	}
	if t.Rows[i].MinEpoch > epoch {
		return t, kinds.New(kinds.Fenced, "raise the bar under a replaced epoch")
	}
	e := t.edit()
	e.Rows[i].MinEpoch = epoch
	return e, nil
}

// WithServer returns the table with one more server, which owns nothing yet.
func (t Table) WithServer(s ident.Server) (Table, error) {
	if _, ok := t.row(s); ok {
		return t, kinds.New(kinds.Conflict, "add a server twice")
	}
	if len(t.Rows) >= MaxServers || s == "" {
		return t, kinds.New(kinds.TooLarge, "add a server")
	}
	e := t.edit()
	e.insert(s)
	return e, nil
}

// Removed returns the table without a server. It fails with kind Conflict while
// the server owns anything: a key must never lose its owner by a removal.
func (t Table) Removed(s ident.Server) (Table, error) {
	i, ok := t.row(s)
	if !ok {
		return t, kinds.New(kinds.NotFound, "remove an unknown server")
	}
	if !t.SetOf(s).Empty() {
		return t, kinds.New(kinds.Conflict, "remove a server that owns keys")
	}
	e := t.edit()
	e.Rows = slices.Delete(e.Rows, i, i+1)
	for x, o := range e.owners {
		if int(o) > i+1 {
			e.owners[x] = o - 1
		}
	}
	return e, nil
}

// edit copies the table under the next revision.
func (t Table) edit() Table {
	t.Rev++
	t.Rows = slices.Clone(t.Rows)
	t.Hot = slices.Clone(t.Hot)
	t.owners = slices.Clone(t.owners)
	return t
}

func (t *Table) insert(s ident.Server) {
	i, _ := t.row(s)
	t.Rows = slices.Insert(t.Rows, i, Row{Name: s, Rev: t.Rev})
	for x, o := range t.owners {
		if int(o) > i {
			t.owners[x] = o + 1
		}
	}
}

// move applies one move and marks every server whose set it changes.
func (t *Table) move(m Move) error {
	if m.Key != "" {
		return t.moveKey(m)
	}
	to, ok := t.row(m.To)
	if !ok || int(m.Slice) >= len(t.owners) {
		return kinds.New(kinds.Conflict, "move a slice to an unknown server")
	}
	t.touch(t.OwnerOf(m.Slice))
	t.owners[m.Slice] = uint16(to + 1)
	t.touch(m.To)
	return nil
}

func (t *Table) moveKey(m Move) error {
	t.touch(t.From(m))
	home := t.OwnerOf(ident.SliceOf(m.Key, t.Slices()))
	i, found := t.hot(m.Key)
	if m.To == "" || m.To == home && found {
		if found {
			t.Hot = slices.Delete(t.Hot, i, i+1)
		}
		t.touch(home)
		return nil
	}
	if _, ok := t.row(m.To); !ok {
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
	t.touch(m.To)
	return nil
}

func (t *Table) touch(s ident.Server) {
	if i, ok := t.row(s); ok {
		t.Rows[i].Rev = t.Rev
	}
}
