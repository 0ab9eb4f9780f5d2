package lessor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// A planned move that followed a full grant left its keys without an owner
// until that grant's lease was over.
func TestAPlannedMoveWaitsForFullGrantsBeforeItRevokes(t *testing.T) {
	for _, checks := range []bool{false, true} {
		w := newStandbyWorld(checks, lessor.Flaws["none"])
		s, to := w.Servers[0], w.Servers[1].Name
		rec := w.Store.Record(s.Name)
		for _, v := range w.VMs {
			if v.ID != rec.Holder {
				continue
			}
			mine := w.Store.Table().SetOf(s.Name).Slices
			assert.Assert(t, len(mine) > 1)
			v.Send(s.Name, lessor.MoveMsg{Moves: []table.Move{{Slice: mine[0], To: to}}})
			for w.Store.Table().OwnerOf(mine[0]) != to {
				w.Run(w.Now() + time.Millisecond)
			}
			w.Run(w.Now() + 20*time.Millisecond) // the remaining set is granted under the new table
			asked := w.Now()
			v.Send(s.Name, lessor.MoveMsg{Moves: []table.Move{{Slice: mine[1], To: to}}})
			w.Run(asked + 3*time.Second)
			assert.Equal(t, w.Store.Table().OwnerOf(mine[1]), to)
			gap := w.Unavailable(int(mine[1]), asked, w.Now())
			gapWithin := 300 * time.Millisecond
			assert.Assert(t, gap < gapWithin, "checks=%v: %v", checks, gap)
			assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
		}
	}
}
