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

// If all requests name one caller, the demonstration's callers are held to one
// caller's fair share as soon as a queue stands, and are refused where as many real
// ones would be served.
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

// A run whose callers got no answers went on for minutes, also after it was told to end.
func TestCallersEndWithTheirRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waits := func(c *callers) {
			c.group.Go(func(context.Context) error {
				<-c.ctx.Done()
				return nil
			})
		}
		start := time.Now()
		c := newCallers(t.Context(), &site{})
		waits(c)
		c.drain()
		assert.Equal(t, time.Since(start), dueWait)

		ctx, cancel := context.WithCancel(t.Context())
		c = newCallers(ctx, &site{})
		waits(c)
		cancel()
		start = time.Now()
		c.drain()
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
