package cost

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

func caller(i int) ident.Caller { return ident.Caller("caller-" + strconv.Itoa(i)) }

// feed observes requests of 100 callers, ten a second, with service times of a gamma
// distribution.
func feed(b *Book, now time.Time, n int, q Request, mean time.Duration) time.Time {
	g := distuv.Gamma{Alpha: 2, Beta: 2 / mean.Seconds(), Src: rand.NewPCG(1, uint64(n))}
	for i := range n {
		now = now.Add(100 * time.Millisecond)
		q.Caller = caller(i % 100)
		b.ObserveRequest(now, q, seconds(g.Rand()), 1)
	}
	return now
}

func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got > want*7/10 && got < want*14/10, "%v, not near %v", got, want)
}

// Guards against one estimate for previews and downloads, and against none for a rule that
// was just added or a service that has just started.
func TestRulesHaveTheirOwnCost(t *testing.T) {
	var b Book
	assert.Equal(t, b.Estimate("download", 0), Estimate{Mean: DefaultMean, High: DefaultHigh})
	feed(&b, start, 80, Request{Rule: "download"}, 96*time.Millisecond)
	feed(&b, start, 80, Request{Rule: "preview"}, 480*time.Millisecond)
	assertNear(t, b.Estimate("download", 0).Mean, 96*time.Millisecond)
	assertNear(t, b.Estimate("preview", 0).Mean, 480*time.Millisecond)
	assertNear(t, b.Estimate("preview", 0).High, 1140*time.Millisecond)
	assert.Equal(t, b.Estimate("new", 0), b.Service())
}

// Guards against estimates that are the average of two kinds of requests of one rule that the
// size or the key tells apart, and against differences that are chance.
func TestSizesAndKeysCountWhereTheyDiffer(t *testing.T) {
	var b Book
	now := start
	for range 10 {
		now = feed(&b, now, 10, Request{Rule: "r", Size: 200, Key: "a"}, 50*time.Millisecond)
		now = feed(&b, now, 10, Request{Rule: "r", Size: 300, Key: "b"}, 50*time.Millisecond)
		now = feed(&b, now, 10, Request{Rule: "r", Size: 50 << 10}, 400*time.Millisecond)
		now = feed(&b, now, 10, Request{Rule: "keyed", Size: -1, Key: "hot"}, 600*time.Millisecond)
		now = feed(&b, now, 30, Request{Rule: "keyed", Size: -1}, 100*time.Millisecond)
	}
	assertNear(t, b.Estimate("r", 250).Mean, 50*time.Millisecond)
	assertNear(t, b.Estimate("r", 40<<10).Mean, 400*time.Millisecond)
	assertNear(t, b.EstimateRequest(Request{Rule: "keyed", Size: -1, Key: "hot"}).Mean, 600*time.Millisecond)
	assert.Equal(t, b.EstimateRequest(Request{Rule: "keyed", Size: -1, Key: "other"}), b.Estimate("keyed", -1))
}

// Guards against service times of fast and slow servers that are taken for different costs.
func TestCostsAreNormalisedBySpeed(t *testing.T) {
	var b Book
	for i := range 60 {
		speed := []float64{0.5, 2}[i%2]
		b.Observe(start, "r", 0, caller(i), seconds(0.1/speed), speed)
	}
	assertNear(t, b.Estimate("r", 0).High, 100*time.Millisecond)
}

// Guards against a cost that has changed and is not seen for minutes, and against the cost of
// a rare request that is forgotten.
func TestOldSamplesFade(t *testing.T) {
	var b Book
	now := feed(&b, start, 100, Request{Rule: "r"}, 100*time.Millisecond)
	now = feed(&b, now, 60, Request{Rule: "r"}, 300*time.Millisecond) // 6 s
	assert.Assert(t, b.Estimate("r", 0).Mean > 200*time.Millisecond)
	feed(&b, now.Add(time.Hour), 1, Request{Rule: "r"}, 300*time.Millisecond)
	assert.Assert(t, b.Estimate("r", 0).N >= minSamples)
}

// Guards against a caller whose requests are extreme and many, and set the cost of everybody's.
func TestOneCallerContributesAtMostAFifth(t *testing.T) {
	var b Book
	now := start
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		b.Observe(now, "r", 0, caller(i%50), 100*time.Millisecond, 1)
		for range 4 {
			b.Observe(now, "r", 0, "poison", 10*time.Second, 1)
		}
	}
	assert.Assert(t, b.Estimate("r", 0).Mean < 190*time.Millisecond, "%v", b.Estimate("r", 0).Mean)
	w := &b.rules["r"].all
	own, _ := w.count(w.samples[len(w.samples)-1].caller)
	assert.Assert(t, own*5 <= len(w.samples), "%d of %d", own, len(w.samples))
}

// Guards against memory that grows with names that callers choose, and against estimates that
// are not positive.
func TestMemoryIsBounded(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var b Book
		now := start
		for i := range rapid.IntRange(1, 600).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			q := Request{Rule: strconv.Itoa(i % 100), Key: ident.Key(strconv.Itoa(i)), Size: int64(1) << (i % 40), Caller: caller(i % 7)}
			b.ObserveRequest(now, q, time.Duration(rapid.IntRange(0, 1<<40).Draw(t, "work")), 1)
			e := b.EstimateRequest(q)
			assert.Assert(t, e.Mean > 0 && e.High >= e.Mean, "%+v", e)
		}
		assert.Assert(t, len(b.rules) <= maxRules)
		for _, r := range b.rules {
			assert.Assert(t, len(r.all.samples) <= ruleSamples && len(r.keys) <= maxKeys && len(r.sizes) <= maxSizes)
		}
	})
}

// BenchmarkObserve records a request of a rule with all its samples.
func BenchmarkObserve(b *testing.B) {
	var book Book
	now := start
	q := Request{Rule: "r", Size: 100}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		q.Caller = ident.Caller("caller-" + string(rune('a'+i%26)))
		book.ObserveRequest(now, q, time.Duration(i%100+1)*time.Millisecond, 1)
	}
}

// BenchmarkEstimate estimates a request.
func BenchmarkEstimate(b *testing.B) {
	var book Book
	feed(&book, start, 200, Request{Rule: "r", Size: 100}, 50*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		book.Estimate("r", 100)
	}
}
