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
