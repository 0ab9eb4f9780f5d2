package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against keys that move because a server sheds the requests of a single VM, or stay although it sheds those of several.
func TestAServerIsSheddingOnceSeveralVMsSaySo(t *testing.T) {
	now := time.Unix(1000, 0)
	one := ident.Process{Server: "a", Incarnation: 3}
	ask := []Report{{Server: "a", Incarnation: 3, Left: 3 * time.Second}}
	var table Table
	table.Add(now, "vm-1", ask)
	assert.Equal(t, len(table.Shedding(now, 9)), 0)
	assert.Equal(t, len(table.Shedding(now, 1)), 1, "there is no other VM")
	table.Add(now.Add(time.Second), "vm-2", ask)
	assert.Assert(t, table.Shedding(now.Add(time.Second), 9)[one])
	assert.Equal(t, len(table.Shedding(now.Add(3*time.Second), 9)), 0, "the time of one VM is over")
	assert.Equal(t, len(table.Shedding(now.Add(4*time.Second), 1)), 0)
}
