package table

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Two lessors change the table at the same time, and the second edit is applied to the result
// of the first. It must not undo the first, and the rules for a separate edit must still
// apply.
func TestEditRulesApplyToALaterTable(t *testing.T) {
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

	raised, err := seen.WithMinEpoch("a", 4)
	assert.NilError(t, err)
	_, err = raised.WithEdit(edit)
	assert.Equal(t, kinds.Of(err), kinds.Fenced)

	gained, err := seen.WithMoves("b", 0, Move{Slice: 2, To: "a"})
	assert.NilError(t, err)
	_, err = gained.WithEdit(edit)
	assert.Equal(t, kinds.Of(err), kinds.Conflict, "the server's keys are not those that the lessor saw")
	_, err = both.WithEdit(edit)
	assert.Equal(t, kinds.Of(err), kinds.Conflict, "the same edit twice")
	_, err = seen.WithEdit(Edit{Server: "a", Epoch: 2})
	assert.Equal(t, kinds.Of(err), kinds.Fenced, "minimum epochs never decrease")
}
