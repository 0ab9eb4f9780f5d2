package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

const (
	moveCallers  = 24
	moveRequests = 100
	movePause    = 2 * time.Millisecond
)

// All keys move while 24 callers send requests for them. The entry VM learns of the next
// owner 3 ms after the former one has given its lease back, and some time before the next
// one gets its own. Each request must run once, soon after the gap between the leases.
func TestAMoveUnderLoad(t *testing.T) {
	for name, gap := range map[string]time.Duration{"planned": 6 * time.Millisecond, "slow": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runWithTestbed(t, func(t *testing.T, tb *testbed) { moveUnderLoad(t, tb, gap) })
		})
	}
}

func moveUnderLoad(t *testing.T, tb *testbed, gap time.Duration) {
	all := []ident.Slice{0, 1, 2, 3, 4, 5, 6, 7}
	order := server.Order{Lessor: "l1", Mark: tb.origins["l1"].Read().Mark, TTL: time.Hour, Full: true, Rev: 1}
	var g group.Group
	var worst [moveCallers]time.Duration
	for c := range moveCallers {
		g.Go(func(context.Context) error {
			for n := range moveRequests {
				worst[c] = max(worst[c], tb.timedPost(c, n))
				time.Sleep(movePause)
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, tb.origins["l1"].Revoke(order).Done)
	time.Sleep(3 * time.Millisecond)
	tb.setView("l2")
	time.Sleep(gap)
	order.Lessor, order.Slices, order.Mark = "l2", all, tb.origins["l2"].Read().Mark
	assert.Assert(t, tb.origins["l2"].Grant(order).Done)
	assert.NilError(t, g.Wait())

	ran := map[ident.Request]int{}
	for _, o := range []*origin.Origin{tb.origins["l1"], tb.origins["l2"]} {
		for _, s := range o.Record.All() {
			ran[s.ID]++
		}
	}
	assert.Equal(t, len(ran), moveCallers*moveRequests)
	for id, n := range ran {
		assert.Equal(t, n, 1, "%s ran %d times", id, n)
	}
	longest := time.Duration(0)
	for _, d := range worst {
		longest = max(longest, d)
	}
	misrouted := tb.origins["l1"].Stats().Misses + tb.origins["l2"].Stats().Misses
	t.Logf("lease gone for %v: longest answer %v, %d requests misrouted", 3*time.Millisecond+gap, longest, misrouted)
	assert.Assert(t, longest <= 3*time.Millisecond+gap+maxExtraWait, "longest answer %v", longest)
	assert.Assert(t, misrouted <= maxMisrouted, "%d requests misrouted", misrouted)
}

// Limits on the effects of a move. The gate retries every 40 ms at most. Apart from the
// requests that arrive around the revocation and around the change of the table, one
// request of each slice probes the new owner.
const (
	maxExtraWait = 41 * time.Millisecond
	maxMisrouted = 2*moveCallers + 8*5
)

// timedPost sends a request for a key and returns how long the answer took.
func (tb *testbed) timedPost(c, n int) time.Duration {
	r := tb.request("POST", fmt.Sprintf("/scales/%d", c), strings.NewReader("load"))
	r.Header.Set("Hawthorn-Id", fmt.Sprintf("%d-%d", c, n))
	start := time.Now()
	resp, _, err := tb.do(r)
	assert.NilError(tb.t, err)
	assert.Equal(tb.t, resp.StatusCode, http.StatusOK)
	return time.Since(start)
}
