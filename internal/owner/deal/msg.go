package deal

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/stripe"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Authority says until when this VM may give orders, and until when a leader
// before it may still.
type Authority struct {
	Epoch uint64
	Until time.Time
	Bar   time.Time
	// Long asks for grants that outlast an absence of the store.
	Long bool
}

// Host is a backend server that may own keys.
type Host struct {
	Name    ident.Server
	Addr    netip.AddrPort
	Born    int64
	Slots   int
	Leaving bool
	Cold    time.Duration
}

// Messages.
type (
	// TickMsg passes time, with the authority as it is now.
	TickMsg struct{ Authority }
	// HostsMsg lists the servers that the platform lists.
	HostsMsg struct{ Hosts []Host }
	// LoadMsg reports requests and answers since the last report.
	LoadMsg struct {
		Cells   map[uint16]uint32 // requests by cell
		Servers map[ident.Server]Sum
	}
	// ReadMsg answers a ReadCmd; Version zero means that there is no table.
	ReadMsg struct {
		Table   stripe.Table
		Version object.Version
		Kind    kinds.Kind
	}
	// WroteMsg answers a WriteCmd.
	WroteMsg struct {
		Version object.Version
		Kind    kinds.Kind
	}
	// OrderedMsg answers an OrderCmd. Orders that were not sent are missing.
	OrderedMsg struct {
		Server ident.Server
		Born   int64
		Done   []Done
	}
)

// Sum adds up what was observed of a server's answers.
type Sum struct {
	N    uint32        `json:"n"`
	Took time.Duration `json:"took"`
}

// Order is one order for a span of keys: a grant, or a release.
type Order struct {
	stripe.Span
	Fence   uint64
	Release bool
	Hold    time.Duration
	Token   string
}

// Done is what became of an order. Sent is the time right before it was sent, Waited how
// long it waited for others in this VM's own queue.
type Done struct {
	Order
	Sent   time.Time
	Waited time.Duration
	Kind   kinds.Kind
	Given  string // the token that a release brought
}

// Commands.
type (
	// ReadCmd reads the table.
	ReadCmd struct{}
	// WriteCmd writes the table if its version is still Old.
	WriteCmd struct {
		Table stripe.Table
		Old   object.Version
	}
	// OrderCmd gives a server orders, each only before Until. Grants go one after
	// the other, and end with the first that is not answered.
	OrderCmd struct {
		Server ident.Server
		Born   int64
		Addr   netip.AddrPort
		Until  time.Time
		Orders []Order
	}
	// ServedCmd says who serves what from now on.
	ServedCmd struct {
		Epoch, Seq uint64
		Full       bool
		Changes    []stripe.Served
	}
	// BehindCmd says that another leader wrote the table under an epoch that this one's
	// is not above. Another VM leads, and this one has not heard of it yet; or the lease
	// was lost, and its epochs began anew.
	BehindCmd struct{ Epoch uint64 }
	// NoteCmd is a change of belief, for the log.
	NoteCmd struct {
		What   string
		Server ident.Server
		Former ident.Server
		Rows   int
		Why    string
	}
)
