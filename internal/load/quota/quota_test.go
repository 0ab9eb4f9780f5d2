package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = ident.Process{Server: "s1", Incarnation: 7}
)

func stated(rate float64) Limit { return Limit{Stated: true, Rate: rate} }

// Guards against an answer to an older request, without a limit, ending the limit that a newer answer states.
func TestOnlyAnAnswerToALaterRequestEndsALimit(t *testing.T) {
	var b Book
	assert.Assert(t, b.Hear(start, one, stated(2), start.Add(-time.Second)))
	assert.Assert(t, !b.Hear(start.Add(time.Second), one, Limit{}, start.Add(-time.Second)))
	assert.Equal(t, b.Limit(one), stated(2))
	assert.Assert(t, b.Hear(start.Add(2*time.Second), one, Limit{}, start.Add(time.Second)))
	assert.Equal(t, b.Len(), 0)
}

// Guards against a limit that is carried over to the next process of a server.
func TestALimitIsThatOfOneProcess(t *testing.T) {
	var b Book
	b.Hear(start, one, stated(2), start)
	assert.Equal(t, b.Limit(ident.Process{Server: "s1", Incarnation: 8}), Limit{})
}

// Guards against an older report that reaches the leader late and replaces a newer one.
func TestTheNewestReportHolds(t *testing.T) {
	var b Book
	b.Hear(start, one, stated(2), start)
	older := Report{Server: "s1", Incarnation: 7, Limit: stated(9), Age: 3 * time.Second}
	assert.Assert(t, !b.Merge(start.Add(time.Second), []Report{older}))
	newer := Report{Server: "s1", Incarnation: 7, Age: 500 * time.Millisecond}
	assert.Assert(t, b.Merge(start.Add(time.Second), []Report{newer}))
	assert.Assert(t, !b.Merge(start.Add(2*time.Second), []Report{{Server: "s1", Incarnation: 7, Limit: stated(2), Age: 2 * time.Second}}))
	assert.Equal(t, b.Len(), 0)
}

// Guards against a list of the leader that drops what this VM heard after it had asked.
func TestAListOfTheLeaderKeepsWhatWasHeardSince(t *testing.T) {
	var b Book
	two := ident.Process{Server: "s2"}
	b.Hear(start, one, stated(2), start)
	b.Hear(start.Add(2*time.Second), two, stated(3), start)
	assert.Assert(t, b.Replace(start.Add(3*time.Second), start.Add(time.Second), nil))
	assert.Equal(t, b.Limit(one), Limit{})
	assert.Equal(t, b.Limit(two), stated(3))
	assert.Equal(t, len(b.Unreported(start)), 1)
	b.MarkReported(start.Add(3 * time.Second))
	assert.Equal(t, len(b.Unreported(start)), 0)
	b.MarkUnreported()
	assert.Equal(t, len(b.Unreported(start)), 1)
}

// Guards against leaders that together grant more permits than a server's limit allows, whatever VMs ask for and whenever leaders change.
func TestPermitsKeepToTheLimitUnderAllLeaders(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		var d Dispenser
		var used []time.Time // when each permit may be used at the latest
		var asked []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				d = Dispenser{}
				d.BeginTerm(now)
			}
			n, next := d.Take(now, one, rate, rapid.IntRange(1, 16).Draw(t, "n"))
			assert.Assert(t, next >= 0)
			for range n {
				asked = append(asked, now)
				used = append(used, now.Add(PermitTime))
			}
		}
		for i := range used {
			count := 0
			for j := range used {
				if !used[j].Before(used[i]) && asked[j].Before(used[i].Add(window)) {
					count++
				}
			}
			allowed := max(rate, minRate)*(window+PermitTime).Seconds() + burst
			assert.Assert(t, float64(count) <= allowed+1e-6, "%d permits, %.1f allowed", count, allowed)
		}
	})
}

// Guards against a refusal that names a time at which there is no permit yet.
func TestThereIsAPermitWhenTheDispenserSaysSo(t *testing.T) {
	var d Dispenser
	n, next := d.Take(start, one, 1.6, 1)
	assert.Equal(t, n, 0)
	n, _ = d.Take(start.Add(next+time.Millisecond), one, 1.6, 1)
	assert.Equal(t, n, 1)
}
