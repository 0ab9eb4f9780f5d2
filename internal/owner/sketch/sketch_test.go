package sketch

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var t0 = time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)

// exactCounts counts without a limit, as a reference.
type exactCounts struct {
	updated  time.Time
	halfLife time.Duration
	sums     map[int]float64
	total    float64
}

func (e *exactCounts) add(now time.Time, k int, w float64) {
	f := math.Exp2(-float64(now.Sub(e.updated)) / float64(e.halfLife))
	for i := range e.sums {
		e.sums[i] *= f
	}
	e.total = e.total*f + w
	e.sums[k] += w
	e.updated = now
}

// drawSketch makes the same random additions to a sketch and to the reference.
func drawSketch(t *rapid.T, end time.Time) (*Sketch[int], *exactCounts) {
	s := New[int](rapid.IntRange(1, 8).Draw(t, "size"), 10*time.Second)
	e := &exactCounts{updated: t0, halfLife: 10 * time.Second, sums: map[int]float64{}}
	now := t0
	for range rapid.IntRange(0, 80).Draw(t, "adds") {
		step := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 3000, 30_000}).Draw(t, "ms")) * time.Millisecond
		if now.Add(step).After(end) {
			break
		}
		now = now.Add(step)
		k := rapid.SampledFrom([]int{1, 1, 1, 2, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}).Draw(t, "key")
		w := float64(rapid.IntRange(1, 20).Draw(t, "weight"))
		s.Add(now, k, w)
		e.add(now, k, w)
	}
	e.add(end, 0, 0)
	return s, e
}

const tolerance = 1e-6

// checkBounds checks the guarantees of the package for one sketch.
func checkBounds(t *rapid.T, s *Sketch[int], now time.Time, sums map[int]float64, total float64) {
	assert.Assert(t, math.Abs(s.Total(now)-total) <= tolerance*(1+total), "%v %v", s.Total(now), total)
	listed := map[int]bool{}
	for _, c := range s.Top(now, s.Len()) {
		listed[c.Key] = true
		assert.Assert(t, sums[c.Key] <= c.Weight+tolerance, "key %d: true %v, counted %+v", c.Key, sums[c.Key], c)
		assert.Assert(t, sums[c.Key] >= c.Weight-c.Error-tolerance, "key %d: true %v, counted %+v", c.Key, sums[c.Key], c)
	}
	minWeight := s.Export(now, s.Len()).MinWeight
	for k, w := range sums {
		assert.Assert(t, listed[k] || w <= minWeight+tolerance, "key %d with %v of %v is missing, least %v", k, w, total, minWeight)
	}
}

func TestCountsAreNeverTooLowAndHeavyKeysNeverMissing(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		end := t0.Add(20 * time.Minute)
		s, e := drawSketch(t, end)
		checkBounds(t, s, end, e.sums, e.total)
		assert.Assert(t, s.Len() <= s.size)
		for k, w := range e.sums {
			if w <= e.total/float64(s.size)+tolerance {
				continue
			}
			found := false
			for _, c := range s.Top(end, s.Len()) {
				found = found || c.Key == k
			}
			assert.Assert(t, found, "key %d has %v of %v", k, w, e.total)
		}
		for _, c := range s.Hot(end, 0.2) {
			assert.Assert(t, e.sums[c.Key] >= 0.2*e.total-tolerance)
		}
	})
}

// Each entry VM sees only part of the callers. The guarantees must hold for the sum of merged
// sketches, also when only their heaviest counters are sent and after further additions.
func TestMergedSketchesKeepTheirBounds(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		end := t0.Add(time.Minute)
		sums, total := map[int]float64{}, 0.0
		var parts []Export[int]
		for range rapid.IntRange(1, 4).Draw(t, "vms") {
			s, e := drawSketch(t, end)
			parts = append(parts, s.Export(end, rapid.IntRange(0, 8).Draw(t, "sent")))
			total += e.total
			for k, w := range e.sums {
				sums[k] += w
			}
		}
		m := Merge(end, rapid.IntRange(1, 12).Draw(t, "size"), 10*time.Second, parts...)
		checkBounds(t, m, end, sums, total)
		later := end.Add(time.Duration(rapid.SampledFrom([]int{0, 3, 600}).Draw(t, "later")) * time.Second)
		decay := math.Exp2(-later.Sub(end).Seconds() / 10)
		for k := range sums {
			sums[k] *= decay
		}
		m.Add(later, 99, 5)
		sums[99] += 5
		checkBounds(t, m, later, sums, total*decay+5)
		for _, c := range m.Top(later, m.Len()) {
			assert.Assert(t, decay == 1 || c.Key != 99 || c.Error <= decay*total+tolerance, "%+v", c)
		}
	})
}

// A key that was hot an hour ago must not rank above one that is hot now, or plans would keep
// moving the wrong key.
func TestOldWeightsDecay(t *testing.T) {
	s := New[ident.Key](4, 30*time.Second)
	for range 1000 {
		s.Add(t0, "old", 1)
	}
	now := t0.Add(time.Hour)
	s.Add(now, "new", 1)
	top := s.Top(now, 2)
	assert.Equal(t, top[0].Key, ident.Key("new"))
	assert.Assert(t, s.Total(now) < 1.001)
	s.Add(now, "bad", math.NaN())
	s.Add(now, "bad", math.Inf(1))
	s.Add(now, "bad", -1)
	assert.Equal(t, s.Len(), 2)
}

func TestAMillionKeysTakeBoundedMemory(t *testing.T) {
	s := New[ident.Key](0, 0)
	r := rand.New(rand.NewPCG(1, 2))
	hot := ident.Key("key 3")
	for i := range 1_000_000 {
		k := ident.Key("key " + strconv.Itoa(i))
		if r.IntN(20) == 0 {
			k = hot
		}
		s.Add(t0.Add(time.Duration(i)*time.Microsecond), k, 1)
	}
	now := t0.Add(time.Second)
	assert.Equal(t, s.Len(), DefaultSize)
	assert.Equal(t, cap(s.heap.list) < 2*DefaultSize, true)
	found := s.Hot(now, 0.04)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Key, hot)
	raw, err := wire.Encode(s.Export(now, 32))
	assert.NilError(t, err)
	t.Logf("export of 32 counters: %d bytes", len(raw))
}

// BenchmarkAdd counts a Zipf load over ten million keys.
func BenchmarkAdd(b *testing.B) {
	s := New[ident.Key](0, 0)
	z := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 10, 10_000_000)
	keys := make([]ident.Key, 1<<16)
	for i := range keys {
		keys[i] = ident.Key("scale-" + strconv.FormatUint(z.Uint64(), 10))
	}
	b.ReportAllocs()
	now := t0
	i := 0
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.Add(now, keys[i%len(keys)], 1)
		i++
	}
}
