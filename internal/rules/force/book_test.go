package force

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A VM hears of a revision before it can put it in force, and of older ones afterwards.
// The newest that it knows to exist never goes back, and never lies below the one by
// which it decides.
func TestTheNewestRevisionNeverGoesBack(t *testing.T) {
	var b Book
	assert.Equal(t, int(b.Newest()), 0)
	b.Hear(7)
	b.Hear(5)
	assert.Equal(t, int(b.Newest()), 7)
	assert.Equal(t, int(b.Current().Rev), 0)
	assert.Assert(t, b.Apply(&Snapshot{Record: &Record{Rev: 9}}))
	assert.Equal(t, int(b.Newest()), 9)
}
