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

// Bounds of what one VM reports of a service.
const (
	topSlices = 256
	topKeys   = 32
	// hotShare is the share of a service's load from which a key is looked at by
	// itself.
	hotShare = 0.005
)

// half is the time in which a count fades to its half.
const half = 30 * time.Second

// counts are one VM's: a weight for each slice, and a sketch of hot keys.
type counts struct {
	slices []float64
	total  float64
	faded  time.Time
	hot    *sketch.Sketch[ident.Key]
}

func newCounts(n uint32) *counts {
	return &counts{slices: make([]float64, n), hot: sketch.New[ident.Key](0, half)}
}

// fadeEvery is how often the weights of slices are faded, all at once.
const fadeEvery = time.Second

func (c *counts) add(now time.Time, x ident.Slice, k ident.Key) {
	c.fade(now)
	if int(x) < len(c.slices) {
		c.slices[x]++
		c.total++
	}
	c.hot.Add(now, k, 1)
}

func (c *counts) fade(now time.Time) {
	if c.faded.IsZero() {
		c.faded = now
	}
	gone := now.Sub(c.faded)
	if gone < fadeEvery {
		return
	}
	f := math.Exp2(-float64(gone) / float64(half))
	for x := range c.slices {
		c.slices[x] *= f
	}
	c.total *= f
	c.faded = now
}

// slice is the weight of one slice.
type slice struct {
	At ident.Slice `cbor:"at"`
	W  float64     `cbor:"w"`
}

// report is what one VM tells of a service: its heaviest slices and keys, and
// the whole weight, of which the rest is taken to be spread evenly.
type report struct {
	Total float64                  `cbor:"total"`
	Top   []slice                  `cbor:"top"`
	Hot   sketch.Export[ident.Key] `cbor:"hot"`
}

func (c *counts) report(now time.Time) report {
	c.fade(now)
	all := make([]slice, 0, len(c.slices))
	for x, w := range c.slices {
		if w > 0 {
			all = append(all, slice{ident.Slice(x), w})
		}
	}
	slices.SortFunc(all, func(a, b slice) int { return cmp.Compare(b.W, a.W) })
	return report{Total: c.total, Top: slices.Clip(all[:min(len(all), topSlices)]), Hot: c.hot.Export(now, topKeys)}
}

// sane refuses numbers that would spoil every plan.
func (r *report) sane(n uint32) bool {
	ok := good(r.Total) && good(r.Hot.Total) && good(r.Hot.MinWeight) && len(r.Top) <= topSlices && len(r.Hot.List) <= topKeys
	for _, s := range r.Top {
		ok = ok && good(s.W) && uint32(s.At) < n
	}
	for _, k := range r.Hot.List {
		ok = ok && good(k.Weight) && good(k.Error)
	}
	return ok
}

// most is above any honest weight, and so far below the largest number that
// sums of weights stay finite.
const most = 1e12

// good is a weight that an honest VM can count; NaN is not.
func good(w float64) bool { return w >= 0 && w <= most }

// joined adds up the counts of all VMs that reported lately.
func (b *book) joined(now time.Time) (load []float64, hot []place.Hot, total float64) {
	b.own.fade(now)
	load, total = slices.Clone(b.own.slices), b.own.total
	exports := []sketch.Export[ident.Key]{b.own.hot.Export(now, topKeys)}
	for vm, p := range b.parts {
		if now.Sub(p.at) > fresh {
			delete(b.parts, vm)
			continue
		}
		p.addTo(load)
		total += p.Total
		exports = append(exports, p.Hot)
	}
	keys := sketch.Merge(now, 0, half, exports...)
	for _, c := range keys.Hot(now, hotShare) {
		hot = append(hot, place.Hot{Key: c.Key, Slice: ident.SliceOf(c.Key, b.svc.Slices), Load: c.Weight})
	}
	return load, hot, total
}

func (p *part) addTo(load []float64) {
	rest := p.Total
	for _, s := range p.Top {
		load[s.At] += s.W
		rest -= s.W
	}
	if left := len(load) - len(p.Top); left > 0 && rest > 0 {
		each := rest / float64(left)
		listed := make(map[ident.Slice]bool, len(p.Top))
		for _, s := range p.Top {
			listed[s.At] = true
		}
		for x := range load {
			if !listed[ident.Slice(x)] {
				load[x] += each
			}
		}
	}
}

// input describes the service to the planner.
func (b *book) input(tab table.Table, load []float64, hot []place.Hot, takes func(ident.Server) bool) place.Input {
	n := int(tab.Slices())
	in := place.Input{Owners: make([]ident.Server, n), Loads: load, Hot: withOwners(tab, hot)}
	for x := range n {
		in.Owners[x] = tab.OwnerOf(ident.Slice(x))
	}
	for _, s := range b.svc.Servers {
		in.Servers = append(in.Servers, place.Server{
			ID: s.Name, Centre: s.Centre, Weight: float64(s.Slots), Accepting: takes(s.Name),
		})
	}
	w := b.svc.Weight
	in.Band = place.BandFor(place.Weights{Imbalance: w.Imbalance, Churn: w.Churn, Unavailable: w.Unavailable}, n)
	return in
}

// withOwners notes which keys are owned apart from their slice, those included
// that are no longer hot.
func withOwners(tab table.Table, hot []place.Hot) []place.Hot {
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
