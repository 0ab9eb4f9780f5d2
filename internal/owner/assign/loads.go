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

// halfLife of what is remembered of requests: a hot key shows within a second, and
// a dozen requests are enough not to mistake chance for it.
const halfLife = 1500 * time.Millisecond

// loads counts requests by cell, older ones for less.
type loads struct {
	cells [ranges.KeySpace / ranges.CellWidth]float64
	sums  [ranges.KeySpace/ranges.CellWidth + 1]float64 // of the cells before; made when asked for
	fresh bool
	at    time.Time
}

func (l *loads) add(now time.Time, msg LoadMsg) {
	l.age(now)
	for cell, n := range msg.Cells {
		if int(cell) < len(l.cells) {
			l.cells[cell] += float64(n)
		}
	}
	l.fresh = false
}

// age lets what was counted fade.
func (l *loads) age(now time.Time) {
	passed := now.Sub(l.at)
	if l.at.IsZero() || passed <= 0 {
		l.at = later(l.at, now)
		return
	}
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for i := range l.cells {
		l.cells[i] *= keep
	}
	l.at, l.fresh = now, false
}

// perSecond turns a count that halves each halfLife into a rate.
const perSecond = math.Ln2 / float64(halfLife) * float64(time.Second)

// of returns the requests a second for a span.
func (l *loads) of(now time.Time, s ranges.Span) float64 {
	l.sum(now)
	return (l.sums[int(s.Last)/ranges.CellWidth+1] - l.sums[int(s.First)/ranges.CellWidth]) * perSecond
}

func (l *loads) total(now time.Time) float64 {
	l.sum(now)
	return l.sums[len(l.cells)] * perSecond
}

// sumEvery spares adding up for each row of a plan.
const sumEvery = 100 * time.Millisecond

func (l *loads) sum(now time.Time) {
	if l.fresh && now.Sub(l.at) < sumEvery {
		return
	}
	l.age(now)
	for i, n := range l.cells {
		l.sums[i+1] = l.sums[i] + n
	}
	l.fresh = true
}

// Bounds of a server's speed, as answers show it: queueing looks like slowness, and
// a server must not be left without keys because of a bad second.
const (
	slowest = 0.35
	fastest = 2.0
	fewest  = 12 // answers before a speed is believed
	// speedLife is how long it takes until answers count for half: a server gives some
	// ten answers a second, and their times vary as much as their mean.
	speedLife = 4 * time.Second
)

// EstimateWork estimates how long a server works on a request whose answer took so long, while
// others ran and waited there. Who came to a full server waited for a slot to be free and
// for those before it, each slot's time divided by the slots.
func EstimateWork(took time.Duration, running, waiting int) time.Duration {
	if waiting == 0 {
		return took
	}
	const rest = 0.5 // of the work that a slot is at, on average
	slots := float64(running)
	return time.Duration(float64(took) * slots / (slots + float64(waiting) + rest))
}

// learn takes in how long servers took to answer.
func (m *Model) learn(now time.Time, msg LoadMsg) {
	keep := 1.0
	if !m.learnAt.IsZero() {
		keep = math.Exp2(-now.Sub(m.learnAt).Seconds() / speedLife.Seconds())
	}
	m.learnAt = now
	for name, p := range m.peers {
		sum := msg.Servers[name]
		p.seconds = p.seconds*keep + sum.Total.Seconds()
		p.answers = p.answers*keep + float64(sum.N)
	}
}

// speeds compares the servers' answers. A server of which little is known keeps the
// speed that it was last seen to have.
func (m *Model) speeds() {
	var means []float64
	for _, p := range m.peers {
		if p.listed && p.answers >= fewest {
			means = append(means, p.seconds/p.answers)
		}
	}
	if len(means) == 0 {
		return
	}
	slices.Sort(means)
	middle := means[len(means)/2]
	for _, p := range m.peers {
		if p.answers >= fewest {
			p.speed = min(max(middle/(p.seconds/p.answers), slowest), fastest)
		}
	}
}

// weight is a server's capacity relative to the others.
func (m *Model) weight(p *peer) float64 { return float64(max(p.Slots, 1)) * cmp.Or(p.speed, 1) }

func sortServers(all []place.Server) {
	slices.SortFunc(all, func(a, b place.Server) int { return cmp.Compare[ident.Server](a.ID, b.ID) })
}
