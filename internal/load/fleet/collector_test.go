package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var (
	start   = time.Unix(1_000_000, 0)
	one     = ident.Process{Server: "s1", Incarnation: 7}
	two     = ident.Process{Server: "s2", Incarnation: 7}
	crowded = Load{Known: true, Running: 2, Waiting: 8}
	idle    = Load{Known: true, Running: 1}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func whole(ident.Service) bool   { return true }
func nothing(ident.Service) bool { return false }

// silentAttempts returns how many attempts count as evidence.
func silentAttempts(c *Collector, now time.Time) int {
	n := 0
	for _, s := range c.Take(now, nothing).Samples {
		n += s.Silent
	}
	return n
}

// Guards against evidence from a lost path: nothing is answered there, before or after.
func TestUnansweredAttemptsOverALostPathAreNoEvidence(t *testing.T) {
	var c Collector
	c.Answered(at(0.5), at(0), "search", one, time.Millisecond, crowded)
	for i := range 8 {
		c.Unanswered(at(4), at(1+float64(i)/10), "search", one)
		c.Unanswered(at(4), at(1), "search", two)
	}
	assert.Equal(t, silentAttempts(&c, at(5)), 0)
	c.Answered(at(60), at(59), "search", one, time.Millisecond, crowded)
	assert.Equal(t, silentAttempts(&c, at(60)), 0, "the attempts are too old by then")
}

// Guards against an unanswered attempt at a full server that is not counted once the server
// has answered a later request, or is counted twice.
func TestAnAttemptCountsOnceALaterOneIsAnswered(t *testing.T) {
	var c Collector
	c.Unanswered(at(4), at(1), "search", one)
	c.Answered(at(4.5), at(0.5), "search", one, time.Millisecond, crowded)
	assert.Equal(t, silentAttempts(&c, at(5)), 0, "the answered request was sent earlier")
	c.Answered(at(5), at(2), "search", one, time.Millisecond, crowded)
	c.Answered(at(6), at(5), "search", one, time.Millisecond, crowded)
	assert.Equal(t, silentAttempts(&c, at(6)), 1)
	c.Unanswered(at(7), at(4), "search", one)
	assert.Equal(t, silentAttempts(&c, at(7)), 1, "the later request was answered before the deadline")
}

// Guards against a request that takes longer than its deadline, at a server where nobody
// waits, that counts as one at a full server.
func TestASlowRequestIsNoEvidence(t *testing.T) {
	var c Collector
	for i := range 10 {
		at0 := float64(i) * 5
		c.Unanswered(at(at0+3), at(at0), "search", one)
		c.Answered(at(at0+4), at(at0+3.5), "search", one, time.Millisecond, idle)
	}
	assert.Equal(t, silentAttempts(&c, at(60)), 0)
	c.Unanswered(at(63), at(60), "search", two)
	c.Answered(at(64), at(63), "search", two, 0, Load{})
	assert.Equal(t, silentAttempts(&c, at(64)), 1, "a server that states no load")
}

// Guards against evidence or counts that are lost with a poll that fails.
func TestAFailedReportIsReportedAgain(t *testing.T) {
	var c Collector
	c.Sent(at(0), "search", one)
	c.Refused(at(0.1), "search", one, crowded)
	first := c.Take(at(0.3), whole)
	assert.Equal(t, len(c.Take(at(0.4), whole).Samples), 0)
	c.Sent(at(0.5), "search", one)
	c.Restore(first)
	s := c.Take(at(0.6), whole).Samples
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].Sent, 2)
	assert.Equal(t, s[0].Refused, 1)
	assert.Equal(t, s[0].Load, 10)
	assert.Equal(t, s[0].LoadAge, 500*time.Millisecond)
}

// Guards against the requests of a time without a leader that reach the next one as a burst.
func TestCountsOfALongTimeAreScaledToOneSecond(t *testing.T) {
	var c Collector
	for i := range 80 {
		c.Sent(at(float64(i)/10), "search", one)
	}
	b := c.Take(at(8), whole)
	assert.Equal(t, b.Samples[0].Sent, 10)
	c.Restore(b)
	assert.Equal(t, c.Take(at(8.1), whole).Samples[0].Sent, 9)
}

// Guards against control traffic for a service whose full servers answer.
func TestWithoutEvidenceNothingIsReportedOfAServiceThatIsOff(t *testing.T) {
	var c Collector
	c.Offered(at(0), "search", one)
	c.Sent(at(0), "search", one)
	c.Answered(at(0.1), at(0), "search", one, time.Millisecond, crowded)
	assert.Equal(t, len(c.Take(at(0.3), nothing).Samples), 0)
}

// Guards against a collector that grows with the processes that were ever seen, and against
// more than one sample of a process.
func TestACollectorIsBounded(t *testing.T) {
	var c Collector
	for i := range maxCollected + 100 {
		p := ident.Process{Server: "s", Incarnation: int64(i)}
		c.Sent(at(0), "search", p)
		for range 2 * maxPending {
			c.Unanswered(at(0), at(0), "search", p)
		}
		assert.Assert(t, len(c.seen[p].pending) <= maxPending)
	}
	assert.Equal(t, len(c.seen), maxCollected)
	assert.Equal(t, len(c.Take(at(0), whole).Samples), maxCollected)
}

// Guards against a nil collector, as in a front without an exchange, that fails.
func TestANilCollectorCollectsNothing(t *testing.T) {
	var c *Collector
	c.Sent(at(0), "search", one)
	c.Restore(Batch{})
	assert.Equal(t, len(c.Take(at(0), whole).Samples)+len(c.Observed()), 0)
}

// The cost on the request path: an attempt is offered, sent and answered.
func BenchmarkCollect(b *testing.B) {
	var c Collector
	b.ReportAllocs()
	for b.Loop() {
		c.Offered(start, "search", one)
		c.Sent(start, "search", one)
		c.Answered(start, start, "search", one, time.Millisecond, crowded)
	}
}
