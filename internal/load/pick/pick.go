// Package pick chooses a backend server for a request of a service that is not
// divided by key.
//
// The load pattern: servers differ, now and then one is ten times slower, and
// what they say of themselves is old or wrong. Taking turns sends a tenth of
// the requests into the slow one. Taking the one that reports least load sends
// all entry VMs to the same server until the next report (a herd), and to the
// one whose report lies. Counting only one's own requests in flight makes a
// server that fails at once look idle, and it attracts everything.
//
// Choose servers are compared: the next in turn, and one drawn at random. Turns
// spread this VM's requests more evenly than chance, and what it knows of equal
// servers is mostly noise, so the random one is taken only when it is better by
// Clear; then it removes most of the harm of a bad server. It cannot herd, since
// VMs draw differently. Better is the shorter expected answer: observed latency,
// times own requests in flight over the slots, times the report in proportion to
// its freshness and to how far it has proved true. A failure counts as ten long
// answers.
//
// Grounds: a report's weight halves every 200 ms of age, which is the scale on
// which a queue of a few slots turns over. A report adds at most two servers'
// worth of load and never subtracts, so a lie can move a server's score by a
// factor of three, less than the observed latency of the overload it causes.
// BetterFactor of 2 is where the p99 of equal servers is that of plain turns (see
// docs/design/load.md); averages of ten answers differ by less than that.
package pick

import (
	"math/rand/v2"
	"time"
)

// Settings, with their grounds in the package comment.
const (
	HalfAge      = 200 * time.Millisecond
	MaxForeign   = 2.0 // a report's load counts up to this many times the slots
	BetterFactor = 2.0 // the random server must be better by this factor
	Penalty      = 10  // a failure counts as an answer this many times longer
	follow       = 0.2
	failDecay    = 0.9
	// forget is how fast a server's bad latency fades while it is not tried, so
	// that one bad minute is not held against it for ever.
	forget = 10 * time.Second
	// Typical answers are assumed to take this long before any is seen.
	typical = 5e-3
	doubt   = 0.8
	believe = 0.02
)

// Load is what is known of one server's load. The zero value is a server of one
// slot that nothing is known of.
type Load struct {
	Slots   int
	Running int     // own requests in flight
	Weight  float64 // part of its normal load it should get, 0 to 1; zero is 1

	latency float64 // seconds
	seen    time.Time
	fails   float64 // recent share of failures, 0 to 1
	answer  float64 // seconds
	foreign float64 // reported requests of others
	told    time.Time
	trust   float64 // 0 distrusted fully; kept as distrust so that zero works
}

// Observe takes in an answer's latency, or a failure.
func (l *Load) Observe(now time.Time, latency time.Duration, failed bool) {
	s := latency.Seconds()
	l.fails *= failDecay
	if failed {
		l.fails += 1 - failDecay
		l.answered(max(s, l.answer)) // it would have taken longer than that
		s = max(s, l.AnswerLatency().Seconds()*Penalty)
	} else {
		l.answered(s)
	}
	if l.latency == 0 {
		l.latency = s
	} else {
		l.latency += (s - l.latency) * follow
	}
	l.seen = now
}

func (l *Load) answered(s float64) {
	if l.answer == 0 {
		l.answer = s
		return
	}
	l.answer += (s - l.answer) * follow
}

// AnswerLatency is the average latency of the answers alone: what a request that is
// answered can expect.
func (l *Load) AnswerLatency() time.Duration {
	if l.answer == 0 {
		return time.Duration(typical * float64(time.Second))
	}
	return time.Duration(l.answer * float64(time.Second))
}

// FailureRate is the recent share of attempts that failed.
func (l *Load) FailureRate() float64 { return l.fails }

// Latency is the average latency observed, Penalty included.
func (l *Load) Latency() time.Duration {
	if l.latency == 0 {
		return time.Duration(typical * float64(time.Second))
	}
	return time.Duration(l.latency * float64(time.Second))
}

