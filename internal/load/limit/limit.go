// Package limit decides how many requests one entry VM may have in flight at one backend
// server.
//
// The load pattern: a server has 2 or 4 slots, ten entry VMs share them, and each sees a
// tenth of the load. A fixed limit of slots/10 rounds to nothing. With a fixed limit of all
// slots, ten VMs can send ten times the slots to the server, where the requests wait in its
// queue: out of order, past their deadlines, and without fairness.
//
// The limit starts from this VM's share: twice the slots divided by the VMs, plus one for
// uneven load. It adapts to two signals. One is the average latency of each batch of
// answers relative to the baseline, the latency of the server without queueing, which is
// learned over time. The other is the load report of the server, which alone shows that the
// baseline was learned while the server was overloaded. Either signal of overload cuts the
// limit, and so does a refusal by the server. Both must show unused slots before the limit
// grows beyond the share, up to slots+1. So a false report can only hold the limit at one,
// or leave the decision up to the share to the latency.
//
// The limit never falls below one, so no entry VM is starved: ten VMs with one request each
// keep at most ten on a server, a wait of 1.5 service times at 4 slots. The share bounds
// how far the limits of two VMs can drift apart.
//
// The ratios are chosen for service times that vary as much as their mean, so that an
// average of 16 answers varies by a quarter. The baseline settles about 1.6 deviations
// below the mean because it falls fifty times faster than it rises, so a server without any
// queue looks like 1.4 times the baseline. Hence [SpareRatio] is 1.5, [GrowRatio] 2 and
// [CutRatio] 3.
package limit

import "time"

// Settings of the control loop. Ratios are those of average latency to the baseline, see
// the package comment.
const (
	BatchSize          = 16          // number of answers averaged for one decision
	SpareRatio         = 1.5         // from the share on, grow below this ratio
	GrowRatio          = 2.0         // below the share, grow up to this ratio; beyond this ratio, return to the share
	CutRatio           = 3.0         // cut above this ratio
	CutFactor          = 0.7         // factor by which a cut reduces the limit
	OverloadFactor     = 3.0         // cut at a reported load of this many times the slots: a request then waits for two others
	ReportMaxAge       = time.Second // older reports are ignored
	baselineFall       = 0.1         // weight of a lower average in the baseline
	baselineRise       = 0.002       // weight of a higher average
	baselineRiseQueued = 0.0005      // weight of an average above GrowRatio, which looks like queueing
	minLimit           = 1           // requests that are always allowed
)

// Limit is the adaptive limit for one server. The zero value allows one request; call
// SetBounds before use.
type Limit struct {
	value        float64 // current limit
	share        float64 // this VM's share of the slots
	max          float64 // upper bound of value
	baseline     float64 // latency without queueing, in seconds
	sum          float64 // latencies of the current batch, in seconds
	n            int     // answers in the current batch
	reportedLoad float64 // as a multiple of the slots
	reportedAt   time.Time
	limited      bool // a request had to wait because of the limit during this batch
}

// SetBounds sets this VM's share of the slots and the upper bound of the limit: slots+1, or
// the connections that this VM may hold if those are fewer. A new limit starts at the
// share.
func (l *Limit) SetBounds(slots, vms, conns int) {
	vms = max(vms, 1)
	l.max = float64(max(min(slots+1, conns), minLimit))
	l.share = min(float64((2*slots+vms-1)/vms+1), l.max)
	if l.value == 0 {
		l.value = l.share
	}
	l.value = min(l.value, l.max)
}

// Max returns the number of requests allowed now.
func (l *Limit) Max() int { return max(int(l.value), minLimit) }

// MarkLimited records that a request had to wait because of the limit. The limit grows only
// then.
func (l *Limit) MarkLimited() { l.limited = true }

// Report records the load that the server reports, as a multiple of its slots.
func (l *Limit) Report(now time.Time, load float64) {
	l.reportedLoad, l.reportedAt = load, now
	if load >= OverloadFactor {
		l.cut()
	}
}

// hasSpareSlots reports whether a recent report shows unused slots.
func (l *Limit) hasSpareSlots(now time.Time) bool {
	return l.reportedLoad < 1 && !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < ReportMaxAge
}

// overloaded reports whether a recent report shows overload.
func (l *Limit) overloaded(now time.Time) bool {
	return l.reportedLoad >= OverloadFactor && now.Sub(l.reportedAt) < ReportMaxAge
}

// Observe records the latency of an answer and adjusts the limit after each batch.
func (l *Limit) Observe(now time.Time, latency time.Duration) {
	l.sum += latency.Seconds()
	l.n++
	if l.n < BatchSize {
		return
	}
	l.adjust(now, l.sum/float64(l.n))
	l.sum, l.n, l.limited = 0, 0, false
}

// adjust changes the limit according to the average latency of a batch, in seconds.
func (l *Limit) adjust(now time.Time, avg float64) {
	if l.baseline == 0 {
		l.baseline = avg
	}
	ratio := avg / l.baseline
	l.updateBaseline(avg, ratio)
	switch {
	case ratio > CutRatio:
		l.cut()
	case ratio > GrowRatio:
		l.value = min(l.value, l.share)
	case l.limited && l.value < l.share && !l.overloaded(now):
		l.value = min(l.value+1, l.share)
	case l.limited && ratio < SpareRatio && l.hasSpareSlots(now):
		l.value = min(l.value+1, l.max)
	}
}

// updateBaseline moves the baseline towards the average latency of a batch.
func (l *Limit) updateBaseline(avg, ratio float64) {
	rate := baselineRise
	switch {
	case ratio < 1:
		rate = baselineFall
	case ratio > GrowRatio:
		rate = baselineRiseQueued
	}
	l.baseline += (avg - l.baseline) * rate
}

// MarkRefused records that the server refused a request: all VMs together exceed its slots,
// whatever the latency shows.
func (l *Limit) MarkRefused() {
	l.cut()
	l.sum, l.n, l.limited = 0, 0, false
}

func (l *Limit) cut() { l.value = max(min(l.value, l.share)*CutFactor, minLimit) }

// Baseline returns the learned latency of the server without queueing.
func (l *Limit) Baseline() time.Duration { return time.Duration(l.baseline * float64(time.Second)) }
