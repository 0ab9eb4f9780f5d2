package conns

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var begin = time.Unix(1000, 0)

// A VM joins, another leaves a moment later. The share must shrink at once and
// grow late: the server would otherwise refuse connections of whoever comes last.
func TestShareShrinksAtOnceAndGrowsLate(t *testing.T) {
	var p Pool
	p.Share(begin, 45, 9)
	assert.Equal(t, p.Most(begin), 5)
	p.Share(begin, 45, 10)
	assert.Equal(t, p.Most(begin), 4)
	p.Share(begin, 45, 5)
	assert.Equal(t, p.Most(begin.Add(Settle-1)), 4)
	assert.Equal(t, p.Most(begin.Add(Settle)), 9)
	p.Share(begin, 3, 10)
	assert.Equal(t, p.Most(begin), 1, "a VM without any connection is shut out")
}

// Connections used lately stay warm, those of a burst minutes ago do not.
func TestWarmFollowsTheRecentPeak(t *testing.T) {
	var p Pool
	p.Share(begin, 100, 10)
	for range 8 {
		p.Use(begin)
	}
	for range 8 {
		p.Free(begin)
	}
	assert.Equal(t, p.Warm(begin.Add(time.Second)), 8)
	assert.Equal(t, p.Warm(begin.Add(HalfLife)), 4)
	assert.Assert(t, p.Warm(begin.Add(10*HalfLife)) <= 1)
}
