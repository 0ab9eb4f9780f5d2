package revs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// A VM hears of a revision before it can put it in force, and of older ones afterwards.
// The newest that it knows to exist never goes back, and never lies below the one by
// which it decides.
func TestTheNewestRevisionNeverGoesBack(t *testing.T) {
	var b Holder
	assert.Equal(t, int(b.Newest()), 0)
	b.NoteRevision(7)
	b.NoteRevision(5)
	assert.Equal(t, int(b.Newest()), 7)
	assert.Equal(t, int(b.Current().Rev), 0)
	assert.Assert(t, b.Apply(&Snapshot{Record: &Record{Rev: 9}}))
	assert.Equal(t, int(b.Newest()), 9)
}

// A VM may tell a caller that nothing is there for its request while it knows that its
// rules are the newest. What it learned a moment ago never shortens what it knows, and a
// newer revision that it hears of ends it at once.
func TestRulesAreInDoubtOnceNobodyVouchesForThem(t *testing.T) {
	var b Holder
	assert.Assert(t, b.Apply(&Snapshot{Record: &Record{Rev: 3}}))
	assert.NilError(t, b.CheckFresh(t0), "nobody vouches on this platform")
	b.SetFreshUntil(t0.Add(2 * time.Second))
	b.SetFreshUntil(t0.Add(time.Second))
	assert.NilError(t, b.CheckFresh(t0.Add(2*time.Second)))
	late := t0.Add(2*time.Second + time.Millisecond)
	assert.Equal(t, kinds.Of(b.CheckFresh(late)), kinds.StaleRules)
	b.SetFreshUntil(late)
	assert.NilError(t, b.CheckFresh(late))
	b.NoteRevision(4)
	assert.Equal(t, kinds.Of(b.CheckFresh(t0)), kinds.StaleRules)
	assert.Assert(t, b.Apply(&Snapshot{Record: &Record{Rev: 4}}))
	assert.NilError(t, b.CheckFresh(t0))
}
