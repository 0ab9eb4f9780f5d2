package hawthornfield

import (
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Who owns which key. A [Table] is the agreed assignment, kept in the store; a
// [Lessor] is the authority over one server's leases, held by one VM at a time.
type (
	// Table is the agreed ownership of one service at one revision.
	Table = table.Table
	// View is a table made for lookups: immutable, without locks or allocation.
	View = table.View
	// Owner is what a View answers for a key.
	Owner = table.Owner
	// Move gives a slice, or a single hot key, to another server.
	Move = table.Move
	// Edit is what a seat wants changed in a Table, apart from the Table it was
	// worked out on.
	Edit = table.Edit

	// Lessor is the decision module of one seat on one VM.
	Lessor = lessor.Lessor
	// LessorConfig says which seat it is and how its servers behave.
	LessorConfig = lessor.Config
	// LeaseTimes are the periods of leases, heartbeats and terms.
	LeaseTimes = lease.Times
	// Guard limits until when an effect may be carried out.
	Guard = lessor.Guard
)

// Messages to a seat. The rest come back from its own commands.
type (
	// RoleMsg says what the roster of live VMs wants of this VM.
	RoleMsg = lessor.RoleMsg
	// SuspectMsg says that a VM seems lost; it can be wrong.
	SuspectMsg = lessor.SuspectMsg
	// VMGoneMsg says that the platform lists a VM as gone for good.
	VMGoneMsg = lessor.VMGoneMsg
	// MoveMsg asks the holder to give keys away.
	MoveMsg = lessor.MoveMsg
	// DrainMsg says that the backend server is leaving.
	DrainMsg = lessor.DrainMsg
	// LeaveMsg says that this VM shuts down.
	LeaveMsg = lessor.LeaveMsg
	// RecordMsg answers a ReadRecordCmd.
	RecordMsg = lessor.RecordMsg
	// RecordPutMsg answers a PutRecordCmd.
	RecordPutMsg = lessor.RecordPutMsg
	// TableMsg answers a ReadTableCmd, or brings a newer table.
	TableMsg = lessor.TableMsg
	// TablePutMsg answers a PutTableCmd.
	TablePutMsg = lessor.TablePutMsg
	// ReplyMsg answers an OrderCmd or a ReadServerCmd.
	ReplyMsg = lessor.ReplyMsg
)

// Commands of a seat, for the embedder's Runner.
type (
	// ReadRecordCmd reads the seat's record from the store.
	ReadRecordCmd = lessor.ReadRecordCmd
	// PutRecordCmd writes it by conditional update.
	PutRecordCmd = lessor.PutRecordCmd
	// ReadTableCmd reads the service's table.
	ReadTableCmd = lessor.ReadTableCmd
	// PutTableCmd writes it by conditional update.
	PutTableCmd = lessor.PutTableCmd
	// OrderCmd sends an order to the backend server.
	OrderCmd = lessor.OrderCmd
	// ReadServerCmd asks the backend server what it holds.
	ReadServerCmd = lessor.ReadServerCmd
	// SendCmd sends a message to the same seat on another VM.
	SendCmd = lessor.SendCmd
	// LessorPlanCmd asks the planner where a server's keys should go.
	LessorPlanCmd = lessor.PlanCmd
	// MovedCmd reports an acknowledged move.
	MovedCmd = lessor.MovedCmd
	// AcquiredCmd reports that this VM took the seat.
	AcquiredCmd = lessor.AcquiredCmd
	// SteppedDownCmd reports that it no longer holds it.
	SteppedDownCmd = lessor.SteppedDownCmd
	// LeftCmd answers LeaveMsg.
	LeftCmd = lessor.LeftCmd
)

// NewLessor makes the seat of cfg. It does nothing until its first message.
func NewLessor(cfg LessorConfig) Lessor { return lessor.New(cfg) }

// DefaultTimes are the periods that docs/design/ownership.md gives grounds for:
// a lease of 700 ms, so that a key is served again within a second of a loss.
func DefaultTimes() LeaseTimes { return lease.Default() }

// NewTable divides a service's key space into n slices over its servers.
func NewTable(svc Service, n uint32, servers ...Server) (Table, error) {
	return table.New(svc, n, servers...)
}

// NewView prepares a table for lookups.
func NewView(t Table) *View { return table.NewView(t) }
