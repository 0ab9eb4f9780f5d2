package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against losing servers for good because another VM's list lacked them, although the store lists them.
func TestTheStoresListOutranksAnotherVMsThatLackedServers(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	assert.Assert(t, s.MergePeer(start, 20, nil))
	assert.Assert(t, s.ReplaceAll(start, 21, []Entry[string]{entry("a", 3, false)}))
	assert.DeepEqual(t, names(&s), []ident.Server{"a"})
}

// Guards against refusing the servers of a new leader because an earlier one lacked them.
func TestALaterListOfAnotherVMOutranksOneThatLackedServers(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	assert.Assert(t, s.MergePeer(start, 20, nil))
	assert.Assert(t, s.MergePeerDelta(start, 21, []Entry[string]{entry("a", 3, false)}, nil))
	assert.DeepEqual(t, names(&s), []ident.Server{"a"})
}

// Guards against a VM that keeps a removed server back and restores it at the others, which the store has told.
func TestAnotherVMRestoresNoServerThatTheStoreRemoved(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	assert.Assert(t, s.Remove(start, "a", 15))
	assert.Assert(t, !s.MergePeer(start, 20, []Entry[string]{entry("a", 3, false)}))
	assert.Equal(t, len(s.All()), 0)
}

// Guards against requests to a dead server for good: another VM that keeps it back too must not end the wait for it.
func TestAnotherVMThatKeepsAServerBackDoesNotListItAgain(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false)})
	s.StoreDown()
	returned := start.Add(8 * time.Second)
	assert.Assert(t, !s.ReplaceAll(returned, 20, nil))
	s.MergePeer(returned, 25, []Entry[string]{entry("a", 3, false)})
	assert.Assert(t, s.Expire(returned.Add(RelistTime)), "the wait goes on")
	s.MergePeer(returned.Add(RelistTime), 26, []Entry[string]{entry("a", 3, false)})
	assert.Equal(t, len(s.All()), 0, "the wait is over")
}

// Guards against requests to a dead server: its removal must count on a VM that learns of the server only afterwards.
func TestARemovalCountsForAServerThatIsNotKnownYet(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, nil)
	assert.Assert(t, !s.Remove(start, "a", 15))
	s.MergePeer(start, 12, []Entry[string]{entry("a", 11, false)})
	assert.Equal(t, len(s.All()), 0)
}
