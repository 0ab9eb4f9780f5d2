// Package fair gives every caller, and every key, its share of a busy service.
//
// The load pattern is one caller that sends half of all requests, or one key
// that gets a third of them. In order of arrival, everybody then waits behind
// the hot one, and under overload everybody is refused alike, although the
// others alone would all have been served.
//
// The method is approximate max-min fairness with one common rate. Each flow (a
// caller, a key) has a debt, which rises by the cost of each of its requests
// that is let in and is paid off at the common rate. Whoever sends more slowly
// than the rate owes nothing. Whoever sends faster is in debt: its requests go
// behind those of others and are the first to be refused. The rate is not set
// by anybody: it is squeezed a little each time a request of someone without
// debt has to be refused, and eases while requests are let in, so that it
// settles where the hot flows leave the others their room.
//
// A flow that owes much although it is refused for its debt must have sent at
// several times the rate for a while: it is hot, and is let in only when the
// queue is not standing. No rate is squeezed below Least of what one flow could
// reach alone, so that among many equal callers none is hot, nor below an
// equal share for each flow seen lately: one that is nearly alone would else be
// held to a fiftieth of a server that idles.
//
// Fair queueing by virtual time was tried first and needs a backlog to remember
// who has had how much; under overload the gate keeps its queues too short for
// that (see docs/design/load.md).
//
// Grounds: without Least, two times the load from 500 equal callers made all of
// them hot, and a quarter of the capacity was used (see docs/design/load.md); at
// 0.02 fifty equal callers can still fill a lane. A tenth per squeeze reaches the
// right rate within half a second of one server's arrivals; a thousandth per
// admission keeps the refusals of those without debt, at the settled rate, at
// about one in a hundred. A twentieth kept them at two and left the hot flow more:
// the others' p99 was up to 1.57 times theirs without it, 1.42 now. A flow
// whose debt is paid can be forgotten without changing what others owe, so only
// flows that were active lately are remembered: a million callers cost no
// more than DefaultFlows entries.
package fair

import "time"

// Flow is the hash of a caller or a key. Zero is "none", which is never charged.
type Flow uint64

// Settings, with their grounds in the package comment.
const (
	// DefaultFlows is how many flows a Book remembers: four times the longest
	// queue of the gate.
	DefaultFlows = 1024
	// MaxDebt bounds what a flow can owe, in requests: one that has calmed down
	// is an ordinary one again as soon as these are paid.
	MaxDebt = 8
	// FreeDebt is the debt that counts as none: two requests in a row are usual.
	FreeDebt = 2

	// HotDebt is the debt that only a hot flow reaches: the others are refused while
	// they owe more than Free, and so gain little beyond it.
	HotDebt = 3

	tighter = 0.9
	looser  = 1.001
	// Least is the smallest common rate, as a part of what one flow could reach
	// alone: whoever takes less than this is never what crowds the others out.
	Least   = 0.02
	fastest = 1e4
	sweep   = 4 // slots looked at for each new flow at the bound, to forget faster than they come
)

// Debts keeps the debts of the flows of one queue. The zero value is ready to
// use and remembers DefaultFlows flows.
type Debts struct {
	Max int // most flows remembered; zero is DefaultFlows

	flows  flows
	lately int     // flows remembered before the last forgetting
	rate   float64 // requests per second at which each flow pays
	paid   float64 // what a flow in debt has paid since the start
	at     time.Time
}

// Debt is how many requests the flow owes. More than Free is over its share,
// more than Much is hot.
func (b *Debts) Debt(now time.Time, f Flow) float64 {
	if f == 0 {
		return 0
	}
	b.pay(now)
	s := b.flows.find(f)
	if s == nil {
		return 0
	}
	return b.debt(s)
}

func (b *Debts) debt(s *slot) float64 { return max(s.due-b.paid, 0) }

// Delay is how long it takes to pay a debt down to Free; zero for one that is
// within its share.
func (b *Debts) Delay(debt float64) time.Duration {
	over := debt - FreeDebt
	if over <= 0 {
		return 0
	}
	return time.Duration(over / b.speed() * float64(time.Second))
}

// Charge adds a request that was let in.
func (b *Debts) Charge(now time.Time, f Flow, cost float64) {
	if f == 0 {
		return
	}
	b.pay(now)
	s := b.flows.find(f)
	if s == nil {
		s = b.remember(f)
	}
	s.due = b.paid + min(b.debt(s)+cost, MaxDebt)
}

// Refund takes back a charge whose request was refused or abandoned after all.
func (b *Debts) Refund(f Flow, cost float64) {
	if s := b.flows.find(f); s != nil {
		s.due -= cost
	}
}

// LowerRate lowers the common rate, because someone without debt was refused.
// Most is the rate, in requests per second, that one flow could reach alone.
func (b *Debts) LowerRate(most float64) {
	share := 1 / float64(max(b.flows.n, b.lately, 1))
	b.rate = max(min(b.speed(), most)*tighter, most*max(Least, share))
}

// RaiseRate raises the common rate a little, because a request was let in.
func (b *Debts) RaiseRate() { b.rate = min(b.speed()*looser, fastest) }

// Len is the number of flows remembered.
func (b *Debts) Len() int { return b.flows.n }

func (b *Debts) speed() float64 {
	if b.rate == 0 {
		return fastest
	}
	return b.rate
}

func (b *Debts) pay(now time.Time) {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	if !b.at.IsZero() {
		b.paid += passed.Seconds() * b.speed()
	}
	b.at = now
}

// remember gives a new flow its slot. Those that owe nothing are forgotten when
// the table is full, before it grows. When all owe something and the book is at
// its bound it drops the next one, which then starts afresh: a bounded unfairness
// in place of unbounded memory.
func (b *Debts) remember(f Flow) *slot {
	if b.Max <= 0 {
		b.Max = DefaultFlows
	}
	switch {
	case b.flows.n >= b.Max:
		b.flows.forget(sweep, b.paid)
	case b.flows.full():
		b.lately = b.flows.n
		b.flows.forget(len(b.flows.slots), b.paid)
		if 4*b.flows.n > len(b.flows.slots) {
			b.flows.grow() // or it would be full again soon
		}
	}
	if b.flows.n >= b.Max {
		b.flows.drop()
	}
	return b.flows.add(f)
}
