package elect

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Lease is the stored lead.
type Lease struct {
	Epoch       uint64         `json:"epoch"` // rises with each change of the leader
	Holder      ident.VM       `json:"holder"`
	Incarnation string         `json:"life"` // of the holder's process
	Addr        netip.AddrPort `json:"addr"` // where the others ask it
	Beats       uint64         `json:"beats"`
}

// Role is where a VM stands.
type Role string

// The stages.
const (
	Follower Role = "follow"
	Claim    Role = "claim" // a claim is on its way to the store
	Leader   Role = "lead"
)

// Messages.
type (
	// TickMsg passes time.
	TickMsg struct{}
	// HeartbeatMsg says that the leader of an epoch answered. A troubled one does not
	// reach the store: whoever does should take over.
	HeartbeatMsg struct {
		Epoch        uint64
		RenewOverdue bool
	}
	// SteppedDownMsg says that the leader of an epoch says that it leads no longer.
	SteppedDownMsg struct{ Epoch uint64 }
	// LeaseMsg tells of a lease that another VM knows.
	LeaseMsg struct{ Lease Lease }
	// RankMsg says how many VMs go first when somebody must take over.
	RankMsg struct{ N int }
	// ClusterFormedMsg says that another VM answered that a leader has answered before.
	ClusterFormedMsg struct{}
	// ReadMsg answers a ReadCmd; Version zero means that there is no lease.
	ReadMsg struct {
		Asked   time.Time
		Lease   Lease
		Version object.Version
		Kind    kinds.Kind
	}
	// WroteMsg answers a WriteCmd.
	WroteMsg struct {
		Asked   time.Time
		Lease   Lease
		Version object.Version
		Kind    kinds.Kind
	}
	// TermEndedMsg says that the leader of an epoch gives no orders any more: it says so
	// itself, or its VM runs another process now.
	TermEndedMsg struct{ Epoch uint64 }
	// EpochMsg tells of an epoch that another leader had. One that leads under the same
	// or a lower one writes its lease anew, under an epoch above.
	EpochMsg struct{ Epoch uint64 }
	// StepDownMsg says that another VM would lead better than this one.
	StepDownMsg struct{}
	// LeaveMsg ends leading for good: the process stops.
	LeaveMsg struct{}
)

// Commands.
type (
	// ReadCmd reads the lease.
	ReadCmd struct{}
	// WriteCmd writes the lease if its version is still Old.
	WriteCmd struct {
		Lease Lease
		Old   object.Version
	}
	// RoleChangeCmd says that the leader, or what this VM may do, has changed.
	RoleChangeCmd struct {
		Role   Role
		Lease  Lease
		Reason string
	}
)
