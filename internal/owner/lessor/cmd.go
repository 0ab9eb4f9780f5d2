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
// paused between the decision and the effect, so the runner asks Valid again on
// its own clock immediately before it sends, and answers with kind Down without
// sending when it is too late.
type Guard struct{ Until time.Time }

// Valid reports whether the authority behind the command still lasts.
func (g Guard) Valid(now time.Time) bool { return now.Before(g.Until) }

// Commands to the store.
type (
	// ReadRecordCmd reads the seat's record.
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
	// Edit is what the seat wants changed, from which Table was worked out. A
	// runner of many seats may put the edits of several on one newer table with
	// [table.Table.Edited] and write that, as package owner/commit does; the
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
	// OrderCmd sends an order to Order.Server: server.Control.Revoke when Revoke
	// is set, Grant otherwise.
	OrderCmd struct {
		Guard
		Order  server.Order
		Revoke bool
		At     time.Time
		// Read is when the answer with the order's mark arrived here.
		Read time.Time
	}

	// ReadServerCmd asks the server what it holds (server.Control.Read). To is
	// the stand-by when that is asked, "" for the seat's own server.
	ReadServerCmd struct {
		At time.Time
		To ident.Server
	}
)

// Other commands.
type (
	// SendCmd sends Msg to the same seat on another VM: a BeatMsg, AskMsg,
	// YieldMsg or YieldedMsg. It is not answered.
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

	// MovedCmd reports an acknowledged move: the table that gives it is
	// confirmed by the store. It goes to the decision log. Rev is the revision
	// that was written, or the first one seen with the move in it when the
	// write's answer was lost.
	MovedCmd struct {
		Moves []table.Move
		Epoch ident.Epoch
		Rev   ident.Revision
	}

	// AcquiredCmd reports that this VM took the seat.
	AcquiredCmd struct{ Epoch ident.Epoch }

	// SteppedDownCmd reports that this VM no longer holds the seat, and why.
	SteppedDownCmd struct {
		Epoch  ident.Epoch
		Reason string
	}

	// DeputyActiveCmd reports that this VM renews as deputy, because the holder is
	// silent.
	DeputyActiveCmd struct{ Epoch ident.Epoch }

	// StandbyCmd reports that another server stands by for the seat's own from now
	// on, and that none does any more when To is "".
	StandbyCmd struct {
		Epoch ident.Epoch
		To    ident.Server
	}

	// DrainedCmd reports that a draining server owns nothing any more.
	DrainedCmd struct{}

	// LeftCmd answers LeaveMsg: the seat has handed over and sends no more.
	LeftCmd struct{}

	// FaultCmd reports a fault of the program: the code fired a trigger that
	// the state chart does not draw. The state stays as it was.
	FaultCmd struct{ Err error }
)
