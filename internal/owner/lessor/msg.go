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
	// TickMsg is the seat's own timer, asked for by loop.AfterCmd. At is the
	// moment that it was set for: a timer may come a little early by another
	// clock's reckoning, and must then be set anew.
	TickMsg struct{ At time.Time }

	// RoleMsg says what the roster of live VMs wants of this VM. Send it at the
	// start and whenever it changes.
	RoleMsg struct {
		// Lead means: take the seat when its holder is gone, suspected, or not
		// named yet. A seat whose holder is well stays where it is, until a
		// RelieveMsg.
		Lead bool
		// Deputy is whom a holder here should name, "" for none. Prefer a VM in
		// another data centre than the backend server.
		Deputy ident.VM
	}

	// SuspectMsg says that a VM seems frozen, cut off or lost. It can be wrong:
	// it only makes the lead take over, and never counts as an end.
	SuspectMsg struct{ VM ident.VM }

	// TakeOverMsg asks the lead to take the seat over from a holder that is well,
	// so that seats are even. It counts for the next look at the record alone: a
	// holder that is not VM keeps the seat, and a store that does not answer ends
	// the wish.
	TakeOverMsg struct{ VM ident.VM }

	// VMGoneMsg says that the platform listed the VM and now lists it as gone: no
	// process of that name runs or will ever run.
	VMGoneMsg struct{ VM ident.VM }

	// ServerGoneMsg says the same of the backend server: no lease can exist.
	ServerGoneMsg struct{}

	// MoveMsg asks the holder to give keys away. Others ignore it.
	MoveMsg struct {
		Moves []table.Move
		// Lost marks the answer to a PlanCmd with Lost: the moves wait until the
		// server's lease has run out, and are dropped if it answers before.
		Lost bool
	}

	// DrainMsg says that the backend server is leaving: its keys go elsewhere.
	DrainMsg struct{}
	// UndrainMsg takes a DrainMsg back.
	UndrainMsg struct{}

	// LeaveMsg says that this VM shuts down. The seat hands over and answers
	// with LeftCmd.
	LeaveMsg struct{}
)

// Answers to commands. The runner answers each command once, within the time
// that [lease.Times] names (Store or Call), and carries the command back so
// that a late answer is known as such.
type (
	// RecordMsg answers ReadRecordCmd, or reports a change seen by a watch, with a
	// zero Cmd. Kind is None, Absent or Down.
	RecordMsg struct {
		Cmd     ReadRecordCmd
		Record  Record
		Version object.Version
		Kind    kinds.Kind
	}

	// RecordPutMsg answers PutRecordCmd. Kind is None, Conflict, Ambiguous or Down;
	// Down promises that the write did not and will not happen.
	RecordPutMsg struct {
		Cmd     PutRecordCmd
		Version object.Version
		Kind    kinds.Kind
	}

	// TableMsg answers ReadTableCmd, or brings a newer table from a watch or a
	// peer. Version is zero where the sender does not know the object's version.
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
		// Rev is the revision that was written, when Cmd.Table is a later one that
		// has the edit as well. Zero stands for the revision of Cmd.Table.
		Rev ident.Revision
	}

	// ReplyMsg answers OrderCmd and ReadServerCmd. Kind is None, Ambiguous or
	// Down. Leave the Cmd of the kind that was not sent zero.
	ReplyMsg struct {
		Order OrderCmd
		Read  ReadServerCmd
		Reply server.Reply
		Kind  kinds.Kind
	}
)

// Messages between the same seat on two VMs. They are idempotent and may be
// lost, late, doubled or out of order. From is set by the transport from the
// peer's certificate, never believed from the message.
type (
	// HeartbeatMsg goes from holder to deputy.
	HeartbeatMsg struct {
		From  ident.VM    `cbor:"-"`
		Epoch ident.Epoch `cbor:"epoch"`
		// Left is what remains of the holder's term, and Echo the newest
		// AskMsg.At that the holder had when it sent this: the deputy counts
		// Left from there, so a late beat gives it nothing extra.
		Left        time.Duration `cbor:"left"`
		Echo        time.Duration `cbor:"echo"`
		Incarnation int64         `cbor:"born"`
		// Mark and Rev are what a renewal needs.
		Mark server.Mark    `cbor:"mark"`
		Rev  ident.Revision `cbor:"rev"`
		// NoStandby says that no stand-by of an earlier epoch can hold the keys. It is
		// left out where the record speaks of none.
		NoStandby bool `cbor:"clear,omitempty"`
	}

	// ClockMsg goes from deputy to holder after a beat that names no reading of the
	// deputy's clock, or an old one. At is the deputy's own clock since its
	// process started, and Born that start: an answer to an earlier process of
	// the same VM must not be counted on this one's clock.
	ClockMsg struct {
		From        ident.VM      `cbor:"-"`
		Epoch       ident.Epoch   `cbor:"epoch"`
		At          time.Duration `cbor:"at"`
		Incarnation int64         `cbor:"born"`
	}

	// PrepareMsg asks a VM to promise that it will never again act for this seat
	// under an epoch below Below.
	PrepareMsg struct {
		From  ident.VM    `cbor:"-"`
		Below ident.Epoch `cbor:"below"`
		// Silent is set when the holder asks its deputy because the server does
		// not answer: the deputy looks first whether it can reach the server
		// itself, and takes over instead of promising if so. The promise is then
		// an agreement to a stand-by as well.
		Silent bool `cbor:"silent,omitempty"`
	}

	// PromiseMsg is the promise.
	PromiseMsg struct {
		From  ident.VM    `cbor:"-"`
		Below ident.Epoch `cbor:"below"`
		// Quiet adds that no lease of an order of this VM can still run.
		Quiet bool `cbor:"quiet,omitempty"`
		// Leave is set by a holder that shuts down: take over now.
		Leave bool `cbor:"leave,omitempty"`
		// Agreed adds that the sender agrees to a stand-by under the epoch before
		// Below, and Born says which process of its VM does: see stand.go.
		Agreed bool  `cbor:"agreed,omitempty"`
		Born   int64 `cbor:"born,omitempty"`
		// Clean names an epoch under which there is no stand-by and never will be.
		Clean ident.Epoch `cbor:"clean,omitempty"`
	}
)
