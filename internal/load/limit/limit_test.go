package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1000, 0)

func feed(l *Limit, now time.Time, batches int, latency time.Duration) {
	for range batches * Batch {
		l.MarkLimited()
		l.Observe(now, latency)
	}
}

func fresh() *Limit {
	var l Limit
	l.SetBounds(4, 10, 10)
	return &l
}

// Whatever is observed and reported, the limit stays between one and slots+1:
// below one an entry VM would be shut out, above it would flood the server.
func TestLimitStaysInBounds(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		l := &Limit{}
		slots, vms, conns := rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "vms"), rapid.IntRange(1, 20).Draw(t, "conns")
		l.SetBounds(slots, vms, conns)
		now := begin
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.MarkRefused()
			case 1:
				l.Report(now, rapid.Float64Range(0, 30).Draw(t, "crowd"))
			case 2:
				l.MarkLimited()
			default:
				l.Observe(now, time.Duration(rapid.IntRange(1, 500).Draw(t, "latency"))*time.Millisecond)
			}
			assert.Assert(t, l.Max() >= 1 && l.Max() <= max(min(slots+1, conns), 1))
		}
	})
}

// Ten VMs crowd a server: answers take five times as long. The limit must fall
// to one, and rise again when the server answers quickly; the VM would otherwise
// stay slow long after the crowd has gone.
func TestLimitFallsAndRecovers(t *testing.T) {
	l := fresh()
	feed(l, begin, 5, 8*time.Millisecond)
	feed(l, begin, 5, 40*time.Millisecond)
	assert.Equal(t, l.Max(), 1)
	feed(l, begin, 3, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2)
	for range 100 {
		l.MarkRefused()
	}
	feed(l, begin, 2, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "many refusals took longer to forget than a few")
}

// A VM starts while the server is crowded, and takes its slow answers for the
// usual ones. The server's report must keep it from growing beyond its share.
func TestLearningUnderACrowdDoesNotGrow(t *testing.T) {
	l := fresh()
	for i := range 50 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		l.Report(now, 7)
		feed(l, now, 1, 60*time.Millisecond)
	}
	assert.Equal(t, l.Max(), 1)
}

// All other VMs are quiet: a busy one may use the whole server, if and only if
// both signs agree, and not on an old report.
func TestSpareSlotsAreLentOnBothSigns(t *testing.T) {
	l := fresh()
	feed(l, begin, 5, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "grew without a report")
	l.Report(begin, 0.5)
	feed(l, begin.Add(2*Fresh), 5, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "grew on an old report")
	feed(l, begin, 5, 8*time.Millisecond)
	assert.Equal(t, l.Max(), 5)
	feed(l, begin, 1, 18*time.Millisecond)
	assert.Equal(t, l.Max(), 2, "did not give back")
}

// A server turns requests away, once or a hundred times in a row. The limit must
// never be below one place in its own account either: each refusal beyond the
// first few would otherwise be paid back one by one, and the VM would stay at a
// single place for minutes after the server has recovered.
func TestNoNumberOfCutsIsOwed(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots, vms := rapid.IntRange(2, 8).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "vms")
		var l Limit
		l.SetBounds(slots, vms, 100)
		share := l.Max()
		feed(&l, begin, 1, 8*time.Millisecond)
		for range rapid.IntRange(20, 200).Draw(t, "cuts") {
			if rapid.Bool().Draw(t, "refused") {
				l.MarkRefused()
			} else {
				l.Report(begin, Crowd)
			}
			assert.Assert(t, l.value >= minimum, "%v", l.value)
		}
		assert.Equal(t, l.Max(), 1)
		later := begin.Add(2 * Fresh)
		for want := 2; want <= share; want++ {
			feed(&l, later, 1, 8*time.Millisecond)
			assert.Equal(t, l.Max(), want, "one good batch, one place")
		}
	})
}

// Before anything is known of a server, and after any bad news of it, one
// request is allowed.
func TestTheZeroLimitAllowsOne(t *testing.T) {
	var l Limit
	assert.Equal(t, l.Max(), 1)
	l.MarkRefused()
	assert.Equal(t, l.Max(), 1)
	l.Report(begin, 10)
	assert.Equal(t, l.Max(), 1)
}
