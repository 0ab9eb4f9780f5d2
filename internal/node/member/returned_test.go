package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func inEra(era object.Era, rev uint64) uint64 { return uint64(object.NewVersion(era, rev)) }

func entryOf(name ident.Server, rev uint64, leaving bool) Entry[string] {
	return Entry[string]{Name: name, Rev: rev, Leaving: leaving, Value: string(name)}
}

func listedNames(s *Set[string]) []ident.Server {
	var all []ident.Server
	for _, e := range s.All() {
		all = append(all, e.Name)
	}
	return all
}

// newReturnedSet returns a set that knew "stays", "leaves", which had announced that it
// leaves, "left", which had been removed, and "new". Then the store returned from a copy of
// before all that.
func newReturnedSet(now time.Time) *Set[string] {
	s := &Set[string]{}
	s.ReplaceAll(now, inEra(1, 10), []Entry[string]{entryOf("stays", inEra(1, 1), false), entryOf("leaves", inEra(1, 2), false), entryOf("left", inEra(1, 3), false)})
	s.Put(entryOf("leaves", inEra(1, 11), true))
	s.Remove(now, "left", inEra(1, 12))
	s.Put(entryOf("new", inEra(1, 13), false))
	s.ReplaceAll(now, inEra(2, 10), []Entry[string]{entryOf("stays", inEra(2, 1), false), entryOf("leaves", inEra(2, 2), false), entryOf("left", inEra(2, 3), false)})
	return s
}

// Guards against requests to servers that have left, or announced that they leave, because
// the store has returned from a copy of before, and against the loss of those that came since.
func TestServersAreAsBeforeWhenTheStoreReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newReturnedSet(now)
	assert.DeepEqual(t, listedNames(s), []ident.Server{"leaves", "new", "stays"})
	e, _ := s.Has("leaves")
	assert.Assert(t, e.Leaving)
	now = now.Add(time.Second)
	s.Put(entryOf("new", inEra(2, 11), false))
	s.Put(entryOf("leaves", inEra(2, 12), true))
	s.Remove(now, "left", inEra(2, 13))
	s.Expire(now.Add(ReappearTime))
	assert.DeepEqual(t, listedNames(s), []ident.Server{"leaves", "new", "stays"})
	e, _ = s.Has("leaves")
	assert.Assert(t, e.Leaving)
}

// Guards against servers that never come back: one whose removal was the store's fault is
// alive, and its entry does not lapse; one that was lost with the seconds is gone.
func TestServersOfACopyCountOnceTheyWouldHaveLapsed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newReturnedSet(now)
	s.Expire(now.Add(ReappearTime - time.Millisecond))
	_, listed := s.Has("left")
	assert.Assert(t, !listed)
	_, listed = s.Has("new")
	assert.Assert(t, !listed, "it was not written again in time")
	s.Expire(now.Add(ReappearTime))
	_, listed = s.Has("left")
	assert.Assert(t, listed)
	e, _ := s.Has("leaves")
	assert.Assert(t, e.Leaving, "it does not change its mind")
}

// Guards against a second return that makes an entry of the first copy count.
func TestServersAreAsBeforeWhenTheStoreReturnsTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newReturnedSet(now)
	s.ReplaceAll(now, inEra(3, 10), []Entry[string]{entryOf("stays", inEra(3, 1), false), entryOf("leaves", inEra(3, 2), false), entryOf("left", inEra(3, 3), false)})
	assert.DeepEqual(t, listedNames(s), []ident.Server{"leaves", "new", "stays"})
	e, _ := s.Has("leaves")
	assert.Assert(t, e.Leaving)
}
