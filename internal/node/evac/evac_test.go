package evac

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func TestAnEvacuationLastsUntilItIsTakenBack(t *testing.T) {
	var s Set
	now := time.Unix(100, 0)
	assert.Assert(t, s.Set(now, "north", 5, true))
	since, ok := s.Evacuated("north")
	assert.Assert(t, ok && since.Equal(now))
	assert.Assert(t, s.ReturnedAt("north").IsZero())
	assert.Assert(t, s.Set(now.Add(time.Second), "north", 9, false))
	_, ok = s.Evacuated("north")
	assert.Assert(t, !ok)
	assert.Assert(t, s.ReturnedAt("north").Equal(now.Add(time.Second)))
	assert.Assert(t, s.ReturnedAt("south").IsZero())
}

// Guards against a stale list that ends an evacuation, or brings one back.
func TestOlderInformationNeverReplacesNewer(t *testing.T) {
	var s Set
	now := time.Unix(100, 0)
	s.Set(now, "north", 7, true)
	assert.Equal(t, len(s.Apply(now, List{Rev: 6})), 0)
	_, ok := s.Evacuated("north")
	assert.Assert(t, ok)
	assert.DeepEqual(t, s.Apply(now, List{Rev: 8}), []ident.Centre{"north"})
	assert.Equal(t, len(s.Apply(now, List{Rev: 7, Centres: []ident.Centre{"north"}})), 0)
	assert.DeepEqual(t, s.List(), List{Rev: 8})
}

// Guards against VMs that disagree for good because they heard of changes in different orders.
func TestAnyOrderOfInformationGivesTheSameSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := []ident.Centre{"a", "b", "c"}
		state := map[ident.Centre]bool{}
		var lists []List
		var apply []func(*Set)
		now := time.Unix(100, 0)
		for rev := uint64(1); rev <= uint64(rapid.IntRange(1, 12).Draw(t, "revisions")); rev++ {
			c := rapid.SampledFrom(centres).Draw(t, "centre")
			state[c] = !state[c]
			l := List{Rev: rev}
			for _, other := range centres {
				if state[other] {
					l.Centres = append(l.Centres, other)
				}
			}
			lists = append(lists, l)
			evacuated := state[c]
			apply = append(apply,
				func(s *Set) { s.Set(now, c, rev, evacuated) },
				func(s *Set) { s.Apply(now, l) })
		}
		order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		order.Shuffle(len(apply), func(i, j int) { apply[i], apply[j] = apply[j], apply[i] })
		var s Set
		for _, f := range apply {
			f(&s)
		}
		last := lists[len(lists)-1]
		assert.Equal(t, s.List().Rev, last.Rev)
		assert.Assert(t, slices.Equal(s.List().Centres, last.Centres), "%v, want %v", s.List(), last)
	})
}
