package assign

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Authority says until when this VM may give orders, and until when an earlier leader still
// may.
type Authority struct {
	Epoch      uint64
	Until      time.Time
	OldTermEnd time.Time
	// LongGrants asks for grants that outlast a store outage.
	LongGrants bool
	// Era is the store's era in which the lease was written.
	Era object.Era
	// Sole says that no other VM can have been leader lately without this one hearing of it.
	Sole bool
}

// Server is a backend server that may own keys.
type Server struct {
	Name        ident.Server
	Addr        netip.AddrPort
	Incarnation int64
	Slots       int
	Leaving     bool
	Evacuated   bool          // its data centre is evacuated: its keys move to other servers
	Capped      bool          // it is cold and tolerates few requests: its keys move to others
	Cold        time.Duration // how long it takes to warm up after its start
	Shedding    bool          // it wants no requests from several VMs: its keys move to others
	Limited     bool          // it limits the requests that it takes from all VMs
	Limit       float64       // to so many a second
}

// Messages.
type (
	// TickMsg reports that time has passed, and the current authority.
	TickMsg struct{ Authority }
	// ServersMsg carries the platform's list of servers.
	ServersMsg struct{ Servers []Server }
	// LoadMsg reports requests and latencies since the last report.
	LoadMsg struct {
		Cells   map[uint16]uint32 // requests by cell
		Servers map[ident.Server]LatencySum
	}
	// ReadResultMsg is the result of a ReadCmd; Version zero means there is no table of the
	// store's era.
	ReadResultMsg struct {
		Table   ranges.Table
		Version object.Version
		Kind    kinds.Kind
		Era     object.Era
		// Copy says that there is no table of the era, and that Table is of an earlier one, as
		// of some seconds before the store returned.
		Copy bool
		// Served says which server served each key when the leader that has gone last told.
		// It is empty if this VM did not hear from it up to the end.
		Served []ranges.Assignment
	}
	// WriteResultMsg is the result of a WriteCmd.
	WriteResultMsg struct {
		Version object.Version
		Kind    kinds.Kind
	}
	// OrderResultMsg is the result of an OrderCmd. Orders that were not sent are missing.
	OrderResultMsg struct {
		Server      ident.Server
		Incarnation int64
		Results     []OrderResult
	}
)

// LatencySum adds up the observed latencies of a server.
type LatencySum struct {
	N     uint32        `json:"n"`
	Total time.Duration `json:"took"`
}

// Order is a grant or a release of a span of keys.
type Order struct {
	ranges.Span
	Fence   uint64
	Release bool
	TTL     time.Duration
	Token   string
}

// OrderResult is the result of an order. Sent is the time right before it was sent, Waited
// how long it waited in this VM's own queue, and Delay how much later than over a direct
// connection it may have arrived.
type OrderResult struct {
	Order
	Sent   time.Time
	Waited time.Duration
	Delay  time.Duration
	Kind   kinds.Kind
	Token  string // returned by a release
}

// Commands.
type (
	// ReadCmd reads the table.
	ReadCmd struct{}
	// WriteCmd writes the table of the era that it is marked with if its stored version is still Old. In another
	// era of the store it is a conflict.
	WriteCmd struct {
		Table ranges.Table
		Old   object.Version
	}
	// OrderCmd sends orders to a server, each only before Until. Grants are sent until
	// MaxMissedGrants in a row were not answered, or another server has the address.
	OrderCmd struct {
		Server      ident.Server
		Incarnation int64
		Addr        netip.AddrPort
		Until       time.Time
		Orders      []Order
	}
	// PublishCmd publishes which servers serve which keys from now on.
	PublishCmd struct {
		Epoch, Seq uint64
		Full       bool
		Changes    []ranges.Assignment
	}
	// StaleEpochCmd reports that another leader wrote the table at an epoch that is not below
	// this one's. Either another VM leads and this one does not know it yet, or the lease
	// was lost and its epochs restarted.
	StaleEpochCmd struct{ Epoch uint64 }
	// LogCmd is an event for the log.
	LogCmd struct {
		Event     string
		Server    ident.Server
		PrevOwner ident.Server
		Rows      int
		Reason    string
	}
)
