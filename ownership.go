package hawthornfield

import (
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// Ownership of keys. A [Table] is the agreed assignment of keys to backend servers and
// is kept in the store. A [Lessor] grants the leases of one backend server; the
// authority to do so is held by one VM at a time.
type (
	// Table is the agreed ownership of one service at one revision.
	Table = table.Table
	// View is an immutable index of a Table. Lookups take no locks and do not allocate.
	View = table.View
	// Owner is the result of a lookup in a View.
	Owner = table.Owner
	// Move assigns a slice, or a single hot key, to another server.
	Move = table.Move
	// Edit is a change of the Table that a lessor requests, independent of the Table
	// that it was based on.
	Edit = table.Edit

	// Lessor is the state machine, on one VM, of the authority over one backend
	// server's leases.
	Lessor = lessor.Lessor
	// LessorConfig names the VM and the backend server of a Lessor and says how the
	// service's servers behave.
	LessorConfig = lessor.Config
	// LeaseTimes are the durations of leases, heartbeats and terms.
	LeaseTimes = lease.Times
	// Guard limits the time until which a command may be executed.
	Guard = lessor.Guard
)

// Messages to a lessor. The last five answer its own commands.
type (
	// RoleMsg sets this VM's role according to the list of live VMs: whether it should
	// acquire the authority, and which VM is its deputy.
	RoleMsg = lessor.RoleMsg
	// SuspectMsg says that a VM seems to have failed. It can be wrong.
	SuspectMsg = lessor.SuspectMsg
	// VMGoneMsg says that the platform lists a VM as permanently gone.
	VMGoneMsg = lessor.VMGoneMsg
	// MoveMsg asks the holder of the authority to move keys to other servers.
	MoveMsg = lessor.MoveMsg
	// DrainMsg says that the backend server is leaving.
	DrainMsg = lessor.DrainMsg
	// LeaveMsg says that this VM is shutting down.
	LeaveMsg = lessor.LeaveMsg
	// RecordMsg answers a ReadRecordCmd.
	RecordMsg = lessor.RecordMsg
	// RecordPutMsg answers a PutRecordCmd.
	RecordPutMsg = lessor.RecordPutMsg
	// TableMsg answers a ReadTableCmd, or delivers a newer table.
	TableMsg = lessor.TableMsg
	// TablePutMsg answers a PutTableCmd.
	TablePutMsg = lessor.TablePutMsg
	// ReplyMsg answers an OrderCmd or a ReadServerCmd.
	ReplyMsg = lessor.ReplyMsg
)

// Commands of a lessor, for the embedder's Runner.
type (
	// ReadRecordCmd reads the record of the authority from the store.
	ReadRecordCmd = lessor.ReadRecordCmd
	// PutRecordCmd writes that record by conditional update.
	PutRecordCmd = lessor.PutRecordCmd
	// ReadTableCmd reads the service's table.
	ReadTableCmd = lessor.ReadTableCmd
	// PutTableCmd writes the table by conditional update.
	PutTableCmd = lessor.PutTableCmd
	// OrderCmd sends an order to the backend server.
	OrderCmd = lessor.OrderCmd
	// ReadServerCmd asks the backend server what it holds.
	ReadServerCmd = lessor.ReadServerCmd
	// SendCmd sends a message to the lessor of the same backend server on another VM.
	SendCmd = lessor.SendCmd
	// LessorPlanCmd asks the planner which servers should take a server's keys.
	LessorPlanCmd = lessor.PlanCmd
	// MovedCmd reports an acknowledged move.
	MovedCmd = lessor.MovedCmd
	// AcquiredCmd reports that this VM acquired the authority.
	AcquiredCmd = lessor.AcquiredCmd
	// SteppedDownCmd reports that this VM no longer holds the authority.
	SteppedDownCmd = lessor.SteppedDownCmd
	// LeftCmd answers LeaveMsg.
	LeftCmd = lessor.LeftCmd
)

// NewLessor returns a lessor. It does nothing until its first message.
func NewLessor(cfg LessorConfig) Lessor { return lessor.New(cfg) }

// DefaultTimes returns the default durations, which docs/design/ownership.md derives.
// The lease is 700 ms, so that a key is served again within one second after its owner
// was lost.
func DefaultTimes() LeaseTimes { return lease.Default() }

// NewTable returns the table of a service with n slices and the given servers. No slice
// has an owner yet.
func NewTable(svc Service, n uint32, servers ...Server) (Table, error) {
	return table.New(svc, n, servers...)
}

// NewView returns an index of t for lookups.
func NewView(t Table) *View { return table.NewView(t) }
