package assign

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Authority says until when this VM may give orders, and until when a leader
// before it may still.
type Authority struct {
	Epoch      uint64
	Until      time.Time
	OldTermEnd time.Time
	// LongGrants asks for grants that outlast an absence of the store.
	LongGrants bool
}

// Server is a backend server that may own keys.
type Server struct {
	Name        ident.Server
	Addr        netip.AddrPort
	Incarnation int64
	Slots       int
	Leaving     bool
	Cold        time.Duration
}

// Messages.
type (
	// TickMsg passes time, with the authority as it is now.
	TickMsg struct{ Authority }
	// ServersMsg lists the servers that the platform lists.
	ServersMsg struct{ Servers []Server }
	// LoadMsg reports requests and answers since the last report.
	LoadMsg struct {
		Cells   map[uint16]uint32 // requests by cell
		Servers map[ident.Server]LatencySum
	}
	// ReadResultMsg answers a ReadCmd; Version zero means that there is no table.
	ReadResultMsg struct {
		Table   ranges.Table
		Version object.Version
		Kind    kinds.Kind
	}
	// WriteResultMsg answers a WriteCmd.
	WriteResultMsg struct {
		Version object.Version
		Kind    kinds.Kind
	}
	// OrderResultMsg answers an OrderCmd. Orders that were not sent are missing.
	OrderResultMsg struct {
		Server      ident.Server
		Incarnation int64
		Results     []OrderResult
	}
)

// LatencySum adds up what was observed of a server's answers.
type LatencySum struct {
	N     uint32        `json:"n"`
	Total time.Duration `json:"took"`
}

// Order is one order for a span of keys: a grant, or a release.
type Order struct {
	ranges.Span
	Fence   uint64
	Release bool
	TTL     time.Duration
	Token   string
}

// OrderResult is what became of an order. Sent is the time right before it was sent, Waited how
// long it waited for others in this VM's own queue.
type OrderResult struct {
	Order
	Sent   time.Time
	Waited time.Duration
	Kind   kinds.Kind
	Token  string // the token that a release brought
}

// Commands.
type (
	// ReadCmd reads the table.
	ReadCmd struct{}
	// WriteCmd writes the table if its version is still Old.
	WriteCmd struct {
		Table ranges.Table
		Old   object.Version
	}
	// OrderCmd gives a server orders, each only before Until. Grants go one after
	// the other, and end with the first that is not answered.
	OrderCmd struct {
		Server      ident.Server
		Incarnation int64
		Addr        netip.AddrPort
		Until       time.Time
		Orders      []Order
	}
	// PublishCmd says who serves what from now on.
	PublishCmd struct {
		Epoch, Seq uint64
		Full       bool
		Changes    []ranges.Assignment
	}
	// StaleEpochCmd says that another leader wrote the table under an epoch that this one's
	// is not above. Another VM leads, and this one has not heard of it yet; or the lease
	// was lost, and its epochs began anew.
	StaleEpochCmd struct{ Epoch uint64 }
	// LogCmd is a change of belief, for the log.
	LogCmd struct {
		Event     string
		Server    ident.Server
		PrevOwner ident.Server
		Rows      int
		Reason    string
	}
)
