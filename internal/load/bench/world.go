package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Parameters of the callers.
const (
	defaultCallers = 500
	keyCount       = 4096
	workShape      = 2.0 // shape of the gamma distribution of work: its standard deviation is 0.7 of the mean
	longBytes      = 4 << 20
	shortBytes     = 2 << 10
	callerBackoff  = 10 * time.Millisecond // least delay before a caller retries
)

// request is one request of a caller.
type request struct {
	vm            int
	group         Group
	caller        ident.Caller
	key           ident.Key
	owner         int // server that owns the key, -1 if the service is not sharded
	askedAt       time.Duration
	deadline      time.Duration
	work          time.Duration
	long          bool
	priorAttempts int // how often the caller has made this request before
	ended         bool
	sent, hung    int // attempts, and those that found a full server that does not answer
}

// policy is a load policy under measurement: it receives every request, and must end
// each exactly once. attemptCounts returns the first attempts and those beyond them.
type policy interface {
	arrive(r *request)
	report(server, load int, age time.Duration)
	attemptCounts() (first, extra int)
}

// world is the state of one run: the servers, the callers and the clock.
type world struct {
	clock
	scenario Scenario
	origins  []*origin
	policy   policy
	results  *results
	full     []FullResult

	arrivalRand *rand.Rand // arrivals and their properties, the same for each policy
	retryRand   *rand.Rand
	callerNames []ident.Caller
	keyNames    []ident.Key
	work        distuv.Gamma
	longWork    distuv.Gamma
}

func newWorld(sc Scenario, seed uint64) *world {
	w := &world{
		scenario:    sc,
		arrivalRand: rand.New(rand.NewPCG(seed, 1)),
		retryRand:   rand.New(rand.NewPCG(seed, 2)),
		results:     newResults(sc),
	}
	src := rand.NewPCG(seed, 3)
	w.work = distuv.Gamma{Alpha: workShape, Beta: workShape / sc.Service.MeanWork.Seconds(), Src: src}
	w.longWork = distuv.Gamma{Alpha: workShape, Beta: workShape / sc.Service.LongMeanWork.Seconds(), Src: src}
	for i := range sc.Service.Servers {
		o := &origin{clock: &w.clock, slots: sc.Service.Slots, cold: sc.HalfCold && i%2 == 0}
		if f := sc.Full; f != nil {
			o.places, o.speed = f.Places, f.Speeds[i%len(f.Speeds)]
		}
		w.origins = append(w.origins, o)
	}
	n := sc.Callers
	if n == 0 {
		n = defaultCallers
	}
	for i := range n {
		w.callerNames = append(w.callerNames, ident.Caller("caller-"+strconv.Itoa(i)))
	}
	for i := range keyCount {
		w.keyNames = append(w.keyNames, ident.Key("key-"+strconv.Itoa(i)))
	}
	return w
}

// start schedules the first arrival, the faults and the load reports.
func (w *world) start() {
	w.after(w.interarrivalTime(), w.handleArrival)
	for _, f := range w.scenario.Faults {
		w.scheduleFault(f)
	}
	for i := range w.origins {
		if w.scenario.Full != nil {
			break // servers report their load with answers
		}
		w.after(time.Duration(i)*time.Millisecond, func() { w.report(i) })
	}
}

func (w *world) scheduleFault(f Fault) {
	o := w.origins[f.Server]
	begin, end := func() { o.slowFactor = f.Factor }, func() { o.slowFactor = 0 }
	switch f.Kind {
	case Freeze:
		begin, end = o.freeze, o.thaw
	case Fail:
		begin, end = func() { o.failing = true }, func() { o.failing = false }
	default:
	}
	w.at(f.From, begin)
	w.at(f.To, end)
}

// reportInterval is the time between two reports of a server's load. Each report holds
// the load at the time of the previous one, so its age is one interval as well.
const reportInterval = 100 * time.Millisecond

func (w *world) report(i int) {
	o := w.origins[i]
	reported := o.lastReport
	o.lastReport = o.load()
	if w.scenario.LyingReports && i%3 == 0 {
		reported = 0
	}
	w.policy.report(i, reported, reportInterval)
	if w.now < w.scenario.End {
		w.after(reportInterval, func() { w.report(i) })
	}
}

