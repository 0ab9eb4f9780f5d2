// Package fair gives every caller, and every key, its share of a busy service.
//
// The load pattern is one caller that sends half of all requests, or one key that gets a
// third of them. In order of arrival, everybody then waits behind the hot flow. Under
// overload all are refused alike, although the others alone would all have been served.
//
// The method is approximate max-min fairness with one common rate. Each flow (a caller, a
// key) has a debt, which rises by the cost of each of its admitted requests and is paid off
// at the common rate. A flow slower than the rate has no debt. A flow faster than the rate
// is in debt: its requests are queued behind those of others and are refused first. The
// rate adapts: it is lowered each time a request of a flow without debt has to be refused,
// and raised a little with each admission, so that it settles where the hot flows leave
// room for the others.
//
// A flow whose debt exceeds [HotDebt], although requests are refused for debt, has sent at
// several times the rate for a while. It is hot, and is admitted only when the queue is not
// standing. The rate never falls below [MinRateShare] of what one flow could reach alone,
// so that among many equal callers none is hot. Nor does it fall below an equal share for
// each recent flow: a flow that is nearly alone would otherwise be held to a fiftieth of an
// idle server.
//
// Fair queueing by virtual time is not used because it needs a backlog to remember how much
// each flow has had, and under overload the gate keeps its queues too short for that (see
// docs/design/load.md).
//
// A flow whose debt is paid can be forgotten without a change to the debts of others. So
// only recently active flows are remembered: a million callers cost no more than
// [DefaultFlows] entries.
package fair

import "time"

// Flow is the hash of a caller or a key. Zero means none and is never charged.
type Flow uint64

// Settings of the debts.
const (
	// DefaultFlows is how many flows are remembered: four times the longest queue of the
	// gate.
	DefaultFlows = 1024
	// MaxDebt is the largest debt of a flow, in requests, so that a hot flow that slows
	// down is soon an ordinary one again.
	MaxDebt = 8
	// FreeDebt is the debt, in requests, that is ignored: two requests in a row are usual.
	FreeDebt = 2

	// HotDebt is the debt, in requests, that only a hot flow reaches: other flows are
	// refused while they owe more than FreeDebt, and so rise little beyond it.
	HotDebt = 3

	// rateDecrease is the factor of LowerRate. A tenth per refusal reaches the right rate
	// within half a second of the arrivals at one server. With a twentieth, two in a
	// hundred requests without debt were refused and the hot flow got more: the p99 latency
	// of the others was up to 1.57 times theirs without the hot flow, instead of 1.42.
	rateDecrease = 0.9
	// rateIncrease is the factor of RaiseRate. At a thousandth per admission, about one in
	// a hundred requests without debt is refused when the rate has settled.
	rateIncrease = 1.001
	// MinRateShare is the smallest common rate, as a part of what one flow could reach
	// alone. Without it, two times the load from 500 equal callers made all of them hot,
	// and a quarter of the capacity was used (see docs/design/load.md). At 0.02, fifty
	// equal callers can still fill a lane of the gate.
	MinRateShare = 0.02
	// maxRate is the initial and highest common rate, in requests per second.
	maxRate = 1e4
	// slotsPerSweep is the number of slots examined for each new flow when the table is at
	// its bound. More than one, so that flows are removed faster than they come.
	slotsPerSweep = 4
)

// Debts holds the debts of the flows of one queue. The zero value is ready to use and
// remembers DefaultFlows flows.
type Debts struct {
	Max int // maximum number of flows remembered; zero means DefaultFlows

	flows       flows
	recentFlows int       // number of flows before the last removal of those without debt
	rate        float64   // common rate, in requests per second; zero means maxRate
	paid        float64   // what a flow that was always in debt would have paid so far
	paidAt      time.Time // when paid was updated
}

// Debt returns how many requests the flow owes. A flow with more than [FreeDebt] is over
// its share, and one with more than [HotDebt] is hot.
func (d *Debts) Debt(now time.Time, f Flow) float64 {
	if f == 0 {
		return 0
	}
	d.accrue(now)
	s := d.flows.find(f)
	if s == nil {
		return 0
	}
	return d.debt(s)
}

// debt returns the unpaid part of a flow's charges.
func (d *Debts) debt(s *slot) float64 { return max(s.due-d.paid, 0) }

// Delay returns how long it takes to pay a debt down to FreeDebt; zero if it is not above
// that.
func (d *Debts) Delay(debt float64) time.Duration {
	excess := debt - FreeDebt
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / d.currentRate() * float64(time.Second))
}

// Charge adds the cost of an admitted request to the debt of its flow.
func (d *Debts) Charge(now time.Time, f Flow, cost float64) {
	if f == 0 {
		return
	}
	d.accrue(now)
	s := d.flows.find(f)
	if s == nil {
		s = d.addFlow(f)
	}
	s.due = d.paid + min(d.debt(s)+cost, MaxDebt)
}

// Refund reverses a charge whose request was refused or abandoned afterwards.
func (d *Debts) Refund(f Flow, cost float64) {
	if s := d.flows.find(f); s != nil {
		s.due -= cost
	}
}

// LowerRate lowers the common rate after a request without debt was refused. The argument
// is the rate, in requests per second, that one flow could reach alone.
func (d *Debts) LowerRate(maxFlowRate float64) {
	share := 1 / float64(max(d.flows.n, d.recentFlows, 1))
	d.rate = max(min(d.currentRate(), maxFlowRate)*rateDecrease, maxFlowRate*max(MinRateShare, share))
}

// RaiseRate raises the common rate a little after a request was admitted.
func (d *Debts) RaiseRate() { d.rate = min(d.currentRate()*rateIncrease, maxRate) }

// Len returns the number of flows remembered.
func (d *Debts) Len() int { return d.flows.n }

func (d *Debts) currentRate() float64 {
	if d.rate == 0 {
		return maxRate
	}
	return d.rate
}

// accrue adds to paid what flows in debt have paid since the last call.
func (d *Debts) accrue(now time.Time) {
	elapsed := now.Sub(d.paidAt)
	if elapsed <= 0 {
		return
	}
	if !d.paidAt.IsZero() {
		d.paid += elapsed.Seconds() * d.currentRate()
	}
	d.paidAt = now
}

// addFlow adds a new flow. When the table is full, flows without debt are removed before it
// grows. When all flows have debts and their number is at the bound, one is dropped and
// starts without debt when it returns: a bounded unfairness instead of unbounded memory.
func (d *Debts) addFlow(f Flow) *slot {
	if d.Max <= 0 {
		d.Max = DefaultFlows
	}
	switch {
	case d.flows.n >= d.Max:
		d.flows.removePaid(slotsPerSweep, d.paid)
	case d.flows.full():
		d.recentFlows = d.flows.n
		d.flows.removePaid(len(d.flows.slots), d.paid)
		if 4*d.flows.n > len(d.flows.slots) {
			d.flows.grow() // it would soon be full again otherwise
		}
	}
	if d.flows.n >= d.Max {
		d.flows.evictNext()
	}
	return d.flows.add(f)
}
