package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a late VM that takes itself for prompt because its longest delay is over, although a long one has just been.
func TestADelayCountsForItsWholeTime(t *testing.T) {
	var d recentDelays
	start := time.Now()
	d.add(start, 600*time.Millisecond)
	d.add(start.Add(pulseMemory-time.Millisecond), 300*time.Millisecond)
	assert.Assert(t, d.add(start.Add(2*pulseMemory-2*time.Millisecond), 0) >= 300*time.Millisecond)
	d.add(start.Add(2*pulseMemory), 0)
	assert.Equal(t, d.add(start.Add(3*pulseMemory), 0), time.Duration(0))
}
