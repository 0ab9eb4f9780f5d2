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
	s := &serverSim{
		core: NewCore(Config{Seed: seed + 1}), now: begin, slots: slots, rng: rand.New(rand.NewPCG(seed, 1)),
		streamOf: map[*Ticket]*stream{}, endsAt: map[*Ticket]time.Time{},
	}
	s.core.SetServers(begin, []ServerInfo{{Name: "a", Slots: slots, Conns: 100}})
	return s
}

func (s *serverSim) run(d time.Duration, streams []*stream) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(time.Millisecond)
		s.core.Tick(s.now)
		s.collect()
		for _, st := range streams {
			for n := st.rate; n > 0 && s.rng.Float64() < n; n-- {
				s.offer(st)
			}
		}
		s.finishDue()
	}
}

func (s *serverSim) offer(st *stream) {
	st.offered++
	tk := &Ticket{Job: st.job}
	tk.Job.Deadline = s.now.Add(st.timeLimit)
	s.streamOf[tk] = st
	if s.core.Offer(s.now, tk) == Start {
		s.enqueue(tk)
	}
	s.collect()
}

func (s *serverSim) collect() {
	for _, tk := range s.core.TakeDecided() {
		if tk.state == stateStarted {
			s.enqueue(tk)
		}
	}
}

func (s *serverSim) enqueue(tk *Ticket) {
	s.queue = append(s.queue, tk)
	s.serve()
}

func (s *serverSim) serve() {
	for len(s.endsAt) < s.slots && len(s.queue) > 0 {
		tk := s.queue[0]
		s.queue = s.queue[1:]
		s.endsAt[tk] = s.now.Add(s.streamOf[tk].serviceTime)
	}
}

func (s *serverSim) finishDue() {
	var over []*Ticket
	for tk, at := range s.endsAt {
		if !at.After(s.now) {
			over = append(over, tk)
		}
	}
	for _, tk := range over {
		st := s.streamOf[tk]
		delete(s.endsAt, tk)
		delete(s.streamOf, tk)
		st.served++
		st.servedTime += st.serviceTime
		s.busyTime += st.serviceTime
		s.serve()
		s.core.Done(s.now, tk, Outcome{})
		s.collect()
	}
}

func (st *stream) resetCounts() { st.offered, st.served, st.servedTime = 0, 0, 0 }

const (
	warmUpTime  = time.Second
	measureTime = 3 * time.Second
)

func (s *serverSim) measure(streams ...*stream) (busy float64) {
	s.run(warmUpTime, streams)
	for _, st := range streams {
		st.resetCounts()
	}
	s.busyTime = 0
	s.run(measureTime, streams)
	return s.busyTime.Seconds() / (measureTime.Seconds() * float64(s.slots))
}

// Guards against a hot caller, at one to five times the capacity, that crowds out a
// modest one at less than half of it. The modest caller must be served nearly as if it
// were alone, and the hot one must get most of the rest.
func TestAModestCallerIsServedBesideAHotOne(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		s := newServerSim(slots, rapid.Uint64().Draw(t, "seed"))
		capacity := float64(slots) / 8
		modest := &stream{
			job: Job{Caller: "modest", Size: 1}, serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
			rate: capacity * rapid.Float64Range(0.05, 0.35).Draw(t, "modest"),
		}
		hot := &stream{
			job: Job{Caller: "hot", Size: 1}, serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
			rate: capacity * rapid.Float64Range(1, 5).Draw(t, "hot"),
		}
		busy := s.measure(modest, hot)
		assert.Assert(t, float64(modest.served) >= minModestShare*float64(modest.offered), "%d of %d", modest.served, modest.offered)
		assert.Assert(t, busy >= minBusyShare, "busy %.3f", busy)
	})
}

// Guards against a starved class. Callers of all three classes each ask for more than
// the capacity; each class must be served a minimum.
func TestNoClassStarves(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		s := newServerSim(slots, rapid.Uint64().Draw(t, "seed"))
		var streams []*stream
		for class := range Classes {
			streams = append(streams, &stream{
				job:         Job{Caller: ident.Caller([]string{"n", "h", "l"}[class]), Class: class, Size: 1},
				serviceTime: 8 * time.Millisecond, timeLimit: 250 * time.Millisecond,
				rate: float64(slots) / 8 * rapid.Float64Range(1, 3).Draw(t, "rate"),
			})
		}
		s.measure(streams...)
		ran := streams[0].served + streams[1].served + streams[2].served
		for _, st := range streams {
			assert.Assert(t, float64(st.served) >= minClassShare*float64(ran), "class %d: %d of %d", st.job.Class, st.served, ran)
		}
	})
}

// Guards against long requests that starve short ones or the reverse, whichever holds
// the slots first, when both ask for more than the capacity.
func TestNeitherLongNorShortStarves(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		s := newServerSim(slots, rapid.Uint64().Draw(t, "seed"))
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
		s.measure(long, short)
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
