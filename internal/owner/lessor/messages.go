package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Messages from the VM itself.
type (
	// TickMsg is the lessor's own timer, requested by loop.AfterCmd. At is the
	// time that it was set for: a timer may fire a little early by another
	// clock, and must then be set again.
	TickMsg struct{ At time.Time }

	// RoleMsg gives this VM its role for the server, which is derived from the
	// list of live VMs. Send it at the start and whenever it changes.
	RoleMsg struct {
		// Preferred says that this VM is the first choice for holder: it takes
		// over when the holder is gone, suspected, or not named yet. A healthy
		// holder stays, until a TakeOverMsg.
		Preferred bool
		// Deputy is whom this VM should name as deputy when it is the holder,
		// "" for none. Prefer a VM in another data centre than the backend
		// server.
		Deputy ident.VM
	}

	// SuspectMsg says that a VM seems frozen, cut off or lost. It can be wrong:
	// it only makes the preferred VM take over, and is no proof that the suspected
	// VM has ended.
	SuspectMsg struct{ VM ident.VM }

	// TakeOverMsg asks the preferred VM to take over from a healthy holder, to spread
	// the authorities evenly over the VMs. It counts for the next read of the
	// record only: a holder that is not VM stays, and the request ends if the
	// store does not answer.
	TakeOverMsg struct{ VM ident.VM }

	// VMGoneMsg says that the platform listed the VM and now lists it as gone:
	// no process of that name runs or will ever run.
	VMGoneMsg struct{ VM ident.VM }

	// ServerGoneMsg says the same of the backend server: no lease can exist.
	ServerGoneMsg struct{}

	// MoveMsg asks the holder to move keys to other servers. Other VMs ignore
	// it.
	MoveMsg struct {
		Moves []table.Move
		// Lost marks the answer to a PlanCmd with Lost: the moves wait until
		// the server's lease has expired, and are dropped if it answers before.
		Lost bool
	}

	// DrainMsg says that the backend server is to be drained: its keys move to
	// other servers.
	DrainMsg struct{}
	// UndrainMsg cancels a DrainMsg.
	UndrainMsg struct{}

	// LeaveMsg says that this VM shuts down. The lessor hands its authority
	// over and answers with LeftCmd.
	LeaveMsg struct{}
)

// Answers to commands. The runner answers each command once, within the time
// that [lease.Times] names (StoreTimeout or CallTimeout), and carries the
// command back so that a late answer can be recognised.
type (
	// RecordMsg answers ReadRecordCmd, or, with a zero Cmd, reports a change
	// seen by a watch. Kind is None, NotFound or Unavailable.
	RecordMsg struct {
		Cmd     ReadRecordCmd
		Record  Record
		Version object.Version
		Kind    kinds.Kind
	}

	// RecordPutMsg answers PutRecordCmd. Kind is None, Conflict, Ambiguous or
	// Unavailable; Unavailable promises that the write did not and will not
	// happen.
	RecordPutMsg struct {
		Cmd     PutRecordCmd
		Version object.Version
		Kind    kinds.Kind
	}

	// TableMsg answers ReadTableCmd, or brings a newer table from a watch or a
	// peer. Version is zero where the sender does not know the object's
	// version.
	TableMsg struct {
		Table   table.Table
		Version object.Version
		Kind    kinds.Kind
	}

	// TablePutMsg answers PutTableCmd, with kinds as in RecordPutMsg.
	TablePutMsg struct {
		Cmd     PutTableCmd
		Version object.Version
		Kind    kinds.Kind
		// Rev is the revision that was written, when Cmd.Table is a later one
		// that contains the edit as well. Zero stands for the revision of
		// Cmd.Table.
		Rev ident.Revision
	}

	// ReplyMsg answers OrderCmd and ReadServerCmd. Kind is None, Ambiguous or
	// Unavailable. Leave the command that was not sent zero.
	ReplyMsg struct {
		Order OrderCmd
		Read  ReadServerCmd
		Reply server.Reply
		Kind  kinds.Kind
	}
)

// Messages between the lessors of one server on two VMs. They are idempotent
// and may be lost, late, duplicated or out of order. The transport sets From
// from the peer's certificate; it is never taken from the message.
type (
	// HeartbeatMsg goes from holder to deputy.
	HeartbeatMsg struct {
		From  ident.VM    `cbor:"-"`
		Epoch ident.Epoch `cbor:"epoch"`
		// Left is what remains of the holder's term, and Echo the newest
		// ClockMsg.At that the holder had when it sent this: the deputy counts
		// Left from there, so a late heartbeat never extends its term.
		Left        time.Duration `cbor:"left"`
		Echo        time.Duration `cbor:"echo"`
		Incarnation int64         `cbor:"born"`
		// Mark and Rev are what a renewal needs.
		Mark server.Mark    `cbor:"mark"`
		Rev  ident.Revision `cbor:"rev"`
		// NoStandby says that no standby of an earlier epoch can hold the keys.
		// It is omitted where the record allows no standby.
		NoStandby bool `cbor:"clear,omitempty"`
	}

	// ClockMsg goes from deputy to holder after a heartbeat that echoes no
	// reading of the deputy's clock, or an old one. At is the time since the
	// deputy's process started, by its own clock, and Incarnation identifies
	// that start: an answer to an earlier process of the same VM must not be
	// counted on this one's clock.
	ClockMsg struct {
		From        ident.VM      `cbor:"-"`
		Epoch       ident.Epoch   `cbor:"epoch"`
		At          time.Duration `cbor:"at"`
		Incarnation int64         `cbor:"born"`
	}

	// PrepareMsg asks a VM to promise that it will never again act for this
	// server under an epoch below Below.
	PrepareMsg struct {
		From  ident.VM    `cbor:"-"`
		Below ident.Epoch `cbor:"below"`
		// Silent is set when the holder asks its deputy because the server does
		// not answer. The deputy first checks whether it can reach the server
		// itself, and if so takes over instead of promising. The promise is
		// then an agreement to a standby as well.
		Silent bool `cbor:"silent,omitempty"`
	}

	// PromiseMsg is the promise that a PrepareMsg asks for.
	PromiseMsg struct {
		From  ident.VM    `cbor:"-"`
		Below ident.Epoch `cbor:"below"`
		// LeasesOver adds that no lease of an order of this VM can still run.
		LeasesOver bool `cbor:"quiet,omitempty"`
		// Leave is set by a holder that shuts down: take over now.
		Leave bool `cbor:"leave,omitempty"`
		// StandbyAgreed adds that the sender agrees to a standby under the
		// epoch before Below, and Incarnation says which process of its VM
		// does: see standby.go.
		StandbyAgreed bool  `cbor:"agreed,omitempty"`
		Incarnation   int64 `cbor:"born,omitempty"`
		// NoStandbyEpoch names an epoch under which there is no standby and
		// never will be.
		NoStandbyEpoch ident.Epoch `cbor:"clean,omitempty"`
	}
)
