package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// Renewals for hundreds of servers fall due together on a VM with a sixth of a
// processor. Sent at once they wait for each other beyond their time-out, every server
// seems silent, and all keys are taken away from servers that are well.
func TestOrdersAreSentAFewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		var g group.Group
		now, most := make(chan int, 1), 0
		now <- 0
		for range 1000 {
			g.Go(func(ctx context.Context) error {
				end := p.begin(ctx)
				n := <-now + 1
				most = max(most, n)
				now <- n
				time.Sleep(4 * time.Millisecond)
				now <- <-now - 1
				end()
				return nil
			})
		}
		began := time.Now()
		assert.NilError(t, g.Wait())
		assert.Assert(t, most <= ordersAtOnce, "%d at once", most)
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%v", time.Since(began))
	})
}

// A rack of servers goes dark. Orders to them stay unanswered until their time-out, and
// the renewals of all others must not wait for that.
func TestSilentServersDoNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		var g group.Group
		for range 100 {
			g.Go(func(ctx context.Context) error {
				end := p.begin(ctx)
				time.Sleep(grantWait)
				end()
				return nil
			})
		}
		synctest.Wait()
		began := time.Now()
		p.begin(t.Context())()
		assert.Assert(t, time.Since(began) <= 5*orderBrief, "%v", time.Since(began))
		assert.NilError(t, g.Wait())
	})
}
