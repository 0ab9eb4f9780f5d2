package egress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const (
	testLink   = 1_250_000   // 10 Mbit/s
	testMemory = 184_000_000 // bytes
)

// Guards against a budget that delays requests where no link or memory size is stated.
func TestWithoutALinkOrAMemorySizeNothingIsBounded(t *testing.T) {
	for _, b := range []*Budget{nil, {}, New(0, testMemory), New(testLink, 0)} {
		b.SetOn(true)
		h, err := b.Acquire(t.Context(), "download", 0)
		assert.NilError(t, err)
		h.Grow(1 << 40)
		h.Sent(1)
		h.Close()
		assert.Assert(t, !b.On() && b.Track() == nil && h.Delay() == Delay{})
		assert.Equal(t, b.Stats(), Stats{})
	}
}

// fill admits requests until the budget is full.
func fill(t *testing.T, b *Budget) (holds []*Hold) {
	for {
		h, err := b.Acquire(t.Context(), "download", 0)
		if err != nil {
			return holds
		}
		holds = append(holds, h)
	}
}

// Guards against a refusal whose Retry-After is wrong: the caller that returns then must be
// admitted when the others proceed at the speed of the link, and not much earlier.
func TestARefusalSaysWhenTheBytesFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLink, testMemory)
		holds := fill(t, b)
		assert.Equal(t, len(holds), 7, "three quarters of 625 KB over 64 KB")
		_, err := b.Acquire(t.Context(), "download", 10*time.Millisecond)
		var refused *Refusal
		assert.Assert(t, errors.As(err, &refused) && kinds.Of(err) == kinds.Busy)
		assert.Assert(t, refused.Delay.Bound == b.flight.large && refused.Delay.Held > 0)
		for _, h := range holds {
			h.Grow(firstExpected)
			h.Sent(firstExpected)
			h.Close()
		}
		time.Sleep(refused.After)
		h, err := b.Acquire(t.Context(), "download", 0)
		assert.NilError(t, err)
		h.Close()
	})
}

// Guards against a link whose queue is hidden in the kernel: bytes that a socket accepted at
// once still occupy the link, and a request must wait for them.
func TestBytesThatTheLinkHasNotCarriedCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLink, testMemory)
		h := b.Track()
		h.Grow(testLink)
		h.Sent(testLink)
		h.Close()
		start := time.Now()
		h, err := b.Acquire(t.Context(), "download", 4*time.Second)
		assert.NilError(t, err)
		waited := time.Since(start)
		assert.Assert(t, waited > 500*time.Millisecond && waited < time.Second, "%v", waited)
		assert.Equal(t, h.Delay().Wait, waited)
	})
}

// Guards against a few slow readers that hold up all others while the link is idle, and
// against holding more bytes than the bound.
func TestSlowReadersOccupyMemoryAndNotTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLink, 20_000_000)
		count, most := 0, int64(0)
		for {
			h, err := b.Acquire(t.Context(), "download", 4*time.Second)
			if err != nil {
				break
			}
			h.Expect(540_000)
			h.Grow(32 << 10)
			count, most = count+1, b.all.memory
		}
		assert.Equal(t, count, 11, "readers that take nothing, of 360 KB each")
		assert.Assert(t, most > b.memory.large && most <= b.memory.large+responseMemory, "%d", most)
		held := b.Stats().Held
		small := b.Track()
		small.Grow(2000)
		small.Sent(2000)
		small.Close()
		assert.Equal(t, b.Stats().Held, held, "a small response passes, whatever the others hold")
	})
}

// Guards against requests of a rule whose responses grow: those admitted meanwhile exceed
// the bound, and later ones wait for them.
func TestResponsesMuchLargerThanLearnedDelayLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLink, testMemory)
		for range 50 {
			h, err := b.Acquire(t.Context(), "download", time.Second)
			assert.NilError(t, err)
			h.Grow(20_000)
			h.Sent(20_000)
			h.Close()
		}
		time.Sleep(time.Second)
		holds := fill(t, b)
		assert.Assert(t, len(holds) > 20, "%d requests of 20 KB fit", len(holds))
		for _, h := range holds {
			h.Expect(400_000)
		}
		assert.Assert(t, b.Stats().Flight > 10*b.flight.total, "they are delivered, whatever the bound")
		for i, h := range holds {
			_, err := b.Acquire(t.Context(), "download", time.Second)
			assert.Equal(t, kinds.Of(err), kinds.Busy, "%d", i)
			h.Grow(400_000)
			h.Sent(400_000)
			h.Close()
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, b.sizes["download"].high > 300_000)
		h, err := b.Acquire(t.Context(), "download", 0)
		assert.NilError(t, err)
		assert.Assert(t, h.expected > 200_000, "%d", h.expected)
	})
}

// Guards against a caller that goes away while it waits and keeps its place or its bytes, and
// against waiting requests that a VM leaves without an answer when it shuts down and cancels
// their contexts.
func TestCallersThatGoAwayLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLink, testMemory)
		holds := fill(t, b)
		ctx, cancel := context.WithCancel(t.Context())
		var g group.Group
		var errs [3]error
		for i := range errs {
			g.Go(func(context.Context) error {
				_, errs[i] = b.Acquire(ctx, "download", time.Minute)
				return nil
			})
		}
		synctest.Wait()
		assert.Equal(t, b.Stats().Waiting, 3)
		cancel()
		assert.NilError(t, g.Wait())
		for _, err := range errs {
			assert.Equal(t, kinds.Of(err), kinds.Canceled)
		}
		for _, h := range holds {
			h.Close()
		}
		assert.Equal(t, b.Stats(), Stats{On: true, Refused: 1})
	})
}

// Guards against requests that wait on after the rules with large responses are gone.
func TestTurningItOffAdmitsThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLink, testMemory)
		holds := fill(t, b)
		var g group.Group
		g.Go(func(ctx context.Context) error {
			_, err := b.Acquire(ctx, "download", time.Minute)
			return err
		})
		synctest.Wait()
		b.SetOn(false)
		assert.NilError(t, g.Wait())
		assert.Assert(t, b.Track() == nil)
		for _, h := range holds {
			h.Close()
		}
		assert.Equal(t, b.Stats().Flight, int64(firstExpected), "only the one that waited")
	})
}

func BenchmarkOff(b *testing.B) {
	var budget Budget
	for b.Loop() {
		h, _ := budget.Acquire(b.Context(), "download", time.Second)
		h.Grow(1000)
		h.Sent(1000)
		h.Close()
	}
}

func BenchmarkTrack(b *testing.B) {
	budget := New(1<<40, 1<<40)
	b.ReportAllocs()
	for b.Loop() {
		h := budget.Track()
		h.Grow(1000)
		h.Sent(1000)
		h.Close()
	}
}

func BenchmarkAcquire(b *testing.B) {
	budget := New(1<<40, 1<<40)
	b.ReportAllocs()
	for b.Loop() {
		h, err := budget.Acquire(b.Context(), "download", time.Second)
		assert.NilError(b, err)
		h.Grow(1000)
		h.Sent(1000)
		h.Close()
	}
}
