package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Group tells apart whose requests are counted.
type Group uint8

// The groups. Other is everybody who is not in another one.
const (
	Other     Group = iota
	Hot             // of the hot caller, or for the hot key
	Long            // uploads
	Neighbour       // for other keys of the hot key's owner
	groups
)

// String names the group.
func (g Group) String() string { return [groups]string{"others", "hot", "long", "neighbours"}[g] }

// Ending is what became of a request.
type Ending uint8

// The endings.
const (
	Served  Ending = iota
	Refused        // not run
	Unknown        // sent, and no answer by the deadline
	endings
)

// tally is what one group received in one window.
type tally struct {
	asked   int
	ends    [endings]int
	inTime  int
	held    int                     // refused later than prompt
	latency *hdrhistogram.Histogram // of answers, microseconds
	refusal *hdrhistogram.Histogram // from asking to the refusal
}

const (
	longest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
	// prompt is the target for the time until a refusal.
	prompt = 10 * time.Millisecond
)

type results struct {
	scene   Scenario
	marks   []time.Duration
	windows [][groups]tally
}

func newResults(sc Scenario) *results {
	marks := sc.Marks
	if len(marks) == 0 {
		marks = []time.Duration{sc.Last}
	}
	res := &results{scene: sc, marks: marks, windows: make([][groups]tally, len(marks))}
	for i := range res.windows {
		for g := range res.windows[i] {
			res.windows[i][g].latency = hdrhistogram.New(1, longest, digits)
			res.windows[i][g].refusal = hdrhistogram.New(1, longest, digits)
		}
	}
	return res
}

// of returns the tally that a request counts in, nil before measuring began.
func (res *results) of(r *request) *tally {
	if r.asked < res.scene.Warm {
		return nil
	}
	for i, m := range res.marks {
		if r.asked < m {
			return &res.windows[i][r.group]
		}
	}
	return nil
}

func (res *results) asked(r *request) {
	if t := res.of(r); t != nil {
		t.asked++
	}
}

func (res *results) end(r *request, how Ending, now time.Duration) {
	t := res.of(r)
	if t == nil {
		return
	}
	t.ends[how]++
	micros := max(int64((now-r.asked)/time.Microsecond), 1)
	switch how {
	case Served:
		_ = t.latency.RecordValue(micros)
		if now <= r.by {
			t.inTime++
		}
	case Refused:
		_ = t.refusal.RecordValue(micros)
		if now-r.asked > prompt {
			t.held++
		}
	default:
	}
}

// Row is what one group received in one window of a scene. Latencies are from
// asking to the answer.
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
	// RefuseP99 and RefuseMax are how long callers waited to be refused.
	RefuseP99 time.Duration `json:"refusep99"`
	RefuseMax time.Duration `json:"refusemax"`
	// Held is how many were refused later than the target of 10 ms.
	Held int `json:"held"`
	// Goodput is the work of answers in time over the capacity of all slots,
	// over all groups of the window.
	Goodput float64 `json:"goodput"`
	// Imbalance is the busiest server's slot time over the mean, in the run.
	Imbalance float64 `json:"imbalance"`
	// Extra is the attempts beyond the first ones, as a share of those, in the
	// run.
	Extra float64 `json:"extra"`
}

func (w *world) rows(policy string) []Row {
	var rows []Row
	from := w.scene.Warm
	for i := range w.results.windows {
		good := w.goodput(i, w.results.marks[i]-from)
		from = w.results.marks[i]
		for g := range groups {
			t := &w.results.windows[i][g]
			if t.asked == 0 {
				continue
			}
			row := t.row()
			row.Service, row.Scenario, row.Policy = w.scene.Service.Name, w.scene.Name, policy
			row.Window, row.Group = i, g.String()
			row.Goodput, row.Imbalance, row.Extra = good, w.imbalance(), w.extra()
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *tally) row() Row {
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Row{
		Asked: t.asked, Served: t.ends[Served], InTime: t.inTime,
		Refused: t.ends[Refused], Unknown: t.ends[Unknown],
		P50: at(t.latency, 50), P99: at(t.latency, 99), P999: at(t.latency, 99.9),
		RefuseP99: at(t.refusal, 99), RefuseMax: time.Duration(t.refusal.Max()) * time.Microsecond,
		Held: t.held,
	}
}

func (w *world) goodput(window int, last time.Duration) float64 {
	s := w.scene.Service
	work := 0.0
	for g := range groups {
		mean := s.Mean
		if g == Long {
			mean = s.Long
		}
		work += float64(w.results.windows[window][g].inTime) * mean.Seconds()
	}
	return work / (float64(s.Servers*s.Slots) * last.Seconds())
}

func (w *world) imbalance() float64 {
	var most, sum time.Duration
	for _, o := range w.origins {
		most = max(most, o.work)
		sum += o.work
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(w.origins)) / float64(sum)
}

func (w *world) extra() float64 {
	first, more := w.policy.extra()
	if first == 0 {
		return 0
	}
	return float64(more) / float64(first)
}
