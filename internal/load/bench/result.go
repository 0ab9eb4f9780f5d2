package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Group classifies requests for the statistics.
type Group uint8

// The groups. Other contains all requests of no other group.
const (
	Other     Group = iota
	Hot             // from the hot caller or for the hot key
	Long            // uploads
	Neighbour       // for other keys of the hot key's owner
	groupCount
)

// String names the group.
func (g Group) String() string { return [groupCount]string{"others", "hot", "long", "neighbours"}[g] }

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	Refused         // not run
	Unknown         // sent, but not answered by the deadline
	outcomeCount
)

// groupStats counts the requests of one group in one window.
type groupStats struct {
	asked         int
	outcomes      [outcomeCount]int
	inTime        int
	refusedLate   int                     // refused later than refusalTarget
	latencies     *hdrhistogram.Histogram // until the answer, in microseconds
	refusalDelays *hdrhistogram.Histogram // until the refusal, in microseconds
}

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// refusalTarget is the target for the time from a request to its refusal.
	refusalTarget = 10 * time.Millisecond
)

// results collects the statistics of one run.
type results struct {
	scenario   Scenario
	windowEnds []time.Duration
	windows    [][groupCount]groupStats
}

func newResults(sc Scenario) *results {
	marks := sc.WindowEnds
	if len(marks) == 0 {
		marks = []time.Duration{sc.End}
	}
	res := &results{scenario: sc, windowEnds: marks, windows: make([][groupCount]groupStats, len(marks))}
	for i := range res.windows {
		for g := range res.windows[i] {
			res.windows[i][g].latencies = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
			res.windows[i][g].refusalDelays = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
		}
	}
	return res
}

// statsOf returns the statistics that a request counts in, or nil if it was made during
// the warm-up or after the last window.
func (res *results) statsOf(r *request) *groupStats {
	if r.askedAt < res.scenario.WarmUp {
		return nil
	}
	for i, m := range res.windowEnds {
		if r.askedAt < m {
			return &res.windows[i][r.group]
		}
	}
	return nil
}

func (res *results) recordAsked(r *request) {
	if t := res.statsOf(r); t != nil {
		t.asked++
	}
}

func (res *results) recordEnd(r *request, outcome Outcome, now time.Duration) {
	t := res.statsOf(r)
	if t == nil {
		return
	}
	t.outcomes[outcome]++
	micros := max(int64((now-r.askedAt)/time.Microsecond), 1)
	switch outcome {
	case Served:
		_ = t.latencies.RecordValue(micros)
		if now <= r.deadline {
			t.inTime++
		}
	case Refused:
		_ = t.refusalDelays.RecordValue(micros)
		if now-r.askedAt > refusalTarget {
			t.refusedLate++
		}
	default:
	}
}

// Row holds the results of one group in one window of a scenario. Latencies are from the
// request to the answer.
type Row struct {
	Service  string        `json:"service"`
	Scenario string        `json:"scene"`
	Policy   string        `json:"policy"`
	Window   int           `json:"window"`
	Group    string        `json:"group"`
	Asked    int           `json:"asked"`
	Served   int           `json:"served"`
	InTime   int           `json:"intime"`
	Refused  int           `json:"refused"`
	Unknown  int           `json:"unknown"`
	P50      time.Duration `json:"p50"`
	P99      time.Duration `json:"p99"`
	P999     time.Duration `json:"p999"`
	// RefuseP99 and RefuseMax are the times from requests to their refusal.
	RefuseP99 time.Duration `json:"refusep99"`
	RefuseMax time.Duration `json:"refusemax"`
	// RefusedLate counts the requests refused later than the target of 10 ms.
	RefusedLate int `json:"held"`
	// Goodput is the work of the requests of all groups answered in time, as a share of the
	// slots' capacity in the window.
	Goodput float64 `json:"goodput"`
	// Imbalance is the slot time of the busiest server divided by the mean over all servers,
	// for the whole run.
	Imbalance float64 `json:"imbalance"`
	// Extra is the number of attempts beyond the first ones divided by that of the first
	// ones, for the whole run.
	Extra float64 `json:"extra"`
}

func (w *world) rows(policy string) []Row {
	var rows []Row
	from := w.scenario.WarmUp
	for i := range w.results.windows {
		good := w.goodput(i, w.results.windowEnds[i]-from)
		from = w.results.windowEnds[i]
		for g := range groupCount {
			t := &w.results.windows[i][g]
			if t.asked == 0 {
				continue
			}
			row := t.row()
			row.Service, row.Scenario, row.Policy = w.scenario.Service.Name, w.scenario.Name, policy
			row.Window, row.Group = i, g.String()
			row.Goodput, row.Imbalance, row.Extra = good, w.imbalance(), w.extraShare()
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *groupStats) row() Row {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Row{
		Asked: t.asked, Served: t.outcomes[Served], InTime: t.inTime,
		Refused: t.outcomes[Refused], Unknown: t.outcomes[Unknown],
		P50: at(t.latencies, 50), P99: at(t.latencies, 99), P999: at(t.latencies, 99.9),
		RefuseP99: at(t.refusalDelays, 99), RefuseMax: time.Duration(t.refusalDelays.Max()) * time.Microsecond,
		RefusedLate: t.refusedLate,
	}
}

func (w *world) goodput(window int, length time.Duration) float64 {
	s := w.scenario.Service
	work := 0.0
	for g := range groupCount {
		mean := s.MeanWork
		if g == Long {
			mean = s.LongMeanWork
		}
		work += float64(w.results.windows[window][g].inTime) * mean.Seconds()
	}
	return work / (float64(s.Servers*s.Slots) * length.Seconds())
}

func (w *world) imbalance() float64 {
	var most, sum time.Duration
	for _, o := range w.origins {
		most = max(most, o.busyTime)
		sum += o.busyTime
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(w.origins)) / float64(sum)
}

func (w *world) extraShare() float64 {
	first, extra := w.policy.attemptCounts()
	if first == 0 {
		return 0
	}
	return float64(extra) / float64(first)
}
