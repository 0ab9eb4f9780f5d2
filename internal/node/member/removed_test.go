package member

import (
	"testing"

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
