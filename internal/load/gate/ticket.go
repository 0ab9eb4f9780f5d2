package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fair"
	"hawthornfield.org/hawthornfield/internal/load/queue"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// state is where a request is in the core.
type state uint8

const (
	stateIdle          state = iota // new, or ended
	stateQueued                     // in a lane
	stateAwaitingOwner              // in a move queue
	stateStarted                    // on a backend server
	stateRefused
)

// Ticket is one request inside the core.
type Ticket struct {
	Job Job

	wake        chan struct{} // signalled when the request is decided
	gen         uint64        // incremented when the ticket is reused
	state       state
	sizeKind    sizes.Kind
	srv         *server   // on which it was started; nil before that
	startedAt   time.Time // when the last attempt was sent
	expect      Expectation
	refusalKind kinds.Kind
	retryAfter  time.Duration

	lanes          *lanePair // that it was offered to; nil before that
	item           queue.Item[*Ticket]
	callerFlow     fair.Flow
	keyFlow        fair.Flow
	latencyUnknown bool       // admitted before typical latencies were known
	moveQueue      *moveQueue // that it waits in; nil otherwise

	incarnation   int64    // of the server when the last attempt was sent
	sentLoad      sentLoad // load of the server when the last attempt was sent
	stalled       bool     // Core.Stalled was called
	givenUp       bool     // it holds a connection but no slot, because it is stalled
	retryReserved bool     // the next attempt was charged by Core.Stalled
}

// Server returns the server on which the request was started.
func (t *Ticket) Server() ident.Server {
	if t.srv == nil {
		return ""
	}
	return t.srv.info.Name
}

// Refusal returns why the request was refused and when to retry; the kind is None if it
// was started.
func (t *Ticket) Refusal() (kinds.Kind, time.Duration) { return t.refusalKind, t.retryAfter }

func (t *Ticket) reset() {
	*t = Ticket{wake: t.wake, gen: t.gen + 1}
}
