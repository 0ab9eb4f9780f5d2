package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Sizes of the callers' side.
const (
	callers    = 500
	keys       = 4096
	shape      = 2.0 // of the gamma distribution of work: it varies by 0.7 of its mean
	longBytes  = 4 << 20
	shortBytes = 2 << 10
	backoff    = 10 * time.Millisecond // before a naive caller asks again
)

// request is what one caller asks for once.
type request struct {
	vm     int
	group  Group
	caller ident.Caller
	key    ident.Key
	owner  int // -1 when the service is not divided
	asked  time.Duration
	by     time.Duration
	demand time.Duration
	long   bool
	asks   int // how often the caller has asked before
	ended  bool
}

// policy is what is measured: it gets every request, and ends each exactly once.
type policy interface {
	arrive(r *request)
	report(server, load int, age time.Duration)
	extra() (first, more int)
}

// world holds the servers, the callers and the clock of one run.
type world struct {
	clock
	scene   Scenario
	origins []*origin
	policy  policy
	results *results

	arrivals *rand.Rand // arrivals and work, the same for each policy
	again    *rand.Rand
	names    []ident.Caller
	keyNames []ident.Key
	work     distuv.Gamma
	longWork distuv.Gamma
}

func newWorld(sc Scenario, seed uint64) *world {
	w := &world{
		scene:    sc,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		again:    rand.New(rand.NewPCG(seed, 2)),
		results:  newResults(sc),
	}
	src := rand.NewPCG(seed, 3)
	w.work = distuv.Gamma{Alpha: shape, Beta: shape / sc.Service.Mean.Seconds(), Src: src}
	w.longWork = distuv.Gamma{Alpha: shape, Beta: shape / sc.Service.Long.Seconds(), Src: src}
	for i := range sc.Service.Servers {
		o := &origin{clock: &w.clock, slots: sc.Service.Slots, cold: sc.Cold && i%2 == 0}
		w.origins = append(w.origins, o)
	}
	n := sc.Callers
	if n == 0 {
		n = callers
	}
	for i := range n {
		w.names = append(w.names, ident.Caller("caller-"+strconv.Itoa(i)))
	}
	for i := range keys {
		w.keyNames = append(w.keyNames, ident.Key("key-"+strconv.Itoa(i)))
	}
	return w
}

// start schedules arrivals, faults and reports.
func (w *world) start() {
	w.after(w.gap(), w.arrival)
	for _, f := range w.scene.Faults {
		w.fault(f)
	}
	for i := range w.origins {
		w.after(time.Duration(i)*time.Millisecond, func() { w.report(i) })
	}
}

func (w *world) fault(f Fault) {
	o := w.origins[f.Server]
	begin, end := func() { o.slow = f.Factor }, func() { o.slow = 0 }
	switch f.Trouble {
	case Freeze:
		begin, end = o.freeze, o.thaw
	case Fail:
		begin, end = func() { o.fails = true }, func() { o.fails = false }
	default:
	}
	w.at(f.From, begin)
	w.at(f.To, end)
}

// reportEvery is how often a server's load is read; what is read is as old
// again.
const reportEvery = 100 * time.Millisecond

func (w *world) report(i int) {
	o := w.origins[i]
	told := o.told
	o.told = o.load()
	if w.scene.Lies && i%3 == 0 {
		told = 0
	}
	w.policy.report(i, told, reportEvery)
	if w.now < w.scene.Last {
		w.after(reportEvery, func() { w.report(i) })
	}
}

// rate is the arrivals per second now, the hot caller's and key's included.
func (w *world) rate() float64 {
	load := 0.0
	for _, p := range w.scene.Phases {
		if w.now >= p.From {
			load = p.Load
		}
	}
	perSecond := load * w.scene.capacity()
	return perSecond / (1 - w.scene.HotCaller) / (1 - w.scene.HotKey)
}

// capacity is the requests per second that all slots together can do.
func (sc Scenario) capacity() float64 {
	s := sc.Service
	mean := s.Mean.Seconds()
	if p := sc.longOdds(); p > 0 {
		mean = (1-p)*mean + p*s.Long.Seconds()
	}
	return float64(s.Servers*s.Slots) / mean
}

// longOdds is the share of requests that are long, from their share of slot
// time.
func (sc Scenario) longOdds() float64 {
	if sc.LongShare == 0 {
		return 0
	}
	short := (1 - sc.LongShare) / sc.Service.Mean.Seconds()
	long := sc.LongShare / sc.Service.Long.Seconds()
	return long / (long + short)
}

func (w *world) gap() time.Duration {
	return seconds(w.arrivals.ExpFloat64() / w.rate())
}

func (w *world) arrival() {
	if w.now >= w.scene.Last {
		return
	}
	r := w.draw()
	w.results.asked(r)
	w.policy.arrive(r)
	w.after(w.gap(), w.arrival)
}

// draw makes the next request.
func (w *world) draw() *request {
	s := w.scene.Service
	rng := w.arrivals
	r := &request{
		vm:     rng.IntN(s.VMs),
		caller: w.names[rng.IntN(len(w.names))],
		owner:  -1,
		asked:  w.now,
		by:     w.now + s.Deadline,
	}
	key := rng.IntN(keys)
	r.long = rng.Float64() < w.scene.longOdds()
	r.demand = seconds(w.work.Rand())
	if r.long {
		r.group = Long
		r.demand = seconds(w.longWork.Rand())
		r.by = w.now + s.LongBy
	}
	if rng.Float64() < w.scene.HotCaller {
		r.caller, r.group = "hot", Hot
	}
	if rng.Float64() < w.scene.HotKey {
		key, r.group = 0, Hot
	}
	r.key = w.keyNames[key]
	if s.Divided {
		r.owner = key % s.Servers
		if w.scene.HotKey > 0 && r.owner == 0 && key != 0 {
			r.group = Neighbour
		}
	}
	return r
}

// end records what became of a request; a caller that did not get its answer
// may ask again.
func (w *world) end(r *request, how Ending, hint time.Duration) {
	if r.ended {
		panic("bench: a request was answered twice")
	}
	r.ended = true
	w.results.end(r, how, w.now)
	if how == Served || r.asks >= w.scene.Again || w.now >= w.scene.Last {
		return
	}
	next := *r
	next.ended = false
	next.asks++
	w.after(max(hint, backoff), func() {
		next.vm = w.again.IntN(w.scene.Service.VMs)
		next.asked, next.by = w.now, w.now+(r.by-r.asked)
		w.results.asked(&next)
		w.policy.arrive(&next)
	})
}
