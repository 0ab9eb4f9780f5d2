// Package cost learns what a request costs: the service time that requests of a rule take on a
// server of speed 1.
//
// The load pattern: requests of 96 ms and of 480 ms share the servers of one service, and one
// service time is 0.7 of its mean away from it. The average of all requests is wrong for both
// kinds, and a server with three short requests looks as busy as one with three long ones.
//
// [Book] keeps the newest service times by rule, by size of the body and by key, and by
// service for rules that it does not know. Sizes and keys are used only where their mean
// differs from that of the rule by more than chance explains. What remains is not predictable:
// the 1 to 3 requests in 100 that take 3 to 7 times the mean look like the others.
package cost

import (
	"hash/maphash"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Estimates of a service without any samples. A mean that is too high only delays the
// detection of a stalled attempt; all servers are compared with the same mean.
const (
	DefaultMean = 100 * time.Millisecond
	DefaultHigh = 250 * time.Millisecond
)

// Bounds of the memory: 21 KB a rule, 1.4 MB a service.
const (
	maxRules       = 64
	maxSizes       = 8 // size classes of a rule
	maxKeys        = 16
	ruleSamples    = 128
	sizeSamples    = 32
	keySamples     = 32
	priorSamples   = 2 // samples for which the estimate of the service counts in that of a rule
	minPartSamples = 12
)

// A part of a rule's requests (a size class, a key) has an estimate of its own if its mean
// differs from that of the rule by this many standard errors and by minDifference. Keys are
// many, and one in a hundred differs by 2.6 errors by chance.
const (
	sizeErrors    = 2.5
	keyErrors     = 3.5
	minDifference = 0.2
)

// Estimate is the expected service time of a request on a server of speed 1.
type Estimate struct {
	Mean time.Duration
	High time.Duration // 95th percentile
	N    int           // samples that it is based on; zero for a default
}

// Request is what is known of a request before it is sent.
type Request struct {
	Rule   string
	Key    ident.Key // empty if it has none
	Size   int64     // of the body; below zero if unknown
	Caller ident.Caller
}

// Book holds the costs of one service's requests. The zero value is empty and ready to use. It
// is not safe for concurrent use.
type Book struct {
	seed  maphash.Seed // callers must not be able to choose names with equal hashes
	rules map[string]*rule
	all   window
}

// rule holds the samples of one rule.
type rule struct {
	all   window
	sizes map[int]*window
	keys  map[ident.Key]*window
}

// Observe records the service time of a request on a server of a speed.
func (b *Book) Observe(now time.Time, name string, size int64, caller ident.Caller, work time.Duration, speed float64) {
	b.ObserveRequest(now, Request{Rule: name, Size: size, Caller: caller}, work, speed)
}

// ObserveRequest records the service time of a request on a server of a speed.
func (b *Book) ObserveRequest(now time.Time, q Request, work time.Duration, speed float64) {
	if work <= 0 || speed <= 0 || math.IsInf(speed, 1) || math.IsNaN(speed) {
		return
	}
	if b.rules == nil {
		b.rules, b.seed = map[string]*rule{}, maphash.MakeSeed()
	}
	s := sample{cost: work.Seconds() * speed, at: now.UnixNano(), caller: uint32(maphash.String(b.seed, string(q.Caller)))}
	b.all.add(s, ruleSamples)
	r := b.rules[q.Rule]
	if r == nil {
		evictOldest(b.rules, maxRules, func(r *rule) int64 { return r.all.newest })
		r = &rule{sizes: map[int]*window{}, keys: map[ident.Key]*window{}}
		b.rules[q.Rule] = r
	}
	r.all.add(s, ruleSamples)
	if q.Size >= 0 {
		partOf(r.sizes, sizeClass(q.Size), maxSizes).add(s, sizeSamples)
	}
	if q.Key != "" {
		partOf(r.keys, q.Key, maxKeys).add(s, keySamples)
	}
}

// Estimate returns the cost of a request of a rule with a body of a size.
func (b *Book) Estimate(name string, size int64) Estimate {
	return b.EstimateRequest(Request{Rule: name, Size: size})
}

// EstimateRequest returns the cost of a request.
func (b *Book) EstimateRequest(q Request) Estimate {
	r := b.rules[q.Rule]
	if r == nil {
		return b.Service()
	}
	if q.Key != "" {
		if w := r.keys[q.Key]; w.differs(&r.all, keyErrors) {
			return w.estimate()
		}
	}
	if q.Size >= 0 {
		if w := r.sizes[sizeClass(q.Size)]; w.differs(&r.all, sizeErrors) {
			return w.estimate()
		}
	}
	return r.all.estimate().mix(b.Service())
}

// Service returns the cost of a request of the service, whatever its rule.
func (b *Book) Service() Estimate {
	if b.all.n == 0 {
		return Estimate{Mean: DefaultMean, High: DefaultHigh}
	}
	return b.all.estimate()
}

// RuleEstimate is the estimate of a rule.
type RuleEstimate struct {
	Rule string `json:"rule"`
	Estimate
}

// Rules returns the estimates of all rules, by name.
func (b *Book) Rules() []RuleEstimate {
	list := make([]RuleEstimate, 0, len(b.rules))
	for name := range b.rules {
		list = append(list, RuleEstimate{name, b.Estimate(name, -1)})
	}
	slices.SortFunc(list, func(x, y RuleEstimate) int { return strings.Compare(x.Rule, y.Rule) })
	return list
}

// mix weighs an estimate that is based on few samples with that of the service.
func (e Estimate) mix(service Estimate) Estimate {
	share := float64(e.N) / float64(e.N+priorSamples)
	blend := func(own, other time.Duration) time.Duration {
		return other + time.Duration(share*float64(own-other))
	}
	return Estimate{Mean: blend(e.Mean, service.Mean), High: blend(e.High, service.High), N: e.N}
}

// sizeClass returns the class of a body: sizes of one class differ by less than a factor of 4.
func sizeClass(size int64) int { return (bits.Len64(uint64(size)) + 1) / 2 }

// partOf returns the window of a part of the requests, which replaces the one that was unused
// for longest if there are too many.
func partOf[K comparable](m map[K]*window, k K, most int) *window {
	w := m[k]
	if w == nil {
		evictOldest(m, most, func(w *window) int64 { return w.newest })
		w = &window{}
		m[k] = w
	}
	return w
}

// evictOldest makes room for another entry in a map of bounded size.
func evictOldest[K comparable, V any](m map[K]V, most int, usedAt func(V) int64) {
	if len(m) < most {
		return
	}
	var oldest K
	at := int64(math.MaxInt64)
	for k, v := range m {
		if t := usedAt(v); t < at {
			oldest, at = k, t
		}
	}
	delete(m, oldest)
}
