// Package sketch finds the few hot keys of a service among hundreds of millions, in bounded
// memory.
//
// A single key (a busy scale, a ward under debate) can get a large share of the load, and
// which one it is changes within minutes. Counting each of 460 million keys would take
// gigabytes on VMs with 64 MB; sampling alone misses keys whose load rises quickly. A Sketch
// keeps a fixed number of counters (the space-saving algorithm of Metwally, Agrawal and El
// Abbadi): a key without a counter takes over the one with the lowest count, and that count
// becomes the error by which the key may be overestimated. So every key whose true weight
// exceeds total/size has a counter, no count is ever too low, and none is too high by more
// than its error.
//
// Weights decay with a half-life, so that formerly hot keys are forgotten. The sketches of
// several entry VMs can be merged, since each VM sees only the callers that the load
// balancer assigned to it.
package sketch

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// DefaultSize counts keys with a thousandth of the load, with room to spare: a server owns at
// least a five-hundredth of a service, and in the small services of today a key matters from
// a twentieth of a server's load.
const DefaultSize = 1024

// DefaultHalfLife is the half-life of weights: keys become hot within minutes, and a plan
// should neither follow seconds nor lag by ten minutes.
const DefaultHalfLife = 30 * time.Second

// Count is one counter. Weights are decayed sums of what was added.
type Count[K comparable] struct {
	Key    K
	Weight float64 // never below the true weight
	Error  float64 // the most by which Weight may exceed it
}

// Sketch counts keys of type K. Create one with New. It is not safe for concurrent use.
type Sketch[K comparable] struct {
	size         int
	halfLife     time.Duration
	origin       time.Time // weights are stored as of this time
	total        float64
	missingBound float64 // weight that a key without a counter may have from before a merge
	heap         counters[K]
}

// New returns a sketch with at most size counters whose weights decay with the given
// half-life; zero means the default.
func New[K comparable](size int, halfLife time.Duration) *Sketch[K] {
	s := &Sketch[K]{size: cmp.Or(max(size, 0), DefaultSize), halfLife: cmp.Or(max(halfLife, 0), DefaultHalfLife)}
	s.heap.index = make(map[K]int, s.size)
	return s
}

// rescaleAfter limits the growth of stored weights. Instead of decaying all counters at each
// addition, later additions get a larger weight.
const rescaleAfter = 40 // half-lives

// scaleFactor returns the stored weight of an addition of weight one at the given time.
func (s *Sketch[K]) scaleFactor(now time.Time) float64 {
	if s.origin.IsZero() {
		s.origin = now
	}
	age := float64(now.Sub(s.origin)) / float64(s.halfLife)
	if age > rescaleAfter {
		s.scale(math.Exp2(-age))
		s.origin, age = now, 0
	}
	return math.Exp2(age)
}

func (s *Sketch[K]) scale(f float64) {
	s.total *= f
	s.missingBound *= f
	for i := range s.heap.list {
		s.heap.list[i].Weight *= f
		s.heap.list[i].Error *= f
	}
}

// Add counts a key with a weight, for example the milliseconds for which its request occupied
// a slot. Weights that are not positive and finite are ignored.
func (s *Sketch[K]) Add(now time.Time, k K, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		return
	}
	w := weight * s.scaleFactor(now)
	s.total += w
	s.add(Count[K]{Key: k, Weight: w})
}

func (s *Sketch[K]) add(c Count[K]) {
	if i, ok := s.heap.index[c.Key]; ok {
		s.heap.list[i].Weight += c.Weight
		s.heap.list[i].Error += c.Error
		heap.Fix(&s.heap, i)
		return
	}
	if len(s.heap.list) < s.size {
		c.Weight += s.missingBound
		c.Error += s.missingBound
		heap.Push(&s.heap, c)
		return
	}
	minimum := &s.heap.list[0]
	delete(s.heap.index, minimum.Key)
	c.Error += minimum.Weight
	c.Weight += minimum.Weight
	*minimum = c
	s.heap.index[c.Key] = 0
	heap.Fix(&s.heap, 0)
}