// arrivalRate returns the current arrivals per second, including those of the hot caller
// and for the hot key.
func (w *world) arrivalRate() float64 {
	load := 0.0
	for _, p := range w.scenario.Phases {
		if w.now >= p.From {
			load = p.Load
		}
	}
	perSecond := load * w.scenario.capacity()
	return perSecond / (1 - w.scenario.HotCaller) / (1 - w.scenario.HotKey)
}

// capacity returns the requests per second that all slots together can serve.
func (sc Scenario) capacity() float64 {
	s := sc.Service
	mean := s.MeanWork.Seconds()
	if p := sc.longProbability(); p > 0 {
		mean = (1-p)*mean + p*s.LongMeanWork.Seconds()
	}
	return float64(s.Servers*s.Slots) / mean * sc.meanSpeed()
}

// meanSpeed returns the mean speed of the servers.
func (sc Scenario) meanSpeed() float64 {
	if sc.Full == nil {
		return 1
	}
	sum := 0.0
	for i := range sc.Service.Servers {
		sum += sc.Full.Speeds[i%len(sc.Full.Speeds)]
	}
	return sum / float64(sc.Service.Servers)
}

// longProbability returns the share of requests that are long, computed from their share
// of slot time.
func (sc Scenario) longProbability() float64 {
	if sc.LongShare == 0 {
		return 0
	}
	short := (1 - sc.LongShare) / sc.Service.MeanWork.Seconds()
	long := sc.LongShare / sc.Service.LongMeanWork.Seconds()
	return long / (long + short)
}

func (w *world) interarrivalTime() time.Duration {
	return seconds(w.arrivalRand.ExpFloat64() / w.arrivalRate())
}

func (w *world) handleArrival() {
	if w.now >= w.scenario.End {
		return
	}
	r := w.newRequest()
	w.results.recordAsked(r)
	w.policy.arrive(r)
	w.after(w.interarrivalTime(), w.handleArrival)
}

// newRequest draws the next request at random.
func (w *world) newRequest() *request {
	s := w.scenario.Service
	rng := w.arrivalRand
	r := &request{
		vm:       rng.IntN(s.VMs),
		caller:   w.callerNames[rng.IntN(len(w.callerNames))],
		owner:    -1,
		askedAt:  w.now,
		deadline: w.now + s.Deadline,
	}
	if w.scenario.Full != nil {
		r.vm = w.entryVM(r.vm)
	}
	key := rng.IntN(keyCount)
	r.long = rng.Float64() < w.scenario.longProbability()
	r.work = seconds(w.work.Rand())
	if r.long {
		r.group = Long
		r.work = seconds(w.longWork.Rand())
		r.deadline = w.now + s.LongDeadline
	}
	if rng.Float64() < w.scenario.HotCaller {
		r.caller, r.group = "hot", Hot
	}
	if rng.Float64() < w.scenario.HotKey {
		key, r.group = 0, Hot
	}
	r.key = w.keyNames[key]
	if s.Sharded {
		r.owner = key % s.Servers
		if w.scenario.HotKey > 0 && r.owner == 0 && key != 0 {
			r.group = Neighbour
		}
	}
	return r
}

// end records the outcome of a request. A caller that was not served may retry.
func (w *world) end(r *request, outcome Outcome, retryAfter time.Duration) {
	if r.ended {
		panic("bench: a request was answered twice")
	}
	r.ended = true
	w.results.recordEnd(r, outcome, w.now)
	w.recordFull(r, outcome)
	if outcome == Served || r.priorAttempts >= w.scenario.CallerRetries || w.now >= w.scenario.End {
		return
	}
	next := *r
	next.ended = false
	next.priorAttempts++
	w.after(max(retryAfter, callerBackoff), func() {
		next.vm = w.retryRand.IntN(w.scenario.Service.VMs)
		next.askedAt, next.deadline = w.now, w.now+(r.deadline-r.askedAt)
		w.results.recordAsked(&next)
		w.policy.arrive(&next)
	})
}
