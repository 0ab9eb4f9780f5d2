// Package pick chooses a backend server for a request of a service whose servers do not own
// keys.
//
// The load pattern: servers differ, now and then one is ten times slower, and their load
// reports are old or wrong. Round robin sends a tenth of the requests to the slow one. The
// server with the least reported load attracts all entry VMs at once until the next report
// (a herd), and so does a server whose report is false. If a VM counts only its own
// requests in flight, a server that fails at once looks idle and attracts everything.
//
// [Set.Choose] compares two servers: the next one in turn and a random one. Round robin
// spreads the requests of this VM more evenly than chance, and differences between equal
// servers are mostly noise. So the random server is taken only when its score is better by
// [BetterFactor], which removes most of the harm of a bad server. There is no herd, since
// each VM draws its own random server.
//
// The score is the expected time to an answer: the observed latency, in which a failure
// counts as ten long answers, scaled by the load. The load is the requests of this VM in
// flight per slot, plus the reported load of the other VMs as far as the report is recent
// and the server's earlier reports were plausible.
package pick

import (
	"math/rand/v2"
	"time"
)

// Settings of the score.
const (
	// ReportHalfAge is the age at which a report counts half. A queue of a few slots turns
	// over within about 200 ms.
	ReportHalfAge = 200 * time.Millisecond
	// MaxReportedLoad bounds the reported load of other VMs, as a multiple of the slots.
	// Reports only add load, so a false report changes a score by a factor of three at
	// most, less than the observed latency of the overload that it causes.
	MaxReportedLoad = 2.0
	// BetterFactor is the factor by which the score of the random server must be better. At
	// 2 the p99 latency of equal servers is that of plain round robin (see
	// docs/design/load.md); averages of ten answers differ by less than that.
	BetterFactor = 2.0
	// FailurePenalty is the number of average answers that a failure counts as.
	FailurePenalty = 10
	// smoothing is the weight of a new answer in the moving averages of latency.
	smoothing = 0.2
	// failDecay is the weight of earlier attempts in the moving average of failures.
	failDecay = 0.9
	// latencyFadeTime is the idle time after which the excess of a server's latency over
	// the mean counts half, so that the server is tried again after a bad minute.
	latencyFadeTime = 10 * time.Second
	// defaultLatency is the latency, in seconds, assumed before any answer.
	defaultLatency = 5e-3
	// trustDecay is the part of the trust in a server's reports that is left after an
	// implausible report.
	trustDecay = 0.8
	// trustRecovery is the part of the distrust that each plausible report removes.
	trustRecovery = 0.02
)

// Load is what is known of the load of one server. The zero value is a server of one slot
// without any observations.
type Load struct {
	Slots   int
	Running int     // requests of this VM in flight
	Weight  float64 // part of its normal load that it should get, 0 to 1; zero means 1

	latency       float64   // average in seconds, failures included
	observedAt    time.Time // last answer or failure
	failureRate   float64   // moving average, 0 to 1
	answerLatency float64   // average in seconds of the answers alone
	reportedLoad  float64   // reported requests of other VMs
	reportedAt    time.Time // when the server wrote the report
	distrust      float64   // 0 to 1; zero means that its reports are trusted fully
}

// Observe records the latency of an answer, or a failure.
func (l *Load) Observe(now time.Time, latency time.Duration, failed bool) {
	s := latency.Seconds()
	l.failureRate *= failDecay
	if failed {
		l.failureRate += 1 - failDecay
		l.updateAnswerLatency(max(s, l.answerLatency)) // the answer would have taken at least that long
		s = max(s, l.AnswerLatency().Seconds()*FailurePenalty)
	} else {
		l.updateAnswerLatency(s)
	}
	if l.latency == 0 {
		l.latency = s
	} else {
		l.latency += (s - l.latency) * smoothing
	}
	l.observedAt = now
}

func (l *Load) updateAnswerLatency(s float64) {
	if l.answerLatency == 0 {
		l.answerLatency = s
		return
	}
	l.answerLatency += (s - l.answerLatency) * smoothing
}

// AnswerLatency returns the average latency of the answers alone. A failure counts only as
// far as it took longer than that.
func (l *Load) AnswerLatency() time.Duration {
	if l.answerLatency == 0 {
		return time.Duration(defaultLatency * float64(time.Second))
	}
	return time.Duration(l.answerLatency * float64(time.Second))
}

// FailureRate returns the recent part of attempts that failed, 0 to 1.
func (l *Load) FailureRate() float64 { return l.failureRate }

// Latency returns the average observed latency, with each failure counted as a long answer.
func (l *Load) Latency() time.Duration {
	if l.latency == 0 {
		return time.Duration(defaultLatency * float64(time.Second))
	}
	return time.Duration(l.latency * float64(time.Second))
}

