package commit

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Messages to a writer.
type (
	// EditMsg is a lessor's write of the table. It is answered by one
	// AnswerCmd.
	EditMsg struct{ Cmd lessor.PutTableCmd }

	// TableMsg brings a table that was seen. Version is zero where the sender
	// does not know the object's version.
	TableMsg struct {
		Table   table.Table
		Version object.Version
	}

	// ReadResultMsg answers ReadCmd. Kind is None or Unavailable.
	ReadResultMsg struct {
		Cmd     ReadCmd
		Table   table.Table
		Version object.Version
		Kind    kinds.Kind
	}

	// WriteResultMsg answers WriteCmd. Kind is None, Conflict, Ambiguous or
	// Unavailable, as in lessor.TablePutMsg.
	WriteResultMsg struct {
		Cmd     WriteCmd
		Version object.Version
		Kind    kinds.Kind
		// Expired says, with kind Unavailable, that nothing was sent because an
		// authority had ended by then.
		Expired bool
	}

	// CoordinatorsMsg names the VMs that may batch the edits of all VMs, the
	// first choice first. Every VM should get the same list.
	CoordinatorsMsg struct{ VMs []ident.VM }

	// SuspectMsg says that a VM seems lost. It can be wrong: it only makes the
	// writer ask another coordinator for a while.
	SuspectMsg struct{ VM ident.VM }

	// tickMsg is the writer's own timer, with the time that it was set for: a
	// timer may fire a little early by another clock.
	tickMsg struct{ At time.Time }
)

// Messages between the writers of two VMs. They may be lost, late, duplicated
// or out of order. The transport sets From from the peer's certificate; it is
// never taken from the message.
type (
	// ForwardMsg asks the coordinator to write an edit. Incarnation and ID
	// identify it: Incarnation is the start of the sender's process.
	ForwardMsg struct {
		From        ident.VM   `cbor:"-"`
		Incarnation int64      `cbor:"born"`
		ID          uint64     `cbor:"id"`
		Edit        table.Edit `cbor:"edit"`
	}

	// ForwardedMsg answers a ForwardMsg. Done says that the table of revision
	// Rev contains the edit; without Done the outcome is unknown.
	ForwardedMsg struct {
		From        ident.VM       `cbor:"-"`
		Incarnation int64          `cbor:"born"`
		ID          uint64         `cbor:"id"`
		Done        bool           `cbor:"done,omitempty"`
		Rev         ident.Revision `cbor:"rev,omitempty"`
	}
)

// Commands of a writer. Each call to the store is answered once, within
// Config.StoreTimeout.
type (
	// ReadCmd reads the service's table.
	ReadCmd struct{ Call uint64 }

	// WriteCmd writes the table if the object's version is still Old. Its guard
	// is the earliest of those of the edits in it. After a success the runner
	// also passes the table on to the request path and to peers.
	WriteCmd struct {
		lessor.Guard
		Call  uint64
		Table table.Table
		Old   object.Version
		Edits int // number of edits in the write
	}

	// SendCmd sends a ForwardMsg or ForwardedMsg to the writer of the same
	// service on another VM, if its guard allows. It is not answered.
	SendCmd struct {
		lessor.Guard
		To  ident.VM
		Msg loop.Msg
	}

	// AnswerCmd gives the lessor of a server the outcome of its write.
	AnswerCmd struct {
		Server ident.Server
		Msg    lessor.TablePutMsg
	}
)
