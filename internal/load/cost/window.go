package cost

import (
	"math"
	"slices"
	"time"
)

// Settings of a window of samples.
const (
	// maxAge is the age from which samples are dropped, so that a changed cost shows within
	// seconds.
	maxAge = 8 * time.Second
	// minSamples are kept whatever their age: a VM that gets a request of a rule every few
	// seconds would otherwise never know its cost.
	minSamples = 16
	// maxCallers callers have at most an equal part of the samples each: a fifth.
	maxCallers = 5
	// soleCallerSamples is how many samples a caller may have while there are fewer than
	// maxCallers. Services with few callers would otherwise have no estimates.
	soleCallerSamples = 8
	// maxOverMedian bounds a sample in the mean, as a multiple of the median. The fifth of the
	// samples that one caller may contribute then raises the mean by at most two thirds.
	maxOverMedian = 5
	highQuantile  = 0.95
	// updateInterval bounds how often the samples are sorted, at high rates.
	updateInterval = 50 * time.Millisecond
)

// sample is one observed cost.
type sample struct {
	cost   float64 // seconds on a server of speed 1
	at     int64   // Unix time in nanoseconds
	caller uint32
}

// window holds the newest samples, in order of time, and what follows from them. The zero value
// is empty.
type window struct {
	samples   []sample
	newest    int64 // time of the newest sample
	updatedAt int64

	n               int // samples as of updatedAt
	mean, high, dev float64
}

// add adds a sample, and drops those that are too old, too many, or too many of its caller.
func (w *window) add(s sample, most int) {
	w.newest = s.at
	w.trim(s.at, most)
	w.samples = append(w.samples, s)
	w.trimCaller(s.caller)
	if len(w.samples) > minSamples && s.at-w.updatedAt < int64(updateInterval) {
		return
	}
	w.updatedAt = s.at
	w.update()
}

// trim makes room for another sample.
func (w *window) trim(now int64, most int) {
	drop := max(len(w.samples)+1-most, 0)
	for drop < len(w.samples)-minSamples+1 && now-w.samples[drop].at > int64(maxAge) {
		drop++
	}
	w.samples = slices.Delete(w.samples, 0, drop)
}

// trimCaller drops the oldest samples of the caller that just added one, if it has more than
// its part.
func (w *window) trimCaller(caller uint32) {
	own, callers := w.count(caller)
	allowed := max((len(w.samples)-own)/(maxCallers-1), 1)
	if callers < maxCallers {
		allowed = max(allowed, soleCallerSamples)
	}
	for i := 0; own > allowed; i++ {
		if w.samples[i].caller == caller {
			w.samples = slices.Delete(w.samples, i, i+1)
			own--
			i--
		}
	}
}

// count returns how many samples a caller has, and how many callers there are, up to
// maxCallers.
func (w *window) count(caller uint32) (own, callers int) {
	var known [maxCallers]uint32
	for _, s := range w.samples {
		if s.caller == caller {
			own++
		}
		if callers < maxCallers && !slices.Contains(known[:callers], s.caller) {
			known[callers] = s.caller
			callers++
		}
	}
	return own, callers
}

// update computes the statistics anew.
func (w *window) update() {
	var buf [ruleSamples]float64
	costs := buf[:0]
	for _, s := range w.samples {
		costs = append(costs, s.cost)
	}
	slices.Sort(costs)
	w.n = len(costs)
	most := costs[w.n/2] * maxOverMedian
	sum, squares := 0.0, 0.0
	for _, c := range costs {
		c = min(c, most)
		sum += c
		squares += c * c
	}
	n := float64(w.n)
	w.mean = sum / n
	w.dev = math.Sqrt(max(squares/n-w.mean*w.mean, 0))
	w.high = max(w.quantile(costs), w.mean)
}

// quantile returns the high quantile of the sorted costs. Few samples rarely include a high
// one, so a normal distribution bounds it from below.
func (w *window) quantile(sorted []float64) float64 {
	const deviations = 1.65 // of the 95th percentile of a normal distribution
	i := min(int(highQuantile*float64(len(sorted))), len(sorted)-1)
	if len(sorted) < 1/(1-highQuantile) {
		return max(sorted[i], w.mean+deviations*w.dev)
	}
	return sorted[i]
}

func (w *window) estimate() Estimate {
	return Estimate{Mean: seconds(w.mean), High: seconds(w.high), N: w.n}
}

// differs reports whether the mean of a part differs from that of the whole by more than
// chance explains.
func (w *window) differs(whole *window, errors float64) bool {
	if w == nil || w.n < minPartSamples {
		return false
	}
	gap := math.Abs(w.mean - whole.mean)
	return gap > minDifference*whole.mean && gap > errors*w.dev/math.Sqrt(float64(w.n))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
