// Package place decides which keys should change their owner.
//
// The pattern it answers: load per key is uneven and drifts (a busy scale, a
// ward under debate), servers join and leave all day, and every move has a
// price: the key waits while it moves, and finds a cold server. Without a plan
// the busiest server sets the latency of everybody; with a plan that always
// restores perfect balance, keys move all the time for nothing.
//
// Keys hash to slices, and slices move by a greedy rule inside a band: nothing
// moves while every server's load stays within the band around the mean; once
// one leaves it, the fewest and largest slices move until it is well inside. The
// width of the band is the one setting that trades imbalance against churn, and
// [Weights] set it per service. Rendezvous hashing and bounded loads were weighed
// against it: they place without state, but rendezvous cannot see load at all
// and bounded loads move keys whose servers are well; see docs/design/placement.md
// for the curve.
//
// Single hot keys are moved or held apart from their slice where that helps. A
// hot key that alone exceeds a server gains nothing by moving: its neighbours
// move away from it.
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
	// Accepting says that it may get keys. A server that does not take keys loses
	// those that it has.
	Accepting bool
}

// RampOf returns the share of its capacity that a server has reached. It begins
// at a tenth, so that a cold server gets some keys to become warm with, and
// rises evenly over the time given.
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
	// Loads holds each slice's load, its hot keys included; nil counts as equal.
	Loads []float64
	// Homes holds the data centre from which most requests for a slice come,
	// empty for no preference; nil for none at all.
	Homes []ident.Centre
	Hot   []Hot
	Band  Band
}

// Reason says what a move is for.
type Reason string

// The reasons, in the order in which moves are made.
const (
	Orphan Reason = "orphan" // the owner is lost or there was none
	Drain  Reason = "drain"  // the owner leaves
	Hold   Reason = "hold"   // a hot key stays while its slice moves
	Join   Reason = "join"   // a key returns to its slice, no one else owns it meanwhile
	Excess Reason = "excess" // the owner has more than the band allows
	Fill   Reason = "fill"   // the new owner has less than the band allows
)

// Move is one change of ownership. With Key set it concerns that key alone, and
// Slice names where it hashes to; To then owns it apart from the slice, or with
// it again when To is the slice's owner.
type Move struct {
	Slice  ident.Slice
	Key    ident.Key
	From   ident.Server
	To     ident.Server
	Reason Reason
}

// Band says how far a server's load may be from the mean before keys move, and
// how many may.
type Band struct {
	// High is the share above the mean, and Low that below it, at which moves
	// begin. They go on until the load is within half of it.
	High, Low float64
	// Budget is the most moves for balance in one plan; moves that end a
	// server's ownership because it is lost or leaves are not counted.
	Budget int
}

// Weights say what a service's users mind most. They are relative to each other;
// all zero counts as all equal.
type Weights struct {
	Imbalance   float64 // waiting behind a busy server
	Churn       float64 // finding a cold server
	Unavailable float64 // waiting while a key moves
}

// Bounds of a band. Below the first, the noise of counting moves keys; above the
// last, one server does twice the work of the others.
const (
	narrow   = 0.05
	standard = 0.15
	wide     = 1.0
	lowest   = 0.9 // a server must be nearly idle before a wide band fills it
)

// budgetShare is the share of the slices that may move for balance in one plan.
// With a plan a second it is also the most per second, so that a wrong load
// report cannot turn the whole service over before somebody sees it.
const budgetShare = 1.0 / 256

// BandFor returns the band for a service of n slices. Moves cost a short wait
// each, which is unavailable time, but an overloaded server costs waiting for as
// long as it lasts; so unavailable time counts a quarter as much as churn.
func BandFor(w Weights, n int) Band {
	if w == (Weights{}) {
		w = Weights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
	const moveWait = 0.25
	price := (w.Churn + moveWait*w.Unavailable) / (1 + moveWait)
	high := wide
	if w.Imbalance > 0 {
		high = min(wide, max(narrow, standard*price/w.Imbalance))
	}
	return Band{High: high, Low: min(lowest, 2*high), Budget: max(1, int(float64(n)*budgetShare))}
}
