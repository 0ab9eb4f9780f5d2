package seat_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/seat"
)

// mutants names, for each broken safety rule, the property that notices it and
// the number of a drawn history in which it does. When a change of the code
// makes another history out of a number, find a new one with HAWTHORN_SCAN=flaw.
var mutants = []struct {
	flaw    string
	checks  bool
	history int
	kills   string
}{
	{"others", false, 0, "two owners"},
}

func drawn(checks bool, i int, f seat.Flaw) history {
	gen := rapid.Custom(func(rt *rapid.T) history { return drawHistory(rt, checks) })
	h := gen.Example(i)
	h.opt.New = func(c seat.Config) loop.Model { return seat.New(seat.WithFlaw(c, f)) }
	return h
}

// A safety rule that no test misses when it is broken is not tested. Each rule
// is broken in turn, and one property must notice.
func TestEachBrokenRuleIsNoticed(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.flaw, func(t *testing.T) {
			t.Parallel()
			w := drawn(m.checks, m.history, seat.Flaws[m.flaw]).play()
			all := strings.Join(w.Judge(), "\n")
			assert.Assert(t, strings.Contains(all, m.kills), "not noticed: %q", all)
			whole := drawn(m.checks, m.history, seat.Flaws["none"]).play()
			assert.Equal(t, len(whole.Judge()), 0, "the history is bad without the flaw")
		})
	}
}

// TestScan looks for the histories of the table above.
func TestScan(t *testing.T) {
	name := os.Getenv("HAWTHORN_SCAN")
	if name == "" {
		t.Skip("a tool: set HAWTHORN_SCAN to the name of a flaw")
	}
	for _, checks := range []bool{false, true} {
		for i := range 1500 {
			if bad := drawn(checks, i, seat.Flaws[name]).play().Judge(); len(bad) > 0 {
				t.Logf("%s checks=%v history %d: %s", name, checks, i, bad[0])
				break
			}
		}
	}
}
