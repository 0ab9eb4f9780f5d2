package rest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against keys that move because a server asked a single VM for rest, or stay although it asked several.
func TestAServerRestsOnceItHasAskedSeveralVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	one := ident.Process{Server: "a", Incarnation: 3}
	ask := []Report{{Server: "a", Incarnation: 3, Left: 3 * time.Second}}
	var table Table
	table.Add(now, "vm-1", ask)
	assert.Equal(t, len(table.Resting(now, 9)), 0)
	assert.Equal(t, len(table.Resting(now, 1)), 1, "there is no other VM")
	table.Add(now.Add(time.Second), "vm-2", ask)
	assert.Assert(t, table.Resting(now.Add(time.Second), 9)[one])
	assert.Equal(t, len(table.Resting(now.Add(3*time.Second), 9)), 0, "the time of one VM is over")
	assert.Equal(t, len(table.Resting(now.Add(4*time.Second), 1)), 0)
}
