package crowd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func TestOnlyServersWithMoreRequestsThanSlotsAreCrowded(t *testing.T) {
	var b Board
	now, slots := time.Unix(100, 0), map[ident.Server]int{"a": 6, "b": 6}
	b.Note(now, "a", 18)
	b.Note(now, "b", 6)
	assert.DeepEqual(t, b.Crowded(now, slots), map[ident.Server]int{"a": 18})
	b.Note(now.Add(100*time.Millisecond), "a", 8)
	assert.DeepEqual(t, b.Crowded(now, slots), map[ident.Server]int{"a": 13})
}

// Guards against a server that nobody uses any more because it was crowded once.
func TestAnOldReportDoesNotCount(t *testing.T) {
	var b Board
	now, slots := time.Unix(100, 0), map[ident.Server]int{"a": 6}
	b.Note(now, "a", 18)
	now = now.Add(MaxAge + 1)
	assert.Equal(t, len(b.Crowded(now, slots)), 0)
	b.Note(now, "a", 7)
	assert.DeepEqual(t, b.Crowded(now, slots), map[ident.Server]int{"a": 7})
	assert.Equal(t, len(b.loads), 1)
}
