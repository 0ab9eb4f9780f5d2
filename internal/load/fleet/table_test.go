package fleet

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func sampleOf(p ident.Process, sent int) Sample {
	return Sample{Server: p.Server, Incarnation: p.Incarnation, Sent: sent, Offered: 2 * sent, Answered: sent, Work: time.Duration(sent) * 120 * time.Millisecond}
}

func entryOf(list []Entry, p ident.Process) Entry {
	for _, e := range list {
		if e.Process() == p {
			return e
		}
	}
	return Entry{}
}

// Guards against rates that are wrong, also while the table is young.
func TestRatesAreThoseOfAllVMs(t *testing.T) {
	var table Table
	for i := range 40 {
		now := at(0.3 * float64(i+1))
		for range 10 { // VMs
			table.Merge(now, []Sample{sampleOf(one, 3)})
		}
		if i < 3 || i > 30 {
			list, _ := table.Since(now, 0)
			e := entryOf(list, one)
			if i > 30 {
				assert.Assert(t, math.Abs(e.Sent-100) < 15, "sent %v", e.Sent)
			}
			assert.Assert(t, e.Sent < 200 && e.Sent > 50, "sent %v after %d reports", e.Sent, i+1)
			assert.Assert(t, math.Abs(e.Offered-2*e.Sent) < 1e-6)
			assert.Assert(t, e.Work > 119*time.Millisecond && e.Work < 121*time.Millisecond)
		}
	}
}

// Guards against a VM that falls silent whose last report counts for good.
func TestTheSumsOfASilentVMDecay(t *testing.T) {
	var table Table
	table.Merge(at(0), []Sample{sampleOf(one, 100)})
	at1, _ := table.Since(at(10), 0)
	at2, _ := table.Since(at(11), 0)
	ratio := entryOf(at2, one).Sent / entryOf(at1, one).Sent
	assert.Assert(t, math.Abs(ratio-0.5) < 0.01, "ratio %v", ratio)
	table.Retain(at(120), func(ident.Process) bool { return true })
	list, _ := table.Since(at(120), 0)
	assert.Equal(t, len(list), 0)
}

// Guards against an older report that arrives late and replaces a newer one.
func TestTheNewestReportOfLoadHolds(t *testing.T) {
	var table Table
	table.Merge(at(1), []Sample{{Server: "s1", Incarnation: 7, Load: 3, LoadAge: 100 * time.Millisecond, ServedAge: 300 * time.Millisecond}})
	table.Merge(at(1.1), []Sample{{Server: "s1", Incarnation: 7, Load: 9, LoadAge: 500 * time.Millisecond, ServedAge: 900 * time.Millisecond}})
	list, _ := table.Since(at(1.2), 0)
	e := entryOf(list, one)
	assert.Equal(t, e.Load, 3)
	assert.Equal(t, e.LoadAge, 300*time.Millisecond)
	assert.Equal(t, e.ServedAge, 500*time.Millisecond)
}

// Guards against an earlier process of a server whose samples count for the next one.
func TestSamplesAreThoseOfOneProcess(t *testing.T) {
	var table Table
	table.Merge(at(1), []Sample{sampleOf(one, 100), {Server: "s1", Incarnation: 8, Sent: 1}})
	list, _ := table.Since(at(1), 0)
	assert.Assert(t, entryOf(list, ident.Process{Server: "s1", Incarnation: 8}).Sent < entryOf(list, one).Sent/50)
}

// Guards against lists that repeat what has not changed, and against servers that are never
// listed because others are busier.
func TestListsHoldChangesAndLeaveNobodyOut(t *testing.T) {
	var table Table
	var all []Sample
	for i := range 2 * MaxListed {
		all = append(all, sampleOf(ident.Process{Server: ident.Server(string(rune('a' + i)))}, 1+i))
	}
	seen := map[ident.Process]bool{}
	rev := uint64(0)
	for i := range 8 {
		now := at(float64(i))
		table.Merge(now, all)
		again, _ := table.Since(now, rev)
		list, next := table.Since(now, rev)
		assert.DeepEqual(t, again, list) // two VMs with the same revision get the same
		assert.Equal(t, len(list), MaxListed)
		rev = next
		for _, e := range list {
			seen[e.Process()] = true
		}
		if i == 0 {
			assert.Equal(t, list[0].Server, all[len(all)-1].Server, "the busiest comes first")
		}
	}
	assert.Equal(t, len(seen), len(all))
	list, _ := table.Since(at(9), rev)
	assert.Equal(t, len(list), 0)
}

// Guards against entries that are fresher than what was reported, whatever is reported when.
func TestEntriesAreNeverFresherThanTheSamples(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		var table Table
		now, newest := at(0), time.Time{}
		for range rapid.IntRange(1, 20).Draw(rt, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "passed")) * time.Millisecond)
			age := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "age")) * time.Millisecond
			table.Merge(now, []Sample{{Server: "s1", Load: 1, LoadAge: age}})
			if seen := now.Add(-age); seen.After(newest) {
				newest = seen
			}
			list, _ := table.Since(now, 0)
			assert.Equal(rt, list[0].LoadAge, now.Sub(newest))
		}
	})
}

// Guards against false evidence from one server, such as one that has hung.
func TestOneServerIsNoEvidence(t *testing.T) {
	var e Evidence
	for i := range 100 {
		assert.Assert(t, !e.Add(at(float64(i)), "search", "s1", 1))
	}
	assert.Assert(t, !e.Add(at(100), "download", "s2", 2), "another service")
	assert.Assert(t, !e.Add(at(100), "search", "s2", 0))
	assert.Assert(t, e.Add(at(101), "search", "s2", 1))
}

// Guards against single faults hours apart that add up to evidence.
func TestOldEvidenceIsForgotten(t *testing.T) {
	var e Evidence
	assert.Assert(t, !e.Add(at(0), "search", "s1", 2))
	assert.Assert(t, !e.Add(at(3600), "search", "s2", 2))
	assert.Assert(t, e.Add(at(3601), "search", "s1", 1))
}

// The cost of a report of 20 servers on the leader.
func BenchmarkMerge(b *testing.B) {
	var table Table
	var all []Sample
	for i := range 20 {
		all = append(all, sampleOf(ident.Process{Server: ident.Server(string(rune('a' + i)))}, 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Merge(start, all)
	}
}
