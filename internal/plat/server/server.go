// Package server is the narrow interface to a backend server's control side:
// fenced grants with deadlines, drain, health, load and cancellation.
//
// Time in orders is the server's own. Every answer carries a Mark, a reading of
// the server's monotonic clock; an order carries the mark of an answer that its
// sender already had, and all its durations count from that mark. A grant that
// was delayed in a queue, held by a paused sender, or read late by a server
// that was frozen has therefore already run out when it is obeyed, however long
// the delay was. See docs/design/ownership.md.
package server

import (
	"context"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Mark is a reading of a backend server's monotonic clock, as the duration
// since that server process started, with the number of that start.
type Mark struct {
	Boot uint64        `cbor:"boot" json:"boot"` // differs for every start of the server
	At   time.Duration `cbor:"at" json:"at"`
}

// Order is what a holder of authority sends to a backend server.
type Order struct {
	Service ident.Service `cbor:"svc" json:"svc"`
	Server  ident.Server  `cbor:"srv" json:"srv"`
	// Lessor names the authority the order is given under: the server whose keys
	// these are. It is Server itself, except where a stand-by holds them.
	Lessor ident.Server  `cbor:"seat" json:"seat"`
	Sender ident.VM      `cbor:"from" json:"from"`
	Fence  ident.Fence   `cbor:"fence" json:"fence"`
	Mark   Mark          `cbor:"mark" json:"mark"`
	TTL    time.Duration `cbor:"ttl" json:"ttl"` // lease and deadline, from Mark

	// Rev is the revision of the slice set. A renewal has Full false and no
	// sets: it extends what the server still holds at Rev, and never adds. A
	// lease that has lapsed cannot be renewed, only granted anew with Full.
	Rev    ident.Revision `cbor:"rev" json:"rev"`
	Full   bool           `cbor:"full" json:"full"`
	Slices []ident.Slice  `cbor:"set,omitempty" json:"set,omitempty"`
	// Keys are single keys owned apart from their slice; Except are keys of the
	// slices above that another server owns.
	Keys   []ident.Key `cbor:"keys,omitempty" json:"keys,omitempty"`
	Except []ident.Key `cbor:"not,omitempty" json:"not,omitempty"`
}

// Reply is a backend server's answer to any control call.
type Reply struct {
	Done   bool           `cbor:"done" json:"done"`   // the order was obeyed
	Reason string         `cbor:"why" json:"why"`     // reason when it was not: fence, late, rev
	Fence  ident.Fence    `cbor:"fence" json:"fence"` // highest fence obeyed
	Rev    ident.Revision `cbor:"rev" json:"rev"`     // slice set held
	Left   time.Duration  `cbor:"left" json:"left"`   // lease time left at Mark
	Mark   Mark           `cbor:"mark" json:"mark"`   // the server's clock now
	// Status is the server's own word, which spares a probe of it; nil from a server
	// that says nothing of itself in answers to orders.
	Status *Status `cbor:"word,omitempty" json:"word,omitempty"`
}

// Reasons in Reply.Why.
const (
	ReasonFence = "fence" // an order with a higher fence was obeyed before
	ReasonLate  = "late"  // Mark plus TTL has passed, or another start of the server
	ReasonRev   = "rev"   // a renewal named a set that the server does not hold
)

// Health is a server's own word on its state. It can lag or mislead.
type Health struct {
	Ready bool `cbor:"ready" json:"ready"`
	Cold  bool `cbor:"cold" json:"cold"`
	Drain bool `cbor:"drain" json:"drain"`
}

// Load is a server's own word on its load. It can lag or mislead.
type Load struct {
	Slots int           `cbor:"slots" json:"slots"`
	Busy  int           `cbor:"busy" json:"busy"`
	Queue int           `cbor:"queue" json:"queue"`
	Age   time.Duration `cbor:"age" json:"age"` // how old the report is
}

// Status is a server's own word on its state and its load, in one answer.
type Status struct {
	Health
	Load
}

// Control gives orders to backend servers. Errors carry kind Down (certainly
// not obeyed) or Ambiguous (may have been obeyed).
type Control interface {
	// Grant gives or renews a lease.
	Grant(ctx context.Context, to netip.AddrPort, o Order) (Reply, error)
	// Revoke ends the lease of everything not in the order's set; an order with
	// Full and no slices ends it all.
	Revoke(ctx context.Context, to netip.AddrPort, o Order) (Reply, error)
	// Read asks what the server holds under the authority that seat names (see
	// Order.Seat), without changing it.
	Read(ctx context.Context, to netip.AddrPort, svc ident.Service, seat ident.Server) (Reply, error)
	// Status asks for the server's own word on its state and load.
	Status(ctx context.Context, to netip.AddrPort) (Status, error)
	// Drain asks the server to finish what it has and take nothing new.
	Drain(ctx context.Context, to netip.AddrPort) error
	// Cancel asks the server to stop working on a request.
	Cancel(ctx context.Context, to netip.AddrPort, id ident.Request) error
}
