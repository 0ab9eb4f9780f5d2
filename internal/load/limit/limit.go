// Package limit decides how many requests one entry VM may have on one backend
// server at once.
//
// The load pattern: a server has 2 or 4 slots, ten entry VMs share them, and
// each sees a tenth of the load. A fixed limit of slots/10 rounds to nothing;
// a fixed limit of all slots lets ten VMs put ten times the slots on the
// server, where they wait in its queue: out of order, past their deadlines,
// beyond any fairness.
//
// The limit adapts to what the VM itself observes. It compares the average
// latency of each batch of answers with the server's own quiet latency, learned
// over time. Waiting requests and short answers mean spare slots: one more.
// Long answers or a refusal by the server mean that the VMs together are over
// its slots: three tenths fewer. It never falls below one, so no entry VM is
// starved: ten VMs with one request each keep at most ten on a server, a wait
// of 1.5 service times at 4 slots. It never exceeds slots+1, which keeps one VM
// alone at full throughput with one request on its way.
//
// Grounds: service times vary as much as their mean, so an average of 16
// answers varies by a quarter; the quiet latency settles about 1.6 deviations
// below the mean by falling fifty times faster than it rises. Growing below 2x
// and cutting above 3x of it lets up to about one service time of queueing be.
package limit

import "time"

// Settings of the control loop, with the grounds in the package comment.
const (
	Batch   = 16     // answers averaged for one decision
	GrowAt  = 2.0    // grow while the average is below this multiple of quiet
	CutAt   = 3.0    // cut above this multiple
	Cut     = 0.7    // factor of a cut
	fall    = 0.1    // how fast quiet follows a lower average
	rise    = 0.002  // how fast it follows a higher one
	creep   = 0.0005 // how fast it follows one that looks like queueing
	minimum = 1
)

// Limit is the adaptive limit for one server. The zero value allows one request;
// call Bound before use.
type Limit struct {
	value float64
	most  float64
	quiet float64 // seconds
	sum   float64
	n     int
	tight bool // the limit held a request back during this batch
}

// Bound sets the most requests ever allowed: slots+1, or the connections this
// VM may hold if those are fewer. A new limit starts at half the slots.
func (l *Limit) Bound(slots, conns int) {
	l.most = float64(max(min(slots+1, conns), minimum))
	if l.value == 0 {
		l.value = float64(max(slots/2, minimum))
	}
	l.value = min(l.value, l.most)
}

// Max is the number of requests allowed now.
func (l *Limit) Max() int { return max(int(l.value), minimum) }

// Tight notes that a request had to wait because of the limit: only then does
// it make sense to grow.
func (l *Limit) Tight() { l.tight = true }

// Observe takes in the latency of an answer.
func (l *Limit) Observe(latency time.Duration) {
	l.sum += latency.Seconds()
	l.n++
	if l.n < Batch {
		return
	}
	l.decide(l.sum / float64(l.n))
	l.sum, l.n, l.tight = 0, 0, false
}

func (l *Limit) decide(avg float64) {
	if l.quiet == 0 {
		l.quiet = avg
	}
	ratio := avg / l.quiet
	l.learn(avg, ratio)
	switch {
	case ratio > CutAt:
		l.cut()
	case ratio < GrowAt && l.tight:
		l.value = min(l.value+1, max(l.most, minimum))
	}
}

func (l *Limit) learn(avg, ratio float64) {
	rate := rise
	switch {
	case ratio < 1:
		rate = fall
	case ratio > GrowAt:
		rate = creep
	}
	l.quiet += (avg - l.quiet) * rate
}

// Refused notes that the server itself turned a request away: the VMs together
// are over its slots, whatever the latency says.
func (l *Limit) Refused() {
	l.cut()
	l.sum, l.n, l.tight = 0, 0, false
}

func (l *Limit) cut() { l.value = max(l.value*Cut, minimum) }

// Quiet is the learned latency of the server without queueing.
func (l *Limit) Quiet() time.Duration { return time.Duration(l.quiet * float64(time.Second)) }
