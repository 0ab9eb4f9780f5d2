package egress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// Guards against bytes that stay counted after their response, which would refuse requests
// for ever, and against a lost wake-up: after any order of operations the sums are exact, and
// once all holds are closed nobody waits.
func TestSumsAreExactAndNobodyWaitsWhileBytesAreFree(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 20, 60).Draw(rt, "steps")
		link := rapid.Int64Range(10_000, 3_000_000).Draw(rt, "link")
		synctest.Test(t, func(t *testing.T) {
			if fault := runSteps(t, New(link, 40*link), steps); fault != "" {
				t.Logf("%v", steps)
				t.Error(fault)
			}
		})
	})
}

type step struct {
	op   int
	hold int
	n    int64
}

// amounts are numbers of bytes, or of microseconds.
var amounts = []int64{0, 1, 1000, 20_000, 64 << 10, 300_000, 499_999, 700_000}

func drawStep(t *rapid.T) step {
	return step{rapid.IntRange(0, 7).Draw(t, "op"), rapid.IntRange(0, 8).Draw(t, "hold"), rapid.SampledFrom(amounts).Draw(t, "n")}
}

// runSteps applies the steps and returns what is wrong, if anything.
func runSteps(t *testing.T, b *Budget, steps []step) string {
	var g group.Group
	var open []*Hold
	admitted := make(chan *Hold, len(steps))
	collect := func() {
		synctest.Wait()
		for len(admitted) > 0 {
			open = append(open, <-admitted)
		}
	}
	for _, s := range steps {
		var h *Hold
		if len(open) > 0 {
			h = open[s.hold%len(open)]
		}
		switch s.op {
		case 0, 1:
			g.Go(func(context.Context) error {
				if h, err := b.Acquire(t.Context(), "download", time.Hour); err == nil {
					admitted <- h
				}
				return nil
			})
		case 2:
			open = append(open, b.Track())
		case 3:
			h.Grow(s.n)
		case 4:
			h.Sent(s.n)
		case 5:
			h.Expect(s.n)
		case 6:
			h.Close()
		case 7:
			time.Sleep(time.Duration(s.n) * time.Microsecond)
		}
		collect()
		if fault := checkSums(b, open); fault != "" {
			return fault
		}
	}
	for range len(steps) + 1 {
		for _, h := range open {
			h.Close()
		}
		time.Sleep(time.Minute) // the link carries what it has
		collect()
	}
	if s := b.Stats(); s.Waiting > 0 || s.Held != 0 || s.Flight != 0 {
		return "requests wait, or bytes are counted, although all responses have ended"
	}
	assert.NilError(t, g.Close())
	return ""
}

// checkSums compares the sums with the holds, and checks that the first waiter does not fit.
func checkSums(b *Budget, open []*Hold) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all, large usage
	for _, h := range open {
		all.add(h.usage(), 1)
		if h.large {
			large.add(h.usage(), 1)
		}
	}
	switch {
	case all != b.all || large != b.large:
		return "the sums differ from the holds"
	case len(b.queue) > 0 && b.fits(b.queue[0].need):
		return "a request waits although its bytes fit"
	}
	return ""
}