// Report takes in the server's own word: requests running and queued there, as
// of the given age. Mean is the average latency of the service: a server that
// claims to be idle while it answers slowly is believed less from then on.
func (l *Load) Report(now time.Time, load int, age, mean time.Duration) {
	l.foreign = max(float64(load-l.Running), 0)
	l.told = now.Add(-age)
	claim := float64(load) < float64(l.slots())
	if claim && mean > 0 && l.Latency() > mean*3/2 {
		l.trust += (1 - l.trust) * (1 - doubt)
		return
	}
	l.trust -= l.trust * believe
}

func (l *Load) slots() int { return max(l.Slots, 1) }

// Score is the expected time to an answer, in seconds: lower is better.
func (l *Load) Score(now time.Time, mean float64) float64 {
	latency := l.latency
	if latency == 0 {
		latency = max(mean, typical)
	}
	if mean > 0 && latency > mean && l.Running == 0 {
		unseen := float64(now.Sub(l.seen)) / float64(forget)
		latency = mean + (latency-mean)/(1+unseen)
	}
	slots := float64(l.slots())
	busy := float64(l.Running)/slots + l.others(now, slots)
	score := latency * (1 + busy) * (1 + Penalty*l.fails)
	if l.Weight > 0 {
		score /= l.Weight
	}
	return score
}

// others is the load of the other entry VMs, in servers' worth, as far as the
// report is fresh and believed.
func (l *Load) others(now time.Time, slots float64) float64 {
	if l.told.IsZero() {
		return 0
	}
	age := max(float64(now.Sub(l.told)), 0)
	fresh := float64(HalfAge) / (float64(HalfAge) + age)
	return min(l.foreign/slots, MaxForeign) * fresh * (1 - l.trust)
}

// Set is the servers that have room now, by index. The zero value is empty.
type Set struct {
	open []int32
	at   []int32 // position in open plus one, zero when absent
	turn int     // index taken in turn last
	went bool    // some index was taken in turn
}

// Len is how many servers have room.
func (s *Set) Len() int { return len(s.open) }

// Put says whether server i has room.
func (s *Set) Put(i int, room bool) {
	for i >= len(s.at) {
		s.at = append(s.at, 0)
	}
	switch pos := s.at[i]; {
	case room && pos == 0:
		s.open = append(s.open, int32(i))
		s.at[i] = int32(len(s.open))
	case !room && pos != 0:
		last := s.open[len(s.open)-1]
		s.open[pos-1] = last
		s.at[last] = pos
		s.open = s.open[:len(s.open)-1]
		s.at[i] = 0
	}
}

// Clear empties the set.
func (s *Set) Clear() {
	s.open = s.open[:0]
	clear(s.at)
}

// Choose takes the next server in turn and a random one, and returns the one that
// score rates better: the random one only if it is better by Clear. It never
// returns skip (an index, or -1 for none) unless that is the only one; it
// returns -1 when no server has room.
func (s *Set) Choose(r *rand.Rand, skip int, score func(i int) float64) int {
	n := len(s.open)
	switch n {
	case 0:
		return -1
	case 1:
		return int(s.open[0])
	}
	a := s.inTurn(r, n, skip)
	b := s.draw(r, n, a)
	if b == skip && n > 2 {
		b = s.draw(r, n, a)
	}
	if b == skip || score(a) <= score(b)*BetterFactor {
		return a
	}
	return b
}

// inTurn returns the next member after the last one taken in turn, by index. It
// looks at a few indexes only: when most servers are full, a random one with
// room is as good. The first turn is a random one: VMs that start together know the
// servers in the same order, and would come to each of them at the same moment.
func (s *Set) inTurn(r *rand.Rand, n, skip int) int {
	if !s.went {
		s.turn, s.went = r.IntN(len(s.at)), true
	}
	const looks = 8
	for range looks {
		s.turn = (s.turn + 1) % len(s.at)
		if s.at[s.turn] != 0 && s.turn != skip {
			return s.turn
		}
	}
	return s.draw(r, n, skip)
}

// draw returns a random member other than not.
func (s *Set) draw(r *rand.Rand, n, not int) int {
	k := int(r.Uint32N(uint32(n)))
	if int(s.open[k]) == not {
		k = (k + 1) % n
	}
	return int(s.open[k])
}
