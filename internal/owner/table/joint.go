package table

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Edit is what the holder of one seat wants of the table, apart from the table
// that it was worked out on. Several holders' edits can so be joined in one
// update, and one that came second can be tried again on what came first.
type Edit struct {
	Server ident.Server `cbor:"srv"`
	Epoch  ident.Epoch  `cbor:"epoch"`
	// Rev is the server's row revision that the holder saw.
	Rev ident.Revision `cbor:"rev"`
	// Moves take keys away from the server. Without any, the edit raises the
	// server's bar to Epoch.
	Moves []Move `cbor:"moves,omitempty"`
}

// WithEdit returns the table after the edit, under the rules of [Table.WithMoves] and
// [Table.WithMinEpoch].
//
// A move needs one rule more here than there, because the table may be a later
// one than the holder saw: the server's set must be the one that the holder saw.
// An edit that waited while the key went away and came back would otherwise take
// it from a server that was granted it anew. It then fails with kind Conflict,
// and the holder looks at the table again.
func (t Table) WithEdit(e Edit) (Table, error) {
	if len(e.Moves) == 0 {
		return t.WithMinEpoch(e.Server, e.Epoch)
	}
	if r, ok := t.Row(e.Server); ok && r.Rev != e.Rev {
		return t, kinds.New(kinds.Conflict, "the server's keys changed since the edit was made")
	}
	return t.WithMoves(e.Server, e.Epoch, e.Moves...)
}
