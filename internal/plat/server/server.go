// Package server defines the control interface of a backend server: lease grants
// with fencing tokens and deadlines, drain, health, load and cancellation.
//
// Times in orders are measured on the server's own clock. Every reply contains a
// [Mark], a reading of the server's monotonic clock. An order contains the mark of
// an earlier reply, and all its durations start at that mark. A grant that was
// delayed in a queue, by a paused sender, or by a frozen server has therefore
// already expired when the server processes it, however long the delay was. See
// docs/design/ownership.md.
package server

import (
	"context"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Mark is a reading of a backend server's monotonic clock: the time since the server
// process started, and a number that identifies this start.
type Mark struct {
	Boot uint64        `cbor:"boot" json:"boot"` // different for every start of the server process
	At   time.Duration `cbor:"at" json:"at"`
}

// Order is a grant, a renewal or a revocation of a lease, sent to a backend server by
// the VM that holds the authority over its keys.
type Order struct {
	Service ident.Service `cbor:"svc" json:"svc"`
	Server  ident.Server  `cbor:"srv" json:"srv"`
	// Lessor names the authority under which the order is given, by the server
	// whose keys it covers. It equals Server, unless Server is a standby that owns
	// the keys of another server.
	Lessor ident.Server  `cbor:"seat" json:"seat"`
	Sender ident.VM      `cbor:"from" json:"from"`
	Fence  ident.Fence   `cbor:"fence" json:"fence"`
	Mark   Mark          `cbor:"mark" json:"mark"`
	TTL    time.Duration `cbor:"ttl" json:"ttl"` // duration of the lease and deadline of the order, from Mark

	// Rev is the revision of the set of slices and keys. A renewal has Full false and
	// no sets: it extends the lease of what the server still holds at Rev and never
	// adds to it. An expired lease cannot be renewed, only granted again with Full.
	Rev    ident.Revision `cbor:"rev" json:"rev"`
	Full   bool           `cbor:"full" json:"full"`
	Slices []ident.Slice  `cbor:"set,omitempty" json:"set,omitempty"`
	// Keys are single keys that are owned separately from their slice. Except are
	// keys of Slices that another server owns.
	Keys   []ident.Key `cbor:"keys,omitempty" json:"keys,omitempty"`
	Except []ident.Key `cbor:"not,omitempty" json:"not,omitempty"`
}

// Reply is a backend server's response to an order or a read.
type Reply struct {
	Done   bool           `cbor:"done" json:"done"`   // the order was obeyed
	Reason string         `cbor:"why" json:"why"`     // why the order was not obeyed: one of the Reason constants
	Fence  ident.Fence    `cbor:"fence" json:"fence"` // highest fence of an order that was obeyed
	Rev    ident.Revision `cbor:"rev" json:"rev"`     // revision of the set that the server holds
	Left   time.Duration  `cbor:"left" json:"left"`   // remaining lease time at Mark
	Mark   Mark           `cbor:"mark" json:"mark"`   // current reading of the server's clock
	// Status is the server's report of its state, which makes a separate probe
	// unnecessary. It is nil if the server does not report it in replies.
	Status *Status `cbor:"word,omitempty" json:"word,omitempty"`
}

// Values of Reply.Reason.
const (
	ReasonFence = "fence" // an order with a higher fence was obeyed before
	ReasonLate  = "late"  // Mark plus TTL has passed, or Mark is of another start of the server
	ReasonRev   = "rev"   // the renewal named a revision that the server does not hold
)

// Health is a server's own report of its state. It can be outdated or wrong.
type Health struct {
	Ready bool `cbor:"ready" json:"ready"` // accepts requests
	Cold  bool `cbor:"cold" json:"cold"`   // just started, should get little load at first
	Drain bool `cbor:"drain" json:"drain"` // finishes its requests and accepts no new ones
}

// Load is a server's own report of its load. It can be outdated or wrong.
type Load struct {
	Slots int           `cbor:"slots" json:"slots"` // maximum number of requests it executes concurrently
	Busy  int           `cbor:"busy" json:"busy"`   // requests being executed
	Queue int           `cbor:"queue" json:"queue"` // requests waiting for a slot
	Age   time.Duration `cbor:"age" json:"age"`     // age of the report
}

// Status is a server's own report of its state and load.
type Status struct {
	Health
	Load
}

// Control sends orders to backend servers. Errors have kind Unavailable if an order
// was certainly not obeyed, and Ambiguous if it may have been obeyed.
type Control interface {
	// Grant grants or renews a lease.
	Grant(ctx context.Context, to netip.AddrPort, o Order) (Reply, error)
	// Revoke ends the lease of everything that is not in the order's set. An order
	// with Full and no slices ends the whole lease.
	Revoke(ctx context.Context, to netip.AddrPort, o Order) (Reply, error)
	// Read returns what the server holds under the given lessor (see
	// Order.Lessor), without changing it.
	Read(ctx context.Context, to netip.AddrPort, svc ident.Service, lessor ident.Server) (Reply, error)
	// Status returns the server's own report of its state and load.
	Status(ctx context.Context, to netip.AddrPort) (Status, error)
	// Drain asks the server to finish its requests and accept no new ones.
	Drain(ctx context.Context, to netip.AddrPort) error
	// Cancel asks the server to stop working on a request.
	Cancel(ctx context.Context, to netip.AddrPort, id ident.Request) error
}
