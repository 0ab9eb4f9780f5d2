package table

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Edit is a change of the table that the lessor of one server requests, independent of the
// table that it was based on. So the edits of several lessors can be combined in one update,
// and an edit that came second can be retried on the result of the first.
type Edit struct {
	Server ident.Server `cbor:"srv"`
	Epoch  ident.Epoch  `cbor:"epoch"`
	// Rev is the revision of the server's row that the lessor saw.
	Rev ident.Revision `cbor:"rev"`
	// Moves take keys away from the server. If empty, the edit raises the server's minimum
	// epoch to Epoch.
	Moves []Move `cbor:"moves,omitempty"`
}

// WithEdit returns the table after the edit, under the rules of [Table.WithMoves] and
// [Table.WithMinEpoch].
//
// Moves must satisfy one more rule, because the table may be newer than the one that the
// lessor saw: the server must still have the set of keys that the lessor saw. Otherwise, an
// edit that was delayed while a key was moved away and back would take it from a server that
// has been granted it again. Such an edit fails with kind Conflict, and the lessor has to
// read the table again.
func (t Table) WithEdit(e Edit) (Table, error) {
	if len(e.Moves) == 0 {
		return t.WithMinEpoch(e.Server, e.Epoch)
	}
	if r, ok := t.Row(e.Server); ok && r.Rev != e.Rev {
		return t, kinds.New(kinds.Conflict, "the server's keys changed since the edit was made")
	}
	return t.WithMoves(e.Server, e.Epoch, e.Moves...)
}
