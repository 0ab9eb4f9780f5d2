package lessor_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

func newBatchingWriter(c commit.Config) loop.Model { return commit.New(c) }

// rebaseIgnoringEpoch applies an edit to a table whatever its minimum epoch.
func rebaseIgnoringEpoch(t table.Table, e table.Edit) (table.Table, error) {
	if r, ok := t.Row(e.Server); ok && len(e.Moves) > 0 {
		e.Epoch = r.MinEpoch
	}
	return t.WithEdit(e)
}

// rebaseIgnoringRev applies an edit to a table whatever the server's set.
func rebaseIgnoringRev(t table.Table, e table.Edit) (table.Table, error) {
	if r, ok := t.Row(e.Server); ok {
		e.Rev = r.Rev
	}
	return t.WithEdit(e)
}

// assumeWritten treats every write with an unknown outcome as done.
type assumeWritten struct{ loop.Model }

func (s assumeWritten) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	if m, ok := msg.(commit.WriteResultMsg); ok && m.Kind == kinds.Ambiguous {
		m.Kind, m.Version = kinds.None, m.Cmd.Old+1
		msg = m
	}
	next, cmds := s.Model.Update(now, msg)
	return assumeWritten{next}, cmds
}

// trustRefusal treats the coordinator's refusal, or its silence, as proof that
// the edit was not and will not be written.
type trustRefusal struct{ loop.Model }

func (s trustRefusal) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	next, cmds := s.Model.Update(now, msg)
	if _, wrote := msg.(commit.WriteResultMsg); wrote {
		return trustRefusal{next}, cmds
	}
	for i, c := range cmds {
		if a, ok := c.(commit.AnswerCmd); ok && a.Msg.Kind == kinds.Ambiguous {
			a.Msg.Kind = kinds.Unavailable
			cmds[i] = a
		}
	}
	return trustRefusal{next}, cmds
}

// batchingFlaws are writers with one rule broken.
var batchingFlaws = map[string]func(commit.Config) loop.Model{
	"none": newBatchingWriter,
	"bar": func(c commit.Config) loop.Model {
		c.Rebase = rebaseIgnoringEpoch
		return commit.New(c)
	},
	"row": func(c commit.Config) loop.Model {
		c.Rebase = rebaseIgnoringRev
		return commit.New(c)
	},
	"doubt": func(c commit.Config) loop.Model { return assumeWritten{commit.New(c)} },
	"trust": func(c commit.Config) loop.Model { return trustRefusal{commit.New(c)} },
}

func drawnBatched(checks bool, i int, flaw string) history {
	h := drawn(mode{Checks: checks}, i, 0)
	h.opt.NewWriter = batchingFlaws[flaw]
	return h
}

// batchingMutants names, for each broken rule of package commit, the property
// that detects it and a drawn history in which it does. HAWTHORN_JOIN=flaw
// finds new ones. The rule about the server's set is tested by
// TestAnEditOfAnEarlierSetIsRefused of package commit: a slice that moves away
// and comes back while an edit waits is too rare for drawn histories.
var batchingMutants = []struct {
	flaw     string
	checks   bool
	history  int
	property string
}{
	{"bar", false, 3769, "given away while"},
	{"bar", true, 48, "given away while"},
	{"doubt", false, 89, "which never was"},
	{"doubt", true, 6, "which never was"},
	{"trust", true, 352, "two owners"},
}

// Breaks each rule of batching in turn and checks that a property detects it: a
// rule that can be broken without a failing test is not tested.
func TestEachBrokenBatchingRuleIsDetected(t *testing.T) {
	for _, m := range batchingMutants {
		t.Run(fmt.Sprintf("%s/checks=%v", m.flaw, m.checks), func(t *testing.T) {
			t.Parallel()
			all := strings.Join(drawnBatched(m.checks, m.history, m.flaw).run().Check(), "\n")
			assert.Assert(t, strings.Contains(all, m.property), "not noticed: %q", all)
			whole := drawnBatched(m.checks, m.history, "none").run()
			assert.Equal(t, len(whole.Check()), 0, "the history is bad without the flaw")
		})
	}
}

// TestScanBatchingFlaws searches for histories for the table above.
func TestScanBatchingFlaws(t *testing.T) {
	name := os.Getenv("HAWTHORN_JOIN")
	if name == "" {
		t.Skip("a tool: set HAWTHORN_JOIN to the name of a flaw")
	}
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			t.Parallel()
			for i := range 3000 {
				bad := strings.Join(drawnBatched(checks, i, name).run().Check(), "; ")
				if bad != "" && strings.Contains(bad, os.Getenv("HAWTHORN_KILLS")) {
					t.Logf("%s checks=%v history %d: %s", name, checks, i, bad)
					return
				}
			}
		})
	}
}

// A request to the store was duplicated: the store refused the first copy and carried out the
// second a second later. Found by rapid seed 5170231746833311480; the fault was in the fake store,
// which promises that a call it refuses has no effect.
func TestDuplicatedRefusedWriteTakesNoEffect(t *testing.T) {
	const ms = time.Millisecond
	h := history{opt: world.Options{
		Seed: 491868, VMs: 3, Servers: 2, FenceChecks: true, Skew: 5, Term: shortTerm, NewWriter: newBatchingWriter,
	}}
	h.noise = world.Noise{
		Drop: 20, Duplicate: 20, Delay: 20, Stall: 1, MaxDelay: 1500 * ms, MaxStall: 3 * time.Second,
	}
	pause := fault{Kind: "pause", At: 300 * ms, For: 50 * ms}
	h.faults = []fault{
		pause, {Kind: "hot", At: 300 * ms, For: 50 * ms}, pause, pause, {Kind: "store", At: 300 * ms, For: 50 * ms},
	}
	w := h.run()
	bad := append(w.Check(), unserved(w)...)
	assert.Equal(t, len(bad), 0, "%v", bad)
}
