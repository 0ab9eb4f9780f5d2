package revs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// A VM learns of a revision before it can apply it, and of older ones afterwards. The
// newest known revision must never decrease, nor be below the one in force.
func TestTheNewestRevisionNeverGoesBack(t *testing.T) {
	var h Holder
	assert.Equal(t, int(h.Newest()), 0)
	h.NoteRevision(7)
	h.NoteRevision(5)
	assert.Equal(t, int(h.Newest()), 7)
	assert.Equal(t, int(h.Current().Rev), 0)
	assert.Assert(t, h.Apply(&Snapshot{Record: &Record{Rev: 9}}))
	assert.Equal(t, int(h.Newest()), 9)
}

// A VM may reject a request for good only while it knows that its rules are the newest. An
// earlier freshness time must not shorten a later one, and a newer revision ends freshness
// at once.
func TestCheckFreshFailsOnceFreshnessExpires(t *testing.T) {
	var h Holder
	assert.Assert(t, h.Apply(&Snapshot{Record: &Record{Rev: 3}}))
	assert.NilError(t, h.CheckFresh(t0), "freshness was never set")
	h.SetFreshUntil(t0.Add(2 * time.Second))
	h.SetFreshUntil(t0.Add(time.Second))
	assert.NilError(t, h.CheckFresh(t0.Add(2*time.Second)))
	late := t0.Add(2*time.Second + time.Millisecond)
	assert.Equal(t, kinds.Of(h.CheckFresh(late)), kinds.StaleRules)
	h.SetFreshUntil(late)
	assert.NilError(t, h.CheckFresh(late))
	h.NoteRevision(4)
	assert.Equal(t, kinds.Of(h.CheckFresh(t0)), kinds.StaleRules)
	assert.Assert(t, h.Apply(&Snapshot{Record: &Record{Rev: 4}}))
	assert.NilError(t, h.CheckFresh(t0))
}
