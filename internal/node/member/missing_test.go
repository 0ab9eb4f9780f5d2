package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking a server for alive that the store no longer lists, until Expire
// removes it.
func TestAServerIsMissingUntilItIsListedAgainOrRemoved(t *testing.T) {
	var s Set[string]
	s.ReplaceAll(start, 10, []Entry[string]{entry("a", 3, false), entry("b", 4, false)})
	s.StoreDown()
	returned := start.Add(8 * time.Second)
	s.ReplaceAll(returned, 20, nil)
	assert.Assert(t, s.Missing("a") && s.Missing("b") && !s.Missing("c"))
	s.Put(entry("a", 21, false))
	assert.Assert(t, !s.Missing("a"))
	later := returned.Add(2 * RelistTime)
	assert.Assert(t, s.Missing("b"))
	assert.Assert(t, s.Expire(later))
	assert.Assert(t, !s.Missing("b"))
}
