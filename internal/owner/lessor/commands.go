package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Guard is embedded in every command that needs an authority. A process can be
// paused between the decision and the effect, so the runner calls Valid again
// with its own clock immediately before it sends; if it is too late, it does
// not send and answers with kind Unavailable.
type Guard struct{ Until time.Time }

// Valid reports whether the authority behind the command still lasts.
func (g Guard) Valid(now time.Time) bool { return now.Before(g.Until) }

// Commands to the store.
type (
	// ReadRecordCmd reads the record.
	ReadRecordCmd struct{ At time.Time }

	// PutRecordCmd writes the record if the object's version is still Old.
	PutRecordCmd struct {
		Record Record
		Old    object.Version
		At     time.Time
	}

	// ReadTableCmd reads the service's table.
	ReadTableCmd struct{}

	// PutTableCmd writes the table if the object's version is still Old. After
	// a success the runner also passes the table on to the request path and to
	// peers.
	//
	// Edit is the change from which Table was derived. A runner of many lessors
	// may apply the edits of several to a newer table with
	// [table.Table.WithEdit] and write that, as package owner/commit does; the
	// answer then carries the table that was written in place of Table.
	PutTableCmd struct {
		Guard
		Table table.Table
		Old   object.Version
		Edit  table.Edit
	}
)

// Commands to the backend server.
type (
	// OrderCmd sends an order to Order.Server: server.Control.Revoke when
	// Revoke is set, Grant otherwise.
	OrderCmd struct {
		Guard
		Order  server.Order
		Revoke bool
		At     time.Time
		// Read is when the answer with the order's mark arrived here.
		Read time.Time
	}

	// ReadServerCmd asks the server what it holds (server.Control.Read). To is
	// the standby when that is asked, "" for the server itself.
	ReadServerCmd struct {
		At time.Time
		To ident.Server
	}
)

// Other commands.
type (
	// SendCmd sends Msg to the lessor of the same server on another VM: a
	// HeartbeatMsg, ClockMsg, PrepareMsg or PromiseMsg. It is not answered.
	SendCmd struct {
		To  ident.VM
		Msg loop.Msg
	}

	// PlanCmd asks the planner where the server's keys should go. The runner
	// answers with a MoveMsg that has the same Lost.
	PlanCmd struct {
		Server ident.Server
		Lost   bool
	}

	// MovedCmd reports an acknowledged move: the store has confirmed the table
	// that contains it. It goes to the decision log. Rev is the revision that
	// was written, or, if the write's answer was lost, the first one seen that
	// contains the move.
	MovedCmd struct {
		Moves []table.Move
		Epoch ident.Epoch
		Rev   ident.Revision
	}

	// AcquiredCmd reports that this VM took the authority.
	AcquiredCmd struct{ Epoch ident.Epoch }

	// SteppedDownCmd reports that this VM no longer holds the authority, and
	// why.
	SteppedDownCmd struct {
		Epoch  ident.Epoch
		Reason string
	}

	// DeputyActiveCmd reports that this VM renews the lease as deputy, because
	// the holder is silent.
	DeputyActiveCmd struct{ Epoch ident.Epoch }

	// StandbyCmd reports that a standby serves the server's keys from now on,
	// or, when To is "", that none does any more.
	StandbyCmd struct {
		Epoch ident.Epoch
		To    ident.Server
	}

	// DrainedCmd reports that a draining server owns nothing any more.
	DrainedCmd struct{}

	// LeftCmd answers LeaveMsg: the authority is handed over, and the lessor
	// sends no more.
	LeftCmd struct{}

	// FaultCmd reports a programming error: the code fired a trigger that the
	// state chart does not allow. The state stays as it was.
	FaultCmd struct{ Err error }
)
