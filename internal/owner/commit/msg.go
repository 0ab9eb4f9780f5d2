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
	// EditMsg is a seat's write of the table. It is answered by one AnswerCmd.
	EditMsg struct{ Cmd lessor.PutTableCmd }

	// TableMsg brings a table that was seen. Version is zero where the sender does
	// not know the object's version.
	TableMsg struct {
		Table   table.Table
		Version object.Version
	}

	// ReadResultMsg answers ReadCmd. Kind is None or Down.
	ReadResultMsg struct {
		Cmd     ReadCmd
		Table   table.Table
		Version object.Version
		Kind    kinds.Kind
	}

	// WriteResultMsg answers WriteCmd. Kind is None, Conflict, Ambiguous or Down, as in
	// seat.TablePutMsg.
	WriteResultMsg struct {
		Cmd     WriteCmd
		Version object.Version
		Kind    kinds.Kind
		// Expired says, beside kind Down, that nothing was sent because an
		// authority had ended by then.
		Expired bool
	}

	// CoordinatorsMsg names the VMs that join the edits of all, the first choice first.
	// Every VM should name the same.
	CoordinatorsMsg struct{ VMs []ident.VM }

	// SuspectMsg says that a VM seems lost. It can be wrong: it only makes the
	// writer ask another hub for a while.
	SuspectMsg struct{ VM ident.VM }

	// tickMsg is the writer's own timer, and the moment that it was set for: a
	// timer may come a little early by another clock's reckoning.
	tickMsg struct{ At time.Time }
)

// Messages between the writers of two VMs. They may be lost, late, doubled or out
// of order. From is set by the transport from the peer's certificate, never
// believed from the message.
type (
	// ForwardMsg asks the hub to write an edit. Born and ID name it: Born is the
	// start of the sender's process.
	ForwardMsg struct {
		From ident.VM   `cbor:"-"`
		Born int64      `cbor:"born"`
		ID   uint64     `cbor:"id"`
		Edit table.Edit `cbor:"edit"`
	}

	// ForwardedMsg answers it. Done says that the table of revision Rev contains
	// the edit; anything else says nothing.
	ForwardedMsg struct {
		From ident.VM       `cbor:"-"`
		Born int64          `cbor:"born"`
		ID   uint64         `cbor:"id"`
		Done bool           `cbor:"done,omitempty"`
		Rev  ident.Revision `cbor:"rev,omitempty"`
	}
)

// Commands of a writer. Each call to the store is answered once, within the
// time of Config.Store.
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
		Edits int // joined in it
	}

	// SendCmd sends a ForwardMsg or ForwardedMsg to the writer of the same service
	// on another VM, if its guard allows. It is not answered.
	SendCmd struct {
		lessor.Guard
		To  ident.VM
		Msg loop.Msg
	}

	// AnswerCmd gives the seat of a server the outcome of its write.
	AnswerCmd struct {
		Server ident.Server
		Msg    lessor.TablePutMsg
	}
)
