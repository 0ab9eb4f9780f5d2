package table

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Delta is the difference between two revisions of a table. Peers exchange
// deltas: a move of one slice costs a hundred bytes or so instead of a table.
type Delta struct {
	V    uint           `cbor:"v"`
	Svc  ident.Service  `cbor:"svc"`
	From ident.Revision `cbor:"from"`
	Base uint64         `cbor:"base"` // digest of the table it applies to
	To   ident.Revision `cbor:"to"`
	Sum  uint64         `cbor:"sum"` // digest of the result
	Rows []Row          `cbor:"rows,omitempty"`
	Drop []ident.Server `cbor:"drop,omitempty"`
	Own  []Give         `cbor:"own,omitempty"`
	Hot  []Hot          `cbor:"hot,omitempty"` // Server "" ends the override
}

// Give lists slices by their new owner.
type Give struct {
	To     ident.Server  `cbor:"to"`
	Slices []ident.Slice `cbor:"at"`
}

// Diff returns what turns a into b: rows and owners that changed, nothing else.
// It is sound for any two tables of one service with the same slice count.
func Diff(a, b Table) Delta {
	d := Delta{V: Format, Svc: b.Service, From: a.Rev, Base: a.Digest(), To: b.Rev, Sum: b.Digest()}
	for _, r := range b.Rows {
		if old, ok := a.Row(r.Name); !ok || old != r {
			d.Rows = append(d.Rows, r)
		}
	}
	for _, r := range a.Rows {
		if _, ok := b.row(r.Name); !ok {
			d.Drop = append(d.Drop, r.Name)
		}
	}
	d.Own = gives(a, b)
	d.Hot = overrides(a, b)
	return d
}

func gives(a, b Table) []Give {
	var out []Give
	at := map[ident.Server]int{}
	for x := range b.owners {
		s := b.OwnerOf(ident.Slice(x))
		if s == a.OwnerOf(ident.Slice(x)) {
			continue
		}
		i, ok := at[s]
		if !ok {
			i = len(out)
			at[s] = i
			out = append(out, Give{To: s})
		}
		out[i].Slices = append(out[i].Slices, ident.Slice(x))
	}
	return out
}

func overrides(a, b Table) []Hot {
	var out []Hot
	for _, h := range b.Hot {
		if s, ok := a.HotOwner(h.Key); !ok || s != h.Server {
			out = append(out, h)
		}
	}
	for _, h := range a.Hot {
		if _, ok := b.hot(h.Key); !ok {
			out = append(out, Hot{Key: h.Key})
		}
	}
	return out
}

// Apply returns the table after the delta. It fails with kind Conflict when the
// delta is for another table or revision, and with kind Malformed when the
// result is not what the sender had: the receiver then asks for the whole table
// and loses nothing.
func (t Table) Apply(d Delta) (Table, error) {
	if d.V > Format {
		return t, kinds.New(kinds.NewerVersion, "table delta in a later format")
	}
	if d.Svc != t.Service || d.From != t.Rev || d.Base != t.Digest() || d.To <= d.From {
		return t, kinds.New(kinds.Conflict, "table delta for another revision")
	}
	e, err := t.patch(d)
	if err != nil {
		return t, err
	}
	if e.check() != nil || e.Digest() != d.Sum {
		return t, kinds.New(kinds.Malformed, "table delta gives another result")
	}
	return e, nil
}

func (t Table) patch(d Delta) (Table, error) {
	bad := kinds.New(kinds.Malformed, "table delta out of bounds")
	if len(d.Rows) > MaxServers || len(d.Hot) > 2*MaxHot {
		return t, bad
	}
	e := t.edit()
	e.Rev = d.To
	for _, r := range d.Rows {
		if _, ok := e.row(r.Name); !ok {
			e.insert(r.Name)
		}
		i, _ := e.row(r.Name)
		e.Rows[i] = r
	}
	for _, g := range d.Own {
		i, ok := e.row(g.To)
		if !ok && g.To != "" {
			return t, bad
		}
		for _, x := range g.Slices {
			if int(x) >= len(e.owners) {
				return t, bad
			}
			e.owners[x] = 0
			if ok {
				e.owners[x] = uint16(i + 1)
			}
		}
	}
	e.patchHot(d.Hot)
	return e, e.drop(d.Drop)
}

func (t *Table) patchHot(hot []Hot) {
	for _, h := range hot {
		i, found := t.hot(h.Key)
		switch {
		case found && h.Server == "":
			t.Hot = slices.Delete(t.Hot, i, i+1)
		case found:
			t.Hot[i] = h
		case h.Server != "":
			t.Hot = slices.Insert(t.Hot, i, h)
		}
	}
}

func (t *Table) drop(names []ident.Server) error {
	for _, s := range names {
		rev := t.Rev
		e, err := t.Removed(s)
		if err != nil {
			return kinds.New(kinds.Malformed, "table delta drops a server that owns keys")
		}
		*t = e
		t.Rev = rev
	}
	return nil
}

// Encode renders the delta for a peer.
func (d Delta) Encode() ([]byte, error) { return wire.Encode(d) }

// DecodeDelta reads a delta; its content is checked by [Table.Apply].
func DecodeDelta(b []byte) (Delta, error) {
	var d Delta
	err := wire.Decode(b, &d)
	if err == nil && d.V > Format {
		err = kinds.New(kinds.NewerVersion, "table delta in a later format")
	}
	return d, err
}
