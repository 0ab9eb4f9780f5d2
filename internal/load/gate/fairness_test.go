package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// stream is one stream of requests to a serverSim.
type stream struct {
	job         Job
	rate        float64 // requests per millisecond
	serviceTime time.Duration
	timeLimit   time.Duration // time from arrival to deadline
	offered     int
	served      int
	servedTime  time.Duration
}

// serverSim is one server behind a core. Each millisecond, streams send requests at
// random and the server ends those that are done.
type serverSim struct {
	core     *Core
	now      time.Time
	slots    int
	rng      *rand.Rand
	streamOf map[*Ticket]*stream
	endsAt   map[*Ticket]time.Time
	queue    []*Ticket // started by the core and waiting for a slot of the server
	busyTime time.Duration
}

func newServerSim(slots int, seed uint64) *serverSim {
	m := &serverSim{
		core: NewCore(Config{Seed: seed + 1}), now: begin, slots: slots, rng: rand.New(rand.NewPCG(seed, 1)),
		streamOf: map[*Ticket]*stream{}, endsAt: map[*Ticket]time.Time{},
	}
	m.core.SetServers(begin, []ServerInfo{{Name: "a", Slots: slots, Conns: 100}})
	return m
}

func (m *serverSim) run(d time.Duration, flows []*stream) {
	for until := m.now.Add(d); m.now.Before(until); {
		m.now = m.now.Add(time.Millisecond)
		m.core.Tick(m.now)
		m.collect()
		for _, f := range flows {
			for n := f.rate; n > 0 && m.rng.Float64() < n; n-- {
				m.offer(f)
			}
		}
		m.finishDue()
	}
}

func (m *serverSim) offer(f *stream) {
	f.offered++
	k := &Ticket{Job: f.job}
	k.Job.Deadline = m.now.Add(f.timeLimit)
	m.streamOf[k] = f
	if m.core.Offer(m.now, k) == Start {
		m.enqueue(k)
	}
	m.collect()
}

func (m *serverSim) collect() {
	for _, k := range m.core.Ready() {
		if k.state == stateStarted {
			m.enqueue(k)
		}
	}
}

func (m *serverSim) enqueue(k *Ticket) {
	m.queue = append(m.queue, k)
	m.serve()
}

func (m *serverSim) serve() {
	for len(m.endsAt) < m.slots && len(m.queue) > 0 {
		k := m.queue[0]
		m.queue = m.queue[1:]
		m.endsAt[k] = m.now.Add(m.streamOf[k].serviceTime)
	}
}

func (m *serverSim) finishDue() {
	var over []*Ticket
	for k, at := range m.endsAt {
		if !at.After(m.now) {
			over = append(over, k)
		}
	}
	for _, k := range over {
		f := m.streamOf[k]
		delete(m.endsAt, k)
		delete(m.streamOf, k)
		f.served++
		f.servedTime += f.serviceTime
		m.busyTime += f.serviceTime
		m.serve()
		m.core.Done(m.now, k, Outcome{})
		m.collect()
	}
}

func (f *stream) resetCounts() { f.offered, f.served, f.servedTime = 0, 0, 0 }

const (
	warmUpTime  = time.Second
	measureTime = 3 * time.Second
)

func (m *serverSim) measure(flows ...*stream) (busy float64) {
	m.run(warmUpTime, flows)
	for _, f := range flows {
		f.resetCounts()
	}
	m.busyTime = 0
	m.run(measureTime, flows)
	return m.busyTime.Seconds() / (measureTime.Seconds() * float64(m.slots))
}

// Guards against a hot caller, at one to five times the capacity, that crowds out a
// modest one at less than half of it. The modest caller must be served nearly as if it
// were alone, and the hot one must get most of the rest.
func TestAModestCallerIsServedBesideAHotOne(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		m := newServerSim(slots, rapid.Uint64().Draw(t, "seed"))
		capacity := float64(slots) / 8
		modest := &stream{
			job: Job{Caller: "modest", Size: 1}, serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
			rate: capacity * rapid.Float64Range(0.05, 0.35).Draw(t, "modest"),
		}
		hot := &stream{
			job: Job{Caller: "hot", Size: 1}, serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
			rate: capacity * rapid.Float64Range(1, 5).Draw(t, "hot"),
		}
		busy := m.measure(modest, hot)
		assert.Assert(t, float64(modest.served) >= minModestShare*float64(modest.offered), "%d of %d", modest.served, modest.offered)
		assert.Assert(t, busy >= minBusyShare, "busy %.3f", busy)
	})
}

// Guards against a starved class. Callers of all three classes each ask for more than
// the capacity; each class must be served a minimum.
func TestNoClassStarves(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		m := newServerSim(slots, rapid.Uint64().Draw(t, "seed"))
		var flows []*stream
		for class := range Classes {
			flows = append(flows, &stream{
				job:         Job{Caller: ident.Caller([]string{"n", "h", "l"}[class]), Class: class, Size: 1},
				serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
				rate: float64(slots) / 8 * rapid.Float64Range(1, 3).Draw(t, "rate"),
			})
		}
		m.measure(flows...)
		ran := flows[0].served + flows[1].served + flows[2].served
		for _, f := range flows {
			assert.Assert(t, float64(f.served) >= minClassShare*float64(ran), "class %d: %d of %d", f.job.Class, f.served, ran)
		}
	})
}

// Guards against long requests that starve short ones or the reverse, whichever holds
// the slots first, when both ask for more than the capacity.
func TestNeitherLongNorShortStarves(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		m := newServerSim(slots, rapid.Uint64().Draw(t, "seed"))
		keyed := rapid.Bool().Draw(t, "keyed")
		short := &stream{
			job: Job{Caller: "s", Size: 1}, serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
			rate: float64(slots) / 8 * rapid.Float64Range(1, 3).Draw(t, "short"),
		}
		long := &stream{
			job: Job{Caller: "l", Size: 1 << 20}, serviceTime: 200 * time.Millisecond, timeLimit: 5 * time.Second,
			rate: float64(slots) / 200 * rapid.Float64Range(1, 3).Draw(t, "long"),
		}
		if keyed {
			short.job.Key, short.job.Server = "k", "a"
			long.job.Key, long.job.Server = "l", "a"
		}
		m.measure(long, short)
		all := short.servedTime + long.servedTime
		assert.Assert(t, short.servedTime.Seconds() >= minKindShare*all.Seconds(), "short: %v of %v", short.servedTime, all)
		assert.Assert(t, long.servedTime.Seconds() >= minKindShare*all.Seconds(), "long: %v of %v", long.servedTime, all)
	})
}

// Lower bounds with some room below the minima over 600 random histories, in which the
// modest caller got at least 0.84 and the server was at least 0.72 busy.
const (
	minModestShare = 0.75
	minBusyShare   = 0.65
	minClassShare  = 0.04
	minKindShare   = 0.15
)
