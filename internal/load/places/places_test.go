package places

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1_700_000_000, 0)

// newServer returns a server of 4 slots and 8 queue places at which 10 VMs offer a rate.
func newServer(offered float64) *Server {
	s := &Server{}
	s.SetCapacity(4, 12)
	s.SetShare(begin, offered, offered, 120*time.Millisecond, offered/10, 10)
	return s
}

// Guards against a VM that starves a server of which it knows nothing, or floods it.
func TestTheZeroValueAllowsOneRequest(t *testing.T) {
	s := &Server{}
	assert.Equal(t, s.Delay(begin), time.Duration(0))
	s.Start(begin)
	delay := s.Delay(begin)
	assert.Assert(t, delay > 0 && delay <= MaxStarve, "%v", delay)
}

// Guards against own requests that are counted twice, or not at all.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	s := newServer(0)
	s.Report(begin, 2, 0)
	s.Start(begin.Add(10 * time.Millisecond))
	s.Start(begin.Add(20 * time.Millisecond))
	now := begin.Add(20 * time.Millisecond)
	s.Report(now, 3, 5*time.Millisecond) // includes the first one only
	n, age := s.Estimate(now)
	assert.Equal(t, age, 5*time.Millisecond)
	assert.Assert(t, n > 3.5 && n <= 4, "%v", n)
	s.Done(now)
	n, _ = s.Estimate(now)
	assert.Assert(t, n > 2.5 && n <= 3, "%v", n)
}

// Guards against an older report that replaces a newer one, as lists overtake each other.
func TestTheNewestReportHolds(t *testing.T) {
	s := newServer(0)
	now := begin.Add(time.Second / 2)
	s.Report(now, 9, 10*time.Millisecond)
	s.Report(now, 1, 300*time.Millisecond)
	n, _ := s.Estimate(now)
	assert.Assert(t, n > 7, "%v", n)
}

// Guards against requests of this VM that the server does not hold: they hang, and say nothing
// of its load.
func TestHungRequestsAreNotCountedAsLoad(t *testing.T) {
	s := newServer(0)
	for range 5 {
		s.Start(begin)
	}
	now := begin.Add(50 * time.Millisecond)
	s.Report(now, 2, 0)
	n, _ := s.Estimate(now)
	assert.Equal(t, n, 2.0)
}

// Guards against a start that takes the last place by a report that can be wrong by one.
func TestOnePlaceStaysFree(t *testing.T) {
	for load := range 13 {
		s := newServer(1)
		s.Report(begin, load, 0)
		free := s.Delay(begin) == 0
		assert.Equal(t, free, load <= 10, "load %d", load)
	}
}

// Guards against trust in an old report: what can have arrived since is held back.
func TestTheReserveGrowsWithTheAgeOfTheReport(t *testing.T) {
	s := newServer(25)
	fresh, old := s.limit(25, 10*time.Millisecond), s.limit(25, 400*time.Millisecond)
	assert.Equal(t, fresh, 11.0)
	assert.Assert(t, old < 9 && old > 8, "the square root of ten requests: %v", old)
}

// Guards against data that is too old: this VM then uses its even share of the completions.
func TestOldDataIsNotUsed(t *testing.T) {
	s := newServer(25)
	s.Report(begin, 0, 0)
	now := begin.Add(MaxAge + time.Millisecond)
	assert.Equal(t, s.Delay(now), time.Duration(0))
	s.Start(now)
	delay := s.Delay(now)
	assert.Assert(t, delay > 250*time.Millisecond && delay <= 300*time.Millisecond, "10 VMs share 33 a second, got %v", delay)
}

// Guards against a VM that is starved because nobody tells it anything, whatever the order of
// events.
func TestAVMThatKnowsNothingIsNotStarved(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		s := &Server{}
		s.SetCapacity(rapid.IntRange(1, 8).Draw(rt, "slots"), rapid.IntRange(0, 20).Draw(rt, "places"))
		s.SetDefaults(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "work"))*time.Millisecond, rapid.IntRange(1, 600).Draw(rt, "vms"))
		now, last := begin, begin
		for range 200 {
			delay := s.Delay(now)
			if delay == 0 {
				s.Start(now)
				last = now
				continue
			}
			now = now.Add(min(delay, time.Duration(rapid.IntRange(1, 500).Draw(rt, "step"))*time.Millisecond))
			assert.Assert(rt, now.Sub(last) <= MaxStarve+time.Millisecond, "starved for %v", now.Sub(last))
			if rapid.IntRange(0, 3).Draw(rt, "done") == 0 {
				s.Done(now)
			}
		}
	})
}

// Guards against VMs that together overfill a crowded server although each knows its load
// exactly: all of them hold requests all the time, and reports come in any order, repeated and
// late.
func TestAllVMsTogetherKeepAPlaceFree(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		vms, slots := rapid.SampledFrom([]int{2, 10, 60, 300}).Draw(rt, "vms"), rapid.IntRange(1, 6).Draw(rt, "slots")
		held := slots * rapid.IntRange(3, 5).Draw(rt, "places")
		work := 120 * time.Millisecond
		offered := 3 * float64(slots) / work.Seconds()
		load := rapid.IntRange(slots, held-1).Draw(rt, "load")
		all := make([]Server, vms)
		for i := range all {
			all[i].SetCapacity(slots, held)
			all[i].SetPhase((float64(i) + 0.5) / float64(vms))
			all[i].SetKeyed(rapid.Bool().Draw(rt, "keyed"))
		}
		done := 0.0
		for step := range 100 {
			now := begin.Add(time.Duration(step) * 10 * time.Millisecond)
			done += float64(min(load, slots)) * (10 * time.Millisecond).Seconds() / work.Seconds()
			load, done = load-int(done), done-float64(int(done))
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(rt, "order") {
				for k := range all {
					all[k].SetShare(now, offered, offered, work, offered/float64(vms), vms)
					all[k].Report(now, load, 0)
					if i > 0 { // an older report that says that the server is idle
						all[k].Report(now, 0, time.Duration(i)*time.Second/2)
					}
				}
			}
			for k := range all {
				if all[k].Delay(now) == 0 {
					all[k].Start(now)
					load++
				}
			}
			assert.Assert(rt, load <= held, "%d requests at a server that holds %d", load, held)
		}
	})
}

func BenchmarkDelayAndStart(b *testing.B) {
	servers := make([]Server, 100)
	for i := range servers {
		servers[i] = *newServer(25)
		servers[i].Report(begin, 5, 0)
	}
	now := begin
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := &servers[i%len(servers)]
		now = now.Add(time.Microsecond)
		s.Delay(now)
		s.Start(now)
		s.Done(now)
	}
}
