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
	moveCallers = 24
	moveAsks    = 100
	movePause   = 2 * time.Millisecond
)

// All keys move while 24 callers ask for them. The former owner gives its lease
// back, the news of the next owner comes 3 ms later, and its lease another while
// later. Callers must notice no more than that gap: each request runs once, at
// an owner, and those who waited go as soon as the next owner takes them.
func TestAMoveUnderLoad(t *testing.T) {
	for name, gap := range map[string]time.Duration{"planned": 6 * time.Millisecond, "slow": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) { moveUnderLoad(t, w, gap) })
		})
	}
}

func moveUnderLoad(t *testing.T, w *world, gap time.Duration) {
	all := []ident.Slice{0, 1, 2, 3, 4, 5, 6, 7}
	order := server.Order{Lessor: "l1", Mark: w.origins["l1"].Read().Mark, TTL: time.Hour, Full: true, Rev: 1}
	var g group.Group
	var worst [moveCallers]time.Duration
	for c := range moveCallers {
		g.Go(func(context.Context) error {
			for n := range moveAsks {
				worst[c] = max(worst[c], w.post(c, n))
				time.Sleep(movePause)
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, w.origins["l1"].Revoke(order).Done)
	time.Sleep(3 * time.Millisecond)
	w.see("l2")
	time.Sleep(gap)
	order.Lessor, order.Slices, order.Mark = "l2", all, w.origins["l2"].Read().Mark
	assert.Assert(t, w.origins["l2"].Grant(order).Done)
	assert.NilError(t, g.Wait())

	ran := map[ident.Request]int{}
	for _, o := range []*origin.Origin{w.origins["l1"], w.origins["l2"]} {
		for _, s := range o.Record.All() {
			ran[s.ID]++
		}
	}
	assert.Equal(t, len(ran), moveCallers*moveAsks)
	for id, n := range ran {
		assert.Equal(t, n, 1, "%s ran %d times", id, n)
	}
	longest := time.Duration(0)
	for _, d := range worst {
		longest = max(longest, d)
	}
	turned := w.origins["l1"].Stats().Misses + w.origins["l2"].Stats().Misses
	t.Logf("lease gone for %v: longest answer %v, %d requests turned away", 3*time.Millisecond+gap, longest, turned)
	assert.Assert(t, longest <= 3*time.Millisecond+gap+mostWait, "longest answer %v", longest)
	assert.Assert(t, turned <= mostTurned, "%d requests turned away", turned)
}

// Bounds of a move: the gate asks again each 40 ms at most, and besides the
// callers who came in the moments of the revocation and of the news, one of each
// slice does.
const (
	mostWait   = 41 * time.Millisecond
	mostTurned = 2*moveCallers + 8*5
)

// post asks for a key once and returns how long the answer took.
func (w *world) post(c, n int) time.Duration {
	r := w.request("POST", fmt.Sprintf("/scales/%d", c), strings.NewReader("load"))
	r.Header.Set("Hawthorn-Id", fmt.Sprintf("%d-%d", c, n))
	start := time.Now()
	resp, _, err := w.do(r)
	assert.NilError(w.t, err)
	assert.Equal(w.t, resp.StatusCode, http.StatusOK)
	return time.Since(start)
}
