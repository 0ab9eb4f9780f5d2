package demo

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against requests that all name the same caller: as soon as requests queue, that
// caller would be limited to its fair share and refused, where many callers are served.
func TestRequestsComeFromManyCallers(t *testing.T) {
	sent := map[string]int{}
	for i := range 1000 {
		sent[callerOf(ident.Request(fmt.Sprintf("scale-lookup-%d", 1000+i)))]++
	}
	assert.Assert(t, len(sent) > 90, "%d callers", len(sent))
	for name, n := range sent {
		assert.Assert(t, n < 50, "%s sent %d of 1000", name, n)
	}
}

// Guards against a run that goes on for minutes when callers get no answers, even after
// its context was canceled.
func TestCallersEndWithTheirRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addUnanswered := func(c *callers) {
			c.group.Go(func(context.Context) error {
				<-c.ctx.Done()
				return nil
			})
		}
		start := time.Now()
		c := newCallers(t.Context(), &site{})
		addUnanswered(c)
		c.drain()
		assert.Equal(t, time.Since(start), drainTimeout)

		ctx, cancel := context.WithCancel(t.Context())
		c = newCallers(ctx, &site{})
		addUnanswered(c)
		cancel()
		start = time.Now()
		c.drain()
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
