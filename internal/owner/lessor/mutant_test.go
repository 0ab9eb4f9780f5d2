package lessor_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// mutants names, for each broken safety rule, the property that detects it and
// the number of a drawn history in which it does. When a change of the code
// changes the drawn histories, find a new number with HAWTHORN_SCAN=flaw. The
// flaw "agree" is detected by
// TestHolderActivatesNoStandbyAfterItsDeputyRuledItOut.
var mutants = []struct {
	flaw     string
	mode     mode
	history  int
	property string
}{
	{"wait", mode{}, 394, "given away while"},
	{"wait", mode{Checks: true}, 221, "given away while"},
	{"doubt", mode{}, 5, "held by"},
	{"doubt", mode{Checks: true}, 5, "held by"},
	{"fence", mode{Checks: true}, 2634, "two owners"},
	{"bar", mode{}, 1475, "given away while"},
	{"bar", mode{Checks: true}, 801, "given away while"},
	{"add", mode{}, 2242, "given away while"},
	{"add", mode{Checks: true}, 6, "given away while"},
	{"deputy", mode{}, 1, "as a deputy"},
	{"others", mode{}, 394, "given away while"},
	{"others", mode{Checks: true}, 394, "given away while"},
	{"late", mode{}, 2634, "two owners"},
	{"term", mode{}, 400, "after its term"},
	{"yield", mode{}, 1, "after its promise"},
	{"eager", mode{Standby: true}, 684, "two owners"},
	{"eager", mode{Checks: true, Standby: true}, 531, "two owners"},
	{"forget", mode{Standby: true}, 37, "two owners"},
	{"forget", mode{Checks: true, Standby: true}, 37, "two owners"},
	{"return", mode{Standby: true}, 11, "given away while"},
	{"return", mode{Checks: true, Standby: true}, 11, "given away while"},
}

func drawn(m mode, i int, f lessor.Flaw) history {
	gen := rapid.Custom(func(rt *rapid.T) history { return drawHistory(rt, m) })
	h := gen.Example(i)
	h.opt.NewLessor = func(c lessor.Config) loop.Model { return lessor.New(lessor.WithFlaw(c, f)) }
	return h
}

// Breaks each safety rule in turn and checks that a property detects it: a rule
// that can be broken without a failing test is not tested.
func TestEachBrokenSafetyRuleIsDetected(t *testing.T) {
	for _, m := range mutants {
		t.Run(fmt.Sprintf("%s/%v", m.flaw, m.mode), func(t *testing.T) {
			t.Parallel()
			w := drawn(m.mode, m.history, lessor.Flaws[m.flaw]).run()
			all := strings.Join(w.Check(), "\n")
			assert.Assert(t, strings.Contains(all, m.property), "not noticed: %q", all)
			whole := drawn(m.mode, m.history, lessor.Flaws["none"]).run()
			assert.Equal(t, len(whole.Check()), 0, "the history is bad without the flaw")
		})
	}
}

// A server that is cut off from every entry VM serves until its lease ends on its own clock, which
// may run slower than the clock of the VM that waits. Without drift and margin in the wait, its
// keys move a few milliseconds too early.
func TestWaitCoversDriftOfClocks(t *testing.T) {
	for name, early := range map[string]bool{"none": false, "margin": true} {
		bad := 0
		for seed := range uint64(60) {
			o := world.Options{Seed: seed, VMs: 2, Servers: 2, Skew: 5}
			o.NewLessor = func(c lessor.Config) loop.Model { return lessor.New(lessor.WithFlaw(c, lessor.Flaws[name])) }
			w := world.New(o)
			w.Run(2 * time.Second)
			partitionAfterOrder(w)
			w.Run(4 * time.Second)
			assert.Equal(t, w.Store.Table().OwnerOf(0), ident.Server("s1"), "the keys must have moved")
			if len(w.Check()) > 0 {
				bad++
			}
		}
		t.Logf("%s: %d of 60 histories bad", name, bad)
		assert.Equal(t, bad > 0, early, name)
	}
}

// partitionAfterOrder cuts s0 off while an order is on its way to it. The order
// is obeyed and its answer lost: that leaves the longest lease that the holder
// must allow for.
func partitionAfterOrder(w *world.World) {
	for s := w.Servers[0]; ; w.Heal() {
		sent, end := w.Count.Orders, s.LeaseEnd()
		for w.Count.Orders == sent {
			w.Run(w.Now() + 100*time.Microsecond)
		}
		for _, v := range w.VMs {
			w.Partition(string(v.ID), string(s.Name), time.Minute)
		}
		w.Run(w.Now() + 2*time.Millisecond)
		if s.LeaseEnd() != end {
			return
		}
	}
}

// TestScanFlaws searches for histories for the table above; HAWTHORN_KILLS
// narrows it to one property, HAWTHORN_MODE to one mode
// ("checks=true,stand=false").
func TestScanFlaws(t *testing.T) {
	name := os.Getenv("HAWTHORN_SCAN")
	if name == "" {
		t.Skip("a tool: set HAWTHORN_SCAN to the name of a flaw")
	}
	for _, m := range modes {
		if only := os.Getenv("HAWTHORN_MODE"); only != "" && only != m.String() {
			continue
		}
		for i := range 3000 {
			bad := strings.Join(drawn(m, i, lessor.Flaws[name]).run().Check(), "; ")
			if bad != "" && strings.Contains(bad, os.Getenv("HAWTHORN_KILLS")) {
				t.Logf("%s %v history %d: %s", name, m, i, bad)
				break
			}
		}
	}
}
