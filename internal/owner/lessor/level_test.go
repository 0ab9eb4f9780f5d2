package lessor_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/fake/world"
)

// Seats pass from one healthy VM to the next every second or so, while all the
// faults of the other histories go on. Nothing else makes VMs that are both well
// hold and claim the same seat so often; a mistake in it would credit one
// truckload twice.
func TestHistoriesKeepOneOwnerWhileSeatsPassOn(t *testing.T) {
	for _, m := range modes {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			seeds.Check(t, func(rt *rapid.T) {
				h := drawHistory(rt, m)
				h.opt.ReassignEvery = time.Duration(rapid.IntRange(400, 3000).Draw(rt, "level")) * time.Millisecond
				if rapid.Bool().Draw(rt, "joined") {
					h.opt.NewWriter = joined
				}
				w := h.play()
				bad := append(w.Check(), unserved(w)...)
				assert.Assert(rt, len(bad) == 0, "%v level %v\n%s", h, h.opt.ReassignEvery, strings.Join(bad, "\n"))
			})
		})
	}
}

// Without any other fault a seat that passes on costs no key a moment.
func TestPassingASeatOnCostsNoTime(t *testing.T) {
	for seed := range uint64(50) {
		w := world.New(world.Options{Seed: seed, Skew: 5, ReassignEvery: 2 * time.Second, FenceChecks: seed%2 == 0})
		w.Run(3 * time.Second)
		epochs := w.Epochs()
		from := w.Now()
		w.Run(from + 20*time.Second)
		for s := range 6 {
			assert.Equal(t, w.Unavailable(s, from, w.Now()), time.Duration(0), "seed %d slice %d", seed, s)
		}
		assert.Assert(t, w.Epochs() >= epochs+15, "seed %d: only %d take-overs", seed, w.Epochs()-epochs)
		assert.Equal(t, len(w.Check()), 0)
	}
}
