package seat

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// A server is lost while one of its keys is hot. The plan gives the key and the
// slice that it hashes to to two servers, the slice first. Carried out in that
// order the table refuses the whole batch, again and again, and every key of the
// lost server has no owner until the hot one has cooled down.
func TestAHotKeyAndItsSliceCanLeaveTogether(t *testing.T) {
	const key = ident.Key("scale-7")
	x := ident.SliceOf(key, 2)
	tab, err := table.New("lookup", 2, "a", "b", "c")
	assert.NilError(t, err)
	tab, err = tab.Assigned(table.Move{Slice: 0, To: "a"}, table.Move{Slice: 1, To: "a"})
	assert.NilError(t, err)
	at := &turn{}
	at.tab, at.cfg.Server = tab, "a"
	moves := at.sensible([]table.Move{{Slice: x, To: "b"}, {Slice: 1 - x, To: "c"}, {Slice: x, Key: key, To: "c"}})
	assert.Equal(t, len(moves), 3)
	next, err := tab.Moved("a", 0, moves...)
	assert.NilError(t, err)
	assert.Equal(t, next.OwnerOf(x), ident.Server("b"))
	assert.Assert(t, next.SetOf("a").Empty())
	owner, _ := table.NewView(next).Owner(key)
	assert.Equal(t, owner.Server, ident.Server("c"))
}
