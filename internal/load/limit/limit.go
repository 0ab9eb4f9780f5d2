// Package limit decides how many requests one entry VM may have on one backend
// server at once.
//
// The load pattern: a server has 2 or 4 slots, ten entry VMs share them, and
// each sees a tenth of the load. A fixed limit of slots/10 rounds to nothing;
// a fixed limit of all slots lets ten VMs put ten times the slots on the
// server, where they wait in its queue: out of order, past their deadlines,
// beyond any fairness.
//
// The limit starts from this VM's share: twice the slots over the VMs, plus one
// for the uneven moment. It adapts from two signs. One is what the VM itself
// observes: the average latency of each batch of answers, against the server's
// own quiet latency, learned over time. The other is the server's report, which
// alone shows that the quiet latency was learned on a crowded server. Either one
// that speaks of a crowd cuts the limit, as does a refusal by the server; both
// must agree that slots are unused before the limit grows beyond the share, up
// to slots+1. So a lying report can do no more than hold the limit at one, or
// give the latency the only say up to the share.
//
// The limit never falls below one, so no entry VM is starved: ten VMs with one
// request each keep at most ten on a server, a wait of 1.5 service times at 4
// slots. The share bounds how far the limits of two VMs can drift apart.
//
// Grounds: service times vary as much as their mean, so an average of 16 answers
// varies by a quarter; the quiet latency settles about 1.6 deviations below the
// mean by falling fifty times faster than it rises, which makes a server without
// any queue look like 1.4 times quiet. Hence 1.5 for "quick", 2 for giving back
// and 3 for a cut. A report of three times the slots means that a request waits
// for two others first.
package limit

import "time"

// Settings of the control loop, with the grounds in the package comment.
const (
	Batch   = 16          // answers averaged for one decision
	SpareAt = 1.5         // above the share, grow while the average is below this multiple of quiet
	GrowAt  = 2.0         // up to the share, grow below this one; above it, return to the share
	CutAt   = 3.0         // cut above this multiple
	Cut     = 0.7         // factor of a cut
	Crowd   = 3.0         // a report of this many times the slots cuts
	Fresh   = time.Second // a report older than this says nothing
	fall    = 0.1         // how fast quiet follows a lower average
	rise    = 0.002       // how fast it follows a higher one
	creep   = 0.0005      // how fast it follows one that looks like queueing
	minimum = 1
)

// Limit is the adaptive limit for one server. The zero value allows one request;
// call Bound before use.
type Limit struct {
	value float64
	share float64
	most  float64
	quiet float64 // seconds
	sum   float64
	n     int
	crowd float64 // reported load over the slots
	told  time.Time
	tight bool // the limit held a request back during this batch
}

// SetBounds sets this VM's share of the slots, and the most requests ever allowed:
// slots+1, or the connections this VM may hold if those are fewer. A new limit
// starts at the share.
func (l *Limit) SetBounds(slots, vms, conns int) {
	vms = max(vms, 1)
	l.most = float64(max(min(slots+1, conns), minimum))
	l.share = min(float64((2*slots+vms-1)/vms+1), l.most)
	if l.value == 0 {
		l.value = l.share
	}
	l.value = min(l.value, l.most)
}

// Max is the number of requests allowed now.
func (l *Limit) Max() int { return max(int(l.value), minimum) }

// MarkLimited notes that a request had to wait because of the limit: only then does
// it make sense to grow.
func (l *Limit) MarkLimited() { l.tight = true }

// Report takes in the server's own word on its load, as a multiple of its slots.
func (l *Limit) Report(now time.Time, crowd float64) {
	l.crowd, l.told = crowd, now
	if crowd >= Crowd {
		l.cut()
	}
}

// spare reports whether a recent report says that slots are unused.
func (l *Limit) spare(now time.Time) bool {
	return l.crowd < 1 && !l.told.IsZero() && now.Sub(l.told) < Fresh
}

// crowded reports whether a recent report says that they are more than used.
func (l *Limit) crowded(now time.Time) bool {
	return l.crowd >= Crowd && now.Sub(l.told) < Fresh
}

// Observe takes in the latency of an answer.
func (l *Limit) Observe(now time.Time, latency time.Duration) {
	l.sum += latency.Seconds()
	l.n++
	if l.n < Batch {
		return
	}
	l.decide(now, l.sum/float64(l.n))
	l.sum, l.n, l.tight = 0, 0, false
}

func (l *Limit) decide(now time.Time, avg float64) {
	if l.quiet == 0 {
		l.quiet = avg
	}
	ratio := avg / l.quiet
	l.learn(avg, ratio)
	switch {
	case ratio > CutAt:
		l.cut()
	case ratio > GrowAt:
		l.value = min(l.value, l.share)
	case l.tight && l.value < l.share && !l.crowded(now):
		l.value = min(l.value+1, l.share)
	case l.tight && ratio < SpareAt && l.spare(now):
		l.value = min(l.value+1, l.most)
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

// MarkRefused notes that the server itself turned a request away: the VMs together
// are over its slots, whatever the latency says.
func (l *Limit) MarkRefused() {
	l.cut()
	l.sum, l.n, l.tight = 0, 0, false
}

func (l *Limit) cut() { l.value = max(min(l.value, l.share)*Cut, minimum) }

// Quiet is the learned latency of the server without queueing.
func (l *Limit) Quiet() time.Duration { return time.Duration(l.quiet * float64(time.Second)) }
