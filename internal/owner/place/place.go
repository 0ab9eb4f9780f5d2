// Package place decides which keys should change their owner.
//
// The load per key is uneven and drifts (a busy scale, a ward under debate), servers join
// and leave all day, and every move has a price: requests for the key wait while it moves,
// and then reach a cold server. Without a plan, the busiest server determines everybody's
// latency; with a plan that always restores perfect balance, keys move all the time for
// nothing.
//
// Keys hash to slices, and a greedy rule moves slices to keep loads within a band: nothing
// moves while every server's load stays within the band around the mean; once one leaves
// it, the fewest and largest slices move until it is well inside. The width of the band is
// the one setting that trades imbalance against churn, and [Weights] set it per service.
// The alternatives were rendezvous hashing and bounded loads. Both place without state, but
// rendezvous hashing ignores load, and bounded loads move keys of servers that are not
// overloaded; see docs/design/placement.md for the curve.
//
// Single hot keys are moved or kept apart from their slice where that helps. A hot key that
// alone exceeds a server gains nothing by moving: its neighbours move away from it.
package place

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Server is a backend server that may own keys.
type Server struct {
	ID     ident.Server
	Centre ident.Centre
	// Weight is its capacity relative to the others; zero counts as 1.
	Weight float64
	// Ramp is the share of its capacity that it has reached since a cold start,
	// from 0 to 1; see RampOf. Zero counts as 1.
	Ramp float64
	// Accepting says that the server may get keys. One that does not loses those it has.
	Accepting bool
}

// RampOf returns the share of its capacity that a server has reached. It starts at a tenth,
// so that a cold server gets some keys to warm up with, and rises linearly over the given
// time.
func RampOf(since, now time.Time, over time.Duration) float64 {
	const least = 0.1
	if over <= 0 {
		return 1
	}
	return min(1, max(least, float64(now.Sub(since))/float64(over)))
}

// Hot is a key whose own load is known.
type Hot struct {
	Key   ident.Key
	Slice ident.Slice
	Load  float64
	// Owner is set when the key is owned apart from its slice.
	Owner ident.Server
}

// Input is everything that a plan depends on.
type Input struct {
	Servers []Server
	// Owners holds each slice's owner, empty for none.
	Owners []ident.Server
	// Loads holds each slice's load, including its hot keys; nil means equal loads.
	Loads []float64
	// Homes holds the data centre that most requests for a slice come from; empty for no
	// preference, nil for none at all.
	Homes []ident.Centre
	Hot   []Hot
	Band  Band
}

// Reason says why a move is made.
type Reason string

// The reasons. A plan lists its moves in the order Hold, Orphan, Drain, Join, Excess, Fill.
const (
	Orphan Reason = "orphan" // the owner is lost, or there was none
	Drain  Reason = "drain"  // the owner is leaving
	Hold   Reason = "hold"   // a hot key stays while its slice moves
	Join   Reason = "join"   // a key returns to its slice; it has no other owner meanwhile
	Excess Reason = "excess" // the owner has more load than the band allows
	Fill   Reason = "fill"   // the new owner has less load than the band allows
)

// Move is one change of ownership. If Key is set, the move concerns that key alone, and
// Slice is the slice that it hashes to. To then owns the key apart from the slice, or
// together with it if To is the slice's owner.
type Move struct {
	Slice  ident.Slice
	Key    ident.Key
	From   ident.Server
	To     ident.Server
	Reason Reason
}

// Band says how far a server's load may be from the mean before keys move, and how many may
// move.
type Band struct {
	// High is the share above the mean, and Low the share below it, at which moves begin.
	// They continue until the load is within half of it.
	High, Low float64
	// Budget is the maximum number of moves for balance in one plan. Moves away from a
	// server that is lost or leaving are not counted.
	Budget int
}

// Weights rank what a service's users mind most, relative to each other. All zero means all
// equal.
type Weights struct {
	Imbalance   float64 // waiting behind a busy server
	Churn       float64 // finding a cold server
	Unavailable float64 // waiting while a key moves
}

// Limits of a band. Below minHigh, random variation of counts moves keys; at maxHigh, one
// server does twice the work of the others.
const (
	minHigh     = 0.05
	defaultHigh = 0.15
	maxHigh     = 1.0
	maxLow      = 0.9 // a server must be nearly idle before a wide band fills it
)

// moveBudgetShare is the share of the slices that one plan may move for balance. With a plan
// a second it is also the limit per second, so that a wrong load report cannot move the
// whole service before somebody notices.
const moveBudgetShare = 1.0 / 256

// BandFor returns the band for a service of n slices. Each move costs a short wait, which is
// unavailable time, while an overloaded server makes requests wait for as long as the
// overload lasts; so unavailable time counts a quarter as much as churn.
func BandFor(w Weights, n int) Band {
	if w == (Weights{}) {
		w = Weights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
	const moveWait = 0.25
	price := (w.Churn + moveWait*w.Unavailable) / (1 + moveWait)
	high := maxHigh
	if w.Imbalance > 0 {
		high = min(maxHigh, max(minHigh, defaultHigh*price/w.Imbalance))
	}
	return Band{High: high, Low: min(maxLow, 2*high), Budget: max(1, int(float64(n)*moveBudgetShare))}
}