// Total returns the decayed weight of all additions.
func (s *Sketch[K]) Total(now time.Time) float64 { return s.total / s.scaleFactor(now) }

// Len returns the number of counters in use.
func (s *Sketch[K]) Len() int { return len(s.heap.list) }

// Top returns up to n counters, the heaviest first.
func (s *Sketch[K]) Top(now time.Time, n int) []Count[K] {
	f := 1 / s.scaleFactor(now)
	all := slices.Clone(s.heap.list)
	slices.SortFunc(all, func(a, b Count[K]) int { return cmp.Compare(b.Weight, a.Weight) })
	all = all[:min(max(n, 0), len(all))]
	for i := range all {
		all[i].Weight *= f
		all[i].Error *= f
	}
	return all
}

// Hot returns the keys that certainly have at least the given share of the total.
func (s *Sketch[K]) Hot(now time.Time, share float64) []Count[K] {
	minimum := share * s.Total(now)
	return slices.DeleteFunc(s.Top(now, s.Len()), func(c Count[K]) bool { return c.Weight-c.Error < minimum })
}

// Export is the form in which a sketch is sent to another VM: its heaviest counters, and the
// highest weight that a key which is not listed may have.
type Export[K comparable] struct {
	Total     float64    `cbor:"total"`
	MinWeight float64    `cbor:"least"`
	List      []Count[K] `cbor:"list"`
}

// Export returns the n heaviest counters for another VM.
func (s *Sketch[K]) Export(now time.Time, n int) Export[K] {
	e := Export[K]{Total: s.Total(now), MinWeight: s.missingBound / s.scaleFactor(now), List: s.Top(now, n)}
	switch {
	case len(e.List) < s.Len() && len(e.List) == 0:
		e.MinWeight = s.Top(now, 1)[0].Weight
	case len(e.List) < s.Len() || s.Len() == s.size:
		e.MinWeight = max(e.MinWeight, e.List[len(e.List)-1].Weight)
	}
	return e
}

// Merge combines the sketches of several VMs, as of now, in a sketch of the given size. The
// bounds hold for the sum: a key that a VM does not list may have up to that VM's MinWeight
// there, which is added as an error.
func Merge[K comparable](now time.Time, size int, halfLife time.Duration, parts ...Export[K]) *Sketch[K] {
	s := New[K](size, halfLife)
	s.origin = now
	sum := map[K]Count[K]{}
	missing := 0.0
	for _, p := range parts {
		s.total += p.Total
		missing += p.MinWeight
		for _, c := range p.List {
			x := sum[c.Key]
			x.Key = c.Key
			x.Weight += c.Weight - p.MinWeight
			x.Error += c.Error - p.MinWeight
			sum[c.Key] = x
		}
	}
	all := slices.Collect(maps.Values(sum))
	slices.SortFunc(all, func(a, b Count[K]) int { return cmp.Compare(b.Weight, a.Weight) })
	for _, c := range all[:min(len(all), s.size)] {
		c.Weight += missing
		c.Error = max(0, c.Error+missing)
		heap.Push(&s.heap, c)
	}
	s.missingBound = missing
	return s
}

// counters is a heap with the lowest weight at the top, and an index of the position of each
// key.
type counters[K comparable] struct {
	list  []Count[K]
	index map[K]int
}

// Len implements heap.Interface.
func (c *counters[K]) Len() int { return len(c.list) }

// Less implements heap.Interface.
func (c *counters[K]) Less(i, j int) bool { return c.list[i].Weight < c.list[j].Weight }

// Swap implements heap.Interface.
func (c *counters[K]) Swap(i, j int) {
	c.list[i], c.list[j] = c.list[j], c.list[i]
	c.index[c.list[i].Key], c.index[c.list[j].Key] = i, j
}

// Push implements heap.Interface.
func (c *counters[K]) Push(x any) {
	k := x.(Count[K])
	c.index[k.Key] = len(c.list)
	c.list = append(c.list, k)
}

// Pop implements heap.Interface; counters never shrinks.
func (c *counters[K]) Pop() any { return nil }
