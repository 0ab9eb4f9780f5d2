// Package sketch finds the few hot keys of a service among hundreds of millions,
// in bounded memory.
//
// The pattern it answers: one key (a busy scale, a ward under debate) gets a
// large share of the load and moves within minutes. Counting every key of 460
// million would take gigabytes on VMs with 64 MB; sampling alone misses keys
// that rise quickly. A Sketch keeps a fixed number of counters (the space-saving
// algorithm of Metwally, Agrawal and El Abbadi): a key that is not among them
// takes over the smallest, together with its count as the error that it may be
// overstated by. So every key whose true weight exceeds total/size is surely
// present, no count is ever too low, and none is too high by more than its error.
//
// Weights fade with a half-life, so that a key that was hot is forgotten, and
// the sketches of several entry VMs can be merged, since each sees only the part
// of the callers that the balancer gave it.
package sketch

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// DefaultSize counts keys at a thousandth of the load, with room: a server owns
// at least a five-hundredth of a service, and a key is of interest from a
// twentieth of a server's load on in the small services of today.
const DefaultSize = 1024

// DefaultHalf is the time in which a weight fades to its half: keys become hot
// within minutes, and a plan should neither follow seconds nor lag ten minutes.
const DefaultHalf = 30 * time.Second

// Count is one counter. Weights are sums of what was added, faded.
type Count[K comparable] struct {
	Key    K
	Weight float64 // never below the true weight
	Error  float64 // and above it by at most this
}

// Sketch counts keys of type K. Make one with New. It is not safe for use by
// several goroutines at once.
type Sketch[K comparable] struct {
	size  int
	half  time.Duration
	start time.Time // weights are kept as they would be at this moment
	total float64
	floor float64 // what a key that has no counter may have had before a merge
	heap  counters[K]
}

// New makes a sketch of at most size counters whose weights fade with the given
// half-life; zero takes the defaults.
func New[K comparable](size int, half time.Duration) *Sketch[K] {
	s := &Sketch[K]{size: cmp.Or(max(size, 0), DefaultSize), half: cmp.Or(max(half, 0), DefaultHalf)}
	s.heap.at = make(map[K]int, s.size)
	return s
}

// rescale bounds the growth of stored weights: instead of fading all counters at
// each addition, later additions are given more weight.
const rescale = 40 // half-lives

// factor returns what a weight of one at this time is stored as.
func (s *Sketch[K]) factor(now time.Time) float64 {
	if s.start.IsZero() {
		s.start = now
	}
	age := float64(now.Sub(s.start)) / float64(s.half)
	if age > rescale {
		s.scale(math.Exp2(-age))
		s.start, age = now, 0
	}
	return math.Exp2(age)
}

func (s *Sketch[K]) scale(f float64) {
	s.total *= f
	s.floor *= f
	for i := range s.heap.list {
		s.heap.list[i].Weight *= f
		s.heap.list[i].Error *= f
	}
}

// Add counts a key with a weight, for example the milliseconds that its request
// occupied a slot. Weights that are not positive are ignored.
func (s *Sketch[K]) Add(now time.Time, k K, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		return
	}
	w := weight * s.factor(now)
	s.total += w
	s.add(Count[K]{Key: k, Weight: w})
}

func (s *Sketch[K]) add(c Count[K]) {
	if i, ok := s.heap.at[c.Key]; ok {
		s.heap.list[i].Weight += c.Weight
		s.heap.list[i].Error += c.Error
		heap.Fix(&s.heap, i)
		return
	}
	if len(s.heap.list) < s.size {
		c.Weight += s.floor
		c.Error += s.floor
		heap.Push(&s.heap, c)
		return
	}
	least := &s.heap.list[0]
	delete(s.heap.at, least.Key)
	c.Error += least.Weight
	c.Weight += least.Weight
	*least = c
	s.heap.at[c.Key] = 0
	heap.Fix(&s.heap, 0)
}

// Total returns the weight of everything that was added, faded.
func (s *Sketch[K]) Total(now time.Time) float64 { return s.total / s.factor(now) }

// Len returns the number of counters in use.
func (s *Sketch[K]) Len() int { return len(s.heap.list) }

// Top returns up to n counters, the heaviest first.
func (s *Sketch[K]) Top(now time.Time, n int) []Count[K] {
	f := 1 / s.factor(now)
	all := slices.Clone(s.heap.list)
	slices.SortFunc(all, func(a, b Count[K]) int { return cmp.Compare(b.Weight, a.Weight) })
	all = all[:min(max(n, 0), len(all))]
	for i := range all {
		all[i].Weight *= f
		all[i].Error *= f
	}
	return all
}

// Hot returns the keys that surely have at least the given share of the total.
func (s *Sketch[K]) Hot(now time.Time, share float64) []Count[K] {
	least := share * s.Total(now)
	return slices.DeleteFunc(s.Top(now, s.Len()), func(c Count[K]) bool { return c.Weight-c.Error < least })
}

// Export is a sketch as it is sent to another VM: its heaviest counters, and the
// least weight, which bounds what a key that is missing here may have had.
type Export[K comparable] struct {
	Total     float64    `cbor:"total"`
	MinWeight float64    `cbor:"least"`
	List      []Count[K] `cbor:"list"`
}

// Export returns the n heaviest counters for another VM.
func (s *Sketch[K]) Export(now time.Time, n int) Export[K] {
	e := Export[K]{Total: s.Total(now), MinWeight: s.floor / s.factor(now), List: s.Top(now, n)}
	switch {
	case len(e.List) < s.Len() && len(e.List) == 0:
		e.MinWeight = s.Top(now, 1)[0].Weight
	case len(e.List) < s.Len() || s.Len() == s.size:
		e.MinWeight = max(e.MinWeight, e.List[len(e.List)-1].Weight)
	}
	return e
}

// Merge returns what several VMs saw together, as of now, in a sketch of the
// given size. The bounds hold for the sum: a key that one VM does not list may
// have had up to that VM's least weight there, which is added as an error.
func Merge[K comparable](now time.Time, size int, half time.Duration, parts ...Export[K]) *Sketch[K] {
	s := New[K](size, half)
	s.start = now
	sum := map[K]Count[K]{}
	unseen := 0.0
	for _, p := range parts {
		s.total += p.Total
		unseen += p.MinWeight
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
		c.Weight += unseen
		c.Error = max(0, c.Error+unseen)
		heap.Push(&s.heap, c)
	}
	s.floor = unseen
	return s
}

// counters is a heap, the smallest weight at the top, that knows where each key
// stands.
type counters[K comparable] struct {
	list []Count[K]
	at   map[K]int
}

// Len implements heap.Interface.
func (c *counters[K]) Len() int { return len(c.list) }

// Less implements heap.Interface.
func (c *counters[K]) Less(i, j int) bool { return c.list[i].Weight < c.list[j].Weight }

// Swap implements heap.Interface.
func (c *counters[K]) Swap(i, j int) {
	c.list[i], c.list[j] = c.list[j], c.list[i]
	c.at[c.list[i].Key], c.at[c.list[j].Key] = i, j
}

// Push implements heap.Interface.
func (c *counters[K]) Push(x any) {
	k := x.(Count[K])
	c.at[k.Key] = len(c.list)
	c.list = append(c.list, k)
}

// Pop implements heap.Interface; counters never shrink.
func (c *counters[K]) Pop() any { return nil }