// Report records the server's own load report: the requests that ran or were queued there
// when the report was written, age ago. The argument mean is the average latency of the
// service. A server that reports idle slots while it answers slowly is trusted less from
// then on.
func (l *Load) Report(now time.Time, load int, age, mean time.Duration) {
	l.reportedLoad = max(float64(load-l.Running), 0)
	l.reportedAt = now.Add(-age)
	claimsIdle := float64(load) < float64(l.slots())
	if claimsIdle && mean > 0 && l.Latency() > mean*3/2 {
		l.distrust += (1 - l.distrust) * (1 - trustDecay)
		return
	}
	l.distrust -= l.distrust * trustRecovery
}

func (l *Load) slots() int { return max(l.Slots, 1) }

// Score returns the expected time to an answer, in seconds. Lower is better. The argument
// mean is the average latency of the service in seconds.
func (l *Load) Score(now time.Time, mean float64) float64 {
	latency := l.latency
	if latency == 0 {
		latency = max(mean, defaultLatency)
	}
	if mean > 0 && latency > mean && l.Running == 0 {
		idle := float64(now.Sub(l.observedAt)) / float64(latencyFadeTime)
		latency = mean + (latency-mean)/(1+idle)
	}
	slots := float64(l.slots())
	load := float64(l.Running)/slots + l.otherLoad(now, slots)
	score := latency * (1 + load) * (1 + FailurePenalty*l.failureRate)
	if l.Weight > 0 {
		score /= l.Weight
	}
	return score
}

// otherLoad returns the load by other VMs, as a multiple of the slots, weighted by the age
// of the report and the trust in the server.
func (l *Load) otherLoad(now time.Time, slots float64) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	age := max(float64(now.Sub(l.reportedAt)), 0)
	freshness := float64(ReportHalfAge) / (float64(ReportHalfAge) + age)
	return min(l.reportedLoad/slots, MaxReportedLoad) * freshness * (1 - l.distrust)
}

// Set is the set of servers that can take a request now, by index. The zero value is empty.
type Set struct {
	members    []int32 // in no particular order
	positions  []int32 // by index: position in members plus one, zero when absent
	lastInTurn int     // index last returned by nextInTurn
	started    bool    // lastInTurn is set
}

// Len returns the number of servers in the set.
func (s *Set) Len() int { return len(s.members) }

// Put adds server i to the set if it has room, and removes it otherwise.
func (s *Set) Put(i int, room bool) {
	for i >= len(s.positions) {
		s.positions = append(s.positions, 0)
	}
	switch pos := s.positions[i]; {
	case room && pos == 0:
		s.members = append(s.members, int32(i))
		s.positions[i] = int32(len(s.members))
	case !room && pos != 0:
		last := s.members[len(s.members)-1]
		s.members[pos-1] = last
		s.positions[last] = pos
		s.members = s.members[:len(s.members)-1]
		s.positions[i] = 0
	}
}

// Clear empties the set.
func (s *Set) Clear() {
	s.members = s.members[:0]
	clear(s.positions)
}

// Choose compares the next server in turn with a random one and returns the random one only
// if its score is better by [BetterFactor]. It never returns skip (an index, or -1 for
// none) unless that is the only server, and returns -1 if the set is empty.
func (s *Set) Choose(r *rand.Rand, skip int, score func(i int) float64) int {
	n := len(s.members)
	switch n {
	case 0:
		return -1
	case 1:
		return int(s.members[0])
	}
	a := s.nextInTurn(r, n, skip)
	b := s.pickRandom(r, n, a)
	if b == skip && n > 2 {
		b = s.pickRandom(r, n, a)
	}
	if b == skip || score(a) <= score(b)*BetterFactor {
		return a
	}
	return b
}

// nextInTurn returns the next member in round robin order. It tries a few indexes only:
// when most servers are full, a random member is as good. The first index is random,
// because VMs that start together know the servers in the same order and would otherwise
// all begin at the same one.
func (s *Set) nextInTurn(r *rand.Rand, n, skip int) int {
	if !s.started {
		s.lastInTurn, s.started = r.IntN(len(s.positions)), true
	}
	const maxTries = 8
	for range maxTries {
		s.lastInTurn = (s.lastInTurn + 1) % len(s.positions)
		if s.positions[s.lastInTurn] != 0 && s.lastInTurn != skip {
			return s.lastInTurn
		}
	}
	return s.pickRandom(r, n, skip)
}

// pickRandom returns a random member other than except.
func (s *Set) pickRandom(r *rand.Rand, n, except int) int {
	k := int(r.Uint32N(uint32(n)))
	if int(s.members[k]) == except {
		k = (k + 1) % n
	}
	return int(s.members[k])
}
