package evac

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func inEra(era object.Era, rev uint64) uint64 { return uint64(object.NewVersion(era, rev)) }

// Guards against requests to an evacuated data centre while the store, which has returned
// from an older copy, does not have the evacuation again yet.
func TestAnEvacuationOutlastsAReturnOfTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	lost := List{Rev: inEra(2, 5)}
	evacuated := func() *Set {
		s := &Set{}
		s.Apply(now, List{Rev: inEra(1, 9), Centres: []ident.Centre{"a"}})
		assert.Equal(t, len(s.Apply(now, lost)), 0)
		assert.Equal(t, len(s.Apply(now.Add(time.Second), List{Rev: inEra(2, 6)})), 0, "still missing")
		assert.DeepEqual(t, s.List().Centres, []ident.Centre{"a"})
		return s
	}
	again := evacuated()
	again.Set(now.Add(time.Second), "a", inEra(2, 7), true)
	assert.Equal(t, len(again.Expire(now.Add(time.Hour))), 0, "the operator has written it again")

	ended := evacuated()
	ended.Set(now.Add(time.Second), "a", inEra(2, 7), true)
	assert.Assert(t, ended.Set(now.Add(2*time.Second), "a", inEra(2, 8), false), "the operator has taken it back")

	gone := evacuated()
	assert.Equal(t, len(gone.Expire(now.Add(RewriteTime-time.Millisecond))), 0)
	before := gone.List().Rev
	assert.DeepEqual(t, gone.Expire(now.Add(RewriteTime)), []ident.Centre{"a"})
	assert.Assert(t, gone.List().Rev > before, "the other VMs must hear of it")
}
