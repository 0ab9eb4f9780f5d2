package table

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Two holders change the table in the same moment, and the second edit is put on
// what the first one made. It must not undo the first, nor pass where the rules
// for an edit of its own would have stopped it.
func TestAnEditIsHeldToItsRulesOnALaterTable(t *testing.T) {
	tab, err := New("lookup", 4, "a", "b", "c")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(Move{Slice: 0, To: "a"}, Move{Slice: 1, To: "a"}, Move{Slice: 2, To: "b"})
	assert.NilError(t, err)
	seen, err := tab.WithEdit(Edit{Server: "a", Epoch: 3})
	assert.NilError(t, err)
	row, _ := seen.Row("a")
	edit := Edit{Server: "a", Epoch: 3, Rev: row.Rev, Moves: []Move{{Slice: 0, To: "c"}}}

	later, err := seen.WithEdit(Edit{Server: "b", Epoch: 0, Rev: 2, Moves: []Move{{Slice: 2, To: "c"}}})
	assert.NilError(t, err)
	both, err := later.WithEdit(edit)
	assert.NilError(t, err)
	assert.Equal(t, both.OwnerOf(0), ident.Server("c"))
	assert.Equal(t, both.OwnerOf(2), ident.Server("c"))

	barred, err := seen.WithMinEpoch("a", 4)
	assert.NilError(t, err)
	_, err = barred.WithEdit(edit)
	assert.Equal(t, kinds.Of(err), kinds.Fenced)

	gained, err := seen.WithMoves("b", 0, Move{Slice: 2, To: "a"})
	assert.NilError(t, err)
	_, err = gained.WithEdit(edit)
	assert.Equal(t, kinds.Of(err), kinds.Conflict, "the set is not the one that the holder saw")
	_, err = both.WithEdit(edit)
	assert.Equal(t, kinds.Of(err), kinds.Conflict, "the same edit twice")
	_, err = seen.WithEdit(Edit{Server: "a", Epoch: 2})
	assert.Equal(t, kinds.Of(err), kinds.Fenced, "bars never fall")
}
