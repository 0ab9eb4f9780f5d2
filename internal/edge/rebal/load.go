package rebal

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/place"
	"hawthornfield.org/hawthornfield/internal/owner/sketch"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Limits of what one VM reports about a service.
const (
	maxReportedSlices = 256
	maxReportedKeys   = 32
	// hotShare is the share of a service's load from which a key is planned apart from
	// its slice.
	hotShare = 0.005
)

// halfLife is the time in which the weight of a past request halves.
const halfLife = 30 * time.Second

// loadCounts is what one VM counted: a weight for each slice, and a sketch of hot
// keys.
type loadCounts struct {
	slices    []float64
	total     float64
	decayedAt time.Time
	hot       *sketch.Sketch[ident.Key]
}

func newLoadCounts(n uint32) *loadCounts {
	return &loadCounts{slices: make([]float64, n), hot: sketch.New[ident.Key](0, halfLife)}
}

// decayPeriod is how often the weights of slices decay, all at once.
const decayPeriod = time.Second

func (c *loadCounts) add(now time.Time, x ident.Slice, key ident.Key) {
	c.decay(now)
	if int(x) < len(c.slices) {
		c.slices[x]++
		c.total++
	}
	c.hot.Add(now, key, 1)
}

func (c *loadCounts) decay(now time.Time) {
	if c.decayedAt.IsZero() {
		c.decayedAt = now
	}
	elapsed := now.Sub(c.decayedAt)
	if elapsed < decayPeriod {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	for x := range c.slices {
		c.slices[x] *= factor
	}
	c.total *= factor
	c.decayedAt = now
}

// sliceLoad is the weight of one slice.
type sliceLoad struct {
	Slice  ident.Slice `cbor:"at"`
	Weight float64     `cbor:"w"`
}

// report is what one VM tells the planning VM about a service: its heaviest slices
// and keys, and the total weight. The remaining weight is taken to be spread evenly
// over the other slices.
type report struct {
	Total float64                  `cbor:"total"`
	Top   []sliceLoad              `cbor:"top"`
	Hot   sketch.Export[ident.Key] `cbor:"hot"`
}

func (c *loadCounts) report(now time.Time) report {
	c.decay(now)
	all := make([]sliceLoad, 0, len(c.slices))
	for x, w := range c.slices {
		if w > 0 {
			all = append(all, sliceLoad{ident.Slice(x), w})
		}
	}
	slices.SortFunc(all, func(a, b sliceLoad) int { return cmp.Compare(b.Weight, a.Weight) })
	return report{Total: c.total, Top: slices.Clip(all[:min(len(all), maxReportedSlices)]), Hot: c.hot.Export(now, maxReportedKeys)}
}

// valid refuses numbers that would corrupt every plan.
func (r *report) valid(n uint32) bool {
	ok := validWeight(r.Total) && validWeight(r.Hot.Total) && validWeight(r.Hot.MinWeight) && len(r.Top) <= maxReportedSlices && len(r.Hot.List) <= maxReportedKeys
	for _, s := range r.Top {
		ok = ok && validWeight(s.Weight) && uint32(s.Slice) < n
	}
	for _, k := range r.Hot.List {
		ok = ok && validWeight(k.Weight) && validWeight(k.Error)
	}
	return ok
}

// maxWeight is above any weight that a correct VM can count, and far enough below
// the largest float that sums of weights stay finite.
const maxWeight = 1e12

// validWeight reports whether a correct VM can have counted w; NaN is refused.
func validWeight(w float64) bool { return w >= 0 && w <= maxWeight }

// merged adds up the counts of this VM and of all VMs that reported within
// reportTTL.
func (l *serviceLoad) merged(now time.Time) (weights []float64, hot []place.Hot, total float64) {
	l.own.decay(now)
	weights, total = slices.Clone(l.own.slices), l.own.total
	exports := []sketch.Export[ident.Key]{l.own.hot.Export(now, maxReportedKeys)}
	for vm, p := range l.reports {
		if now.Sub(p.received) > reportTTL {
			delete(l.reports, vm)
			continue
		}
		p.addTo(weights)
		total += p.Total
		exports = append(exports, p.Hot)
	}
	keys := sketch.Merge(now, 0, halfLife, exports...)
	for _, c := range keys.Hot(now, hotShare) {
		hot = append(hot, place.Hot{Key: c.Key, Slice: ident.SliceOf(c.Key, l.svc.Slices), Load: c.Weight})
	}
	return weights, hot, total
}

// addTo adds the reported weights to those of all slices.
func (p *peerReport) addTo(weights []float64) {
	rest := p.Total
	for _, s := range p.Top {
		weights[s.Slice] += s.Weight
		rest -= s.Weight
	}
	if left := len(weights) - len(p.Top); left > 0 && rest > 0 {
		each := rest / float64(left)
		listed := make(map[ident.Slice]bool, len(p.Top))
		for _, s := range p.Top {
			listed[s.Slice] = true
		}
		for x := range weights {
			if !listed[ident.Slice(x)] {
				weights[x] += each
			}
		}
	}
}

// input describes the service to the planner.
func (l *serviceLoad) input(tab table.Table, weights []float64, hot []place.Hot, accepting func(ident.Server) bool) place.Input {
	n := int(tab.Slices())
	in := place.Input{Owners: make([]ident.Server, n), Loads: weights, Hot: withKeyOwners(tab, hot)}
	for x := range n {
		in.Owners[x] = tab.OwnerOf(ident.Slice(x))
	}
	for _, s := range l.svc.Servers {
		in.Servers = append(in.Servers, place.Server{
			ID: s.Name, Centre: s.Centre, Weight: float64(s.Slots), Accepting: accepting(s.Name),
		})
	}
	w := l.svc.Weight
	in.Band = place.BandFor(place.Weights{Imbalance: w.Imbalance, Churn: w.Churn, Unavailable: w.Unavailable}, n)
	return in
}

// withKeyOwners adds the owners of keys that are owned apart from their slice,
// including keys that are no longer hot.
func withKeyOwners(tab table.Table, hot []place.Hot) []place.Hot {
	all := slices.Clone(hot)
	for _, h := range tab.Hot {
		i := slices.IndexFunc(all, func(p place.Hot) bool { return p.Key == h.Key })
		if i < 0 {
			all = append(all, place.Hot{Key: h.Key, Slice: ident.SliceOf(h.Key, tab.Slices())})
			i = len(all) - 1
		}
		all[i].Owner = h.Server
	}
	return all
}
