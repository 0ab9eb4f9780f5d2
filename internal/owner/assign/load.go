package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/place"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// halfLife is the half-life of request counts: a hot key shows within a second, and a dozen
// requests are enough to tell it from random variation.
const halfLife = 1500 * time.Millisecond

// cellLoads counts requests by cell, with exponential decay.
type cellLoads struct {
	cells      [ranges.KeySpace / ranges.CellWidth]float64
	prefixSums [ranges.KeySpace/ranges.CellWidth + 1]float64 // counts of all lower cells; computed on demand
	sumsValid  bool
	decayedAt  time.Time
}

func (l *cellLoads) add(now time.Time, msg LoadMsg) {
	l.decay(now)
	for cell, n := range msg.Cells {
		if int(cell) < len(l.cells) {
			l.cells[cell] += float64(n)
		}
	}
	l.sumsValid = false
}

// decay ages the counts to the given time.
func (l *cellLoads) decay(now time.Time) {
	passed := now.Sub(l.decayedAt)
	if l.decayedAt.IsZero() || passed <= 0 {
		l.decayedAt = later(l.decayedAt, now)
		return
	}
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for i := range l.cells {
		l.cells[i] *= keep
	}
	l.decayedAt, l.sumsValid = now, false
}

// ratePerCount converts a decaying count to a rate in requests a second.
const ratePerCount = math.Ln2 / float64(halfLife) * float64(time.Second)

// rate returns the requests a second for a span.
func (l *cellLoads) rate(now time.Time, s ranges.Span) float64 {
	l.updateSums(now)
	return (l.prefixSums[int(s.Last)/ranges.CellWidth+1] - l.prefixSums[int(s.First)/ranges.CellWidth]) * ratePerCount
}

func (l *cellLoads) totalRate(now time.Time) float64 {
	l.updateSums(now)
	return l.prefixSums[len(l.cells)] * ratePerCount
}

// sumInterval limits how often the sums are recomputed, which saves it for each row of a plan.
const sumInterval = 100 * time.Millisecond

func (l *cellLoads) updateSums(now time.Time) {
	if l.sumsValid && now.Sub(l.decayedAt) < sumInterval {
		return
	}
	l.decay(now)
	for i, n := range l.cells {
		l.prefixSums[i+1] = l.prefixSums[i] + n
	}
	l.sumsValid = true
}

// Limits of the estimate of a server's speed. Queueing looks like slowness, and one bad
// second must not leave a server without keys.
const (
	minSpeed   = 0.35
	maxSpeed   = 2.0
	minAnswers = 12 // answers before an estimate is used
	// speedHalfLife is the half-life of latencies: a server gives some ten answers a second,
	// and their times vary as much as their mean.
	speedHalfLife = 4 * time.Second
)

// EstimateWork estimates how long a server worked on a request that took the given time
// while others were running and waiting there. A request that arrives at a full server waits
// for a slot and for the requests before it, which takes the time of one request divided by
// the number of slots for each of them.
func EstimateWork(took time.Duration, running, waiting int) time.Duration {
	if waiting == 0 {
		return took
	}
	const residual = 0.5 // average share left of the work that a slot is running
	slots := float64(running)
	return time.Duration(float64(took) * slots / (slots + float64(waiting) + residual))
}

// recordLatencies adds the servers' latencies from a report.
func (m *Model) recordLatencies(now time.Time, msg LoadMsg) {
	keep := 1.0
	if !m.latenciesDecayedAt.IsZero() {
		keep = math.Exp2(-now.Sub(m.latenciesDecayedAt).Seconds() / speedHalfLife.Seconds())
	}
	m.latenciesDecayedAt = now
	for name, b := range m.backends {
		sum := msg.Servers[name]
		if sum.N > 0 {
			b.heardAt = now
		}
		b.latencySum = b.latencySum*keep + sum.Total.Seconds()
		b.answerCount = b.answerCount*keep + float64(sum.N)
	}
}

// updateSpeeds compares the servers' latencies. A server with few recent answers keeps its
// last estimate.
func (m *Model) updateSpeeds() {
	var means []float64
	for _, b := range m.backends {
		if b.listed && b.answerCount >= minAnswers {
			means = append(means, b.latencySum/b.answerCount)
		}
	}
	if len(means) == 0 {
		return
	}
	slices.Sort(means)
	median := means[len(means)/2]
	for _, b := range m.backends {
		if b.answerCount >= minAnswers {
			b.speed = min(max(median/(b.latencySum/b.answerCount), minSpeed), maxSpeed)
		}
	}
}

// weight returns a server's capacity relative to the others.
func (m *Model) weight(b *backend) float64 { return float64(max(b.Slots, 1)) * cmp.Or(b.speed, 1) }

func sortServers(all []place.Server) {
	slices.SortFunc(all, func(a, b place.Server) int { return cmp.Compare[ident.Server](a.ID, b.ID) })
}
