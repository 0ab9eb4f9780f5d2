package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A polling goroutine sleeps while its owner closes. If Sleep ignored its context,
// the shutdown would be delayed by the rest of the sleep.
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

// One function fails: the others must be canceled, and Wait and Close must return
// the first error.
func TestErrorCancelsOtherFunctions(t *testing.T) {
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
