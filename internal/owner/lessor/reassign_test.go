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

// Authorities move from one healthy VM to the next every second or so, during all the faults of the
// other histories. Nothing else makes two healthy VMs hold and claim the same authority so often; a
// mistake would let two servers serve one key.
func TestHistoriesKeepOneOwnerWhileAuthoritiesMove(t *testing.T) {
	for _, m := range modes {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			seeds.Check(t, func(rt *rapid.T) {
				h := drawHistory(rt, m)
				h.opt.ReassignEvery = time.Duration(rapid.IntRange(400, 3000).Draw(rt, "level")) * time.Millisecond
				if rapid.Bool().Draw(rt, "joined") {
					h.opt.NewWriter = newBatchingWriter
				}
				w := h.run()
				bad := append(w.Check(), unserved(w)...)
				assert.Assert(rt, len(bad) == 0, "%v level %v\n%s", h, h.opt.ReassignEvery, strings.Join(bad, "\n"))
			})
		})
	}
}

// Without any other fault, moving an authority must not make a key unavailable.
func TestMovingAnAuthorityCausesNoUnavailability(t *testing.T) {
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
