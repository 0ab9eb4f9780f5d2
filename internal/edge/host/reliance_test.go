package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/poll"
)

// Guards against a VM that relies on the leader for so long that a request reaches a server after the bound, or that asks the store itself while the leader hears all.
func TestTheTimeToRelyOnTheLeaderFitsIntoTheBound(t *testing.T) {
	const (
		ownRead = 300 * time.Millisecond // an answer of a slow store to this VM
		transit = 500 * time.Millisecond // a longer wait at the link excuses a late request
	)
	for _, bound := range []time.Duration{defaultDrain, 2500 * time.Millisecond, 3 * time.Second, defaultEvacuation} {
		assert.Assert(t, reliance(bound)+ownRead+transit <= bound, "%v", bound)
		oldest := 2*freshWait(reliance(bound)) + poll.PollTimeout // what another VM knows, before it hears again
		assert.Assert(t, oldest < reliance(bound), "%v: %v old", bound, oldest)
	}
}
