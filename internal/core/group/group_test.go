package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A duty pauses between two looks, and its owner closes meanwhile. Slept to the
// end, the pause would hold up the shutdown by as much.
func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.Assert(t, Sleep(t.Context(), time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(start), 61*time.Second)
	})
}

// One duty fails. The others are told, and Close returns the first fault.
func TestAFailedDutyEndsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		ended := false
		g.Go(func(ctx context.Context) error {
			<-ctx.Done()
			ended = true
			return nil
		})
		g.Go(func(context.Context) error { return context.DeadlineExceeded })
		assert.ErrorIs(t, g.Wait(), context.DeadlineExceeded)
		assert.Assert(t, ended)
		assert.ErrorIs(t, g.Close(), context.DeadlineExceeded)
	})
}
