package table

import (
	"slices"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Delta is the difference between two revisions of a table. VMs exchange deltas, because the
// move of one slice takes about a hundred bytes instead of a whole table.
type Delta struct {
	V            uint           `cbor:"v"`
	Service      ident.Service  `cbor:"svc"`
	From         ident.Revision `cbor:"from"`
	BaseDigest   uint64         `cbor:"base"` // digest of the table that it applies to
	To           ident.Revision `cbor:"to"`
	ResultDigest uint64         `cbor:"sum"` // digest of the result
	Rows         []Row          `cbor:"rows,omitempty"`
	Removed      []ident.Server `cbor:"drop,omitempty"`
	Owners       []OwnerChange  `cbor:"own,omitempty"`
	Hot          []Hot          `cbor:"hot,omitempty"` // an empty Server ends the override
}

// OwnerChange lists slices with their new owner.
type OwnerChange struct {
	To     ident.Server  `cbor:"to"`
	Slices []ident.Slice `cbor:"at"`
}

// Diff returns the rows, owners and hot keys that change from a to b. It is valid for any two
// tables of one service with the same number of slices.
func Diff(a, b Table) Delta {
	d := Delta{V: Format, Service: b.Service, From: a.Rev, BaseDigest: a.Digest(), To: b.Rev, ResultDigest: b.Digest()}
	for _, r := range b.Rows {
		if old, ok := a.Row(r.Name); !ok || old != r {
			d.Rows = append(d.Rows, r)
		}
	}
	for _, r := range a.Rows {
		if _, ok := b.rowIndex(r.Name); !ok {
			d.Removed = append(d.Removed, r.Name)
		}
	}
	d.Owners = ownerChanges(a, b)
	d.Hot = hotChanges(a, b)
	return d
}

func ownerChanges(a, b Table) []OwnerChange {
	var out []OwnerChange
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
			out = append(out, OwnerChange{To: s})
		}
		out[i].Slices = append(out[i].Slices, ident.Slice(x))
	}
	return out
}

func hotChanges(a, b Table) []Hot {
	var out []Hot
	for _, h := range b.Hot {
		if s, ok := a.HotOwner(h.Key); !ok || s != h.Server {
			out = append(out, h)
		}
	}
	for _, h := range a.Hot {
		if _, ok := b.hotIndex(h.Key); !ok {
			out = append(out, Hot{Key: h.Key})
		}
	}
	return out
}

// Apply returns the table with the delta applied. It fails with kind Conflict if the delta is
// for another table or revision, and with kind Malformed if the result differs from the
// sender's table. The receiver then asks for the whole table, so nothing is lost.
func (t Table) Apply(d Delta) (Table, error) {
	if d.V > Format {
		return t, kinds.New(kinds.NewerVersion, "table delta in a later format")
	}
	if d.Service != t.Service || d.From != t.Rev || d.BaseDigest != t.Digest() || d.To <= d.From {
		return t, kinds.New(kinds.Conflict, "table delta for another revision")
	}
	e, err := t.patch(d)
	if err != nil {
		return t, err
	}
	if e.validate() != nil || e.Digest() != d.ResultDigest {
		return t, kinds.New(kinds.Malformed, "table delta gives another result")
	}
	return e, nil
}

func (t Table) patch(d Delta) (Table, error) {
	bad := kinds.New(kinds.Malformed, "table delta out of bounds")
	if len(d.Rows) > MaxServers || len(d.Hot) > 2*MaxHot {
		return t, bad
	}
	e := t.copyForEdit()
	e.Rev = d.To
	for _, r := range d.Rows {
		if _, ok := e.rowIndex(r.Name); !ok {
			e.insert(r.Name)
		}
		i, _ := e.rowIndex(r.Name)
		e.Rows[i] = r
	}
	for _, g := range d.Owners {
		i, ok := e.rowIndex(g.To)
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
	return e, e.removeServers(d.Removed)
}

func (t *Table) patchHot(hot []Hot) {
	for _, h := range hot {
		i, found := t.hotIndex(h.Key)
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

func (t *Table) removeServers(names []ident.Server) error {
	for _, s := range names {
		rev := t.Rev
		e, err := t.WithoutServer(s)
		if err != nil {
			return kinds.New(kinds.Malformed, "table delta drops a server that owns keys")
		}
		*t = e
		t.Rev = rev
	}
	return nil
}

// Encode returns the delta in the form sent to another VM.
func (d Delta) Encode() ([]byte, error) { return wire.Encode(d) }

// DecodeDelta decodes a delta; its content is checked by [Table.Apply].
func DecodeDelta(b []byte) (Delta, error) {
	var d Delta
	err := wire.Decode(b, &d)
	if err == nil && d.V > Format {
		err = kinds.New(kinds.NewerVersion, "table delta in a later format")
	}
	return d, err
}
