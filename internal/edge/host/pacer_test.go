package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// Guards against too many orders at once. Renewals for hundreds of servers fall due
// together on a VM with a sixth of a processor; if all are sent at once they wait for
// each other beyond their timeout, and healthy servers lose their keys.
func TestOrdersAreSentAFewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		var g group.Group
		now, most := make(chan int, 1), 0
		now <- 0
		for range 1000 {
			g.Go(func(ctx context.Context) error {
				end := p.acquire(ctx)
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
		assert.Assert(t, most <= maxOrderSlots, "%d at once", most)
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against renewals that wait behind orders to servers that do not answer, for
// example after a rack has lost power.
func TestSilentServersDoNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		var g group.Group
		for range 100 {
			g.Go(func(ctx context.Context) error {
				end := p.acquire(ctx)
				time.Sleep(grantTimeout)
				end()
				return nil
			})
		}
		synctest.Wait()
		began := time.Now()
		p.acquire(t.Context())()
		assert.Assert(t, time.Since(began) <= 5*orderSlotTime, "%v", time.Since(began))
		assert.NilError(t, g.Wait())
	})
}
