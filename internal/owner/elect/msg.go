package elect

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Lease is the stored leadership record. It is unrelated to the leases of backend servers
// in package lease.
type Lease struct {
	Epoch       uint64         `json:"epoch"` // rises with each change of leader
	Holder      ident.VM       `json:"holder"`
	Incarnation string         `json:"life"`          // unique to the holder's process
	Addr        netip.AddrPort `json:"addr"`          // where the other VMs reach the holder
	Renewals    uint64         `json:"beats"`         // number of renewals
	Era         object.EraMark `json:"era,omitempty"` // of the store, as written
}

// Role is the part that a VM plays in the election.
type Role string

// The roles.
const (
	Follower Role = "follow"
	Claim    Role = "claim" // a claim has been sent to the store
	Leader   Role = "lead"
)

// Messages.
type (
	// TickMsg reports that time has passed.
	TickMsg struct{}
	// HeartbeatMsg reports that the leader of Epoch answered. RenewOverdue means that the
	// leader cannot reach the store, so a VM that can should take over.
	HeartbeatMsg struct {
		Epoch        uint64
		RenewOverdue bool
	}
	// SteppedDownMsg reports that the leader of Epoch says it no longer leads.
	SteppedDownMsg struct{ Epoch uint64 }
	// LeaseMsg carries a lease known to another VM.
	LeaseMsg struct{ Lease Lease }
	// RankMsg carries the number of VMs that precede this one in a takeover.
	RankMsg struct{ N int }
	// ClusterFormedMsg reports that another VM answered which has followed a leader before.
	ClusterFormedMsg struct{}
	// ReadMsg is the result of a ReadCmd sent at Asked; Version zero means there is no lease.
	// The lease is that of the era; MaxEpoch is the highest epoch that leases of earlier eras
	// may have had, as far as the store still has them.
	ReadMsg struct {
		Asked    time.Time
		Lease    Lease
		Version  object.Version
		Kind     kinds.Kind
		Era      object.Era
		MaxEpoch uint64
	}
	// WroteMsg is the result of a WriteCmd sent at Asked.
	WroteMsg struct {
		Asked   time.Time
		Lease   Lease
		Version object.Version
		Kind    kinds.Kind
	}
	// TermEndedMsg reports that the leader of Epoch no longer gives orders: it said so
	// itself, or its VM now runs another process.
	TermEndedMsg struct{ Epoch uint64 }
	// EpochMsg reports an epoch used by another leader. A leader at the same or a lower
	// epoch rewrites its lease at a higher one.
	EpochMsg struct{ Epoch uint64 }
	// EraMsg reports that the store has returned from an older copy, which has no lease of
	// its new era.
	EraMsg struct{ Era object.Era }
	// StepDownMsg reports that another VM is better suited to lead.
	StepDownMsg struct{}
	// LeaveMsg ends leadership for good because the process is stopping.
	LeaveMsg struct{}
)

// Commands.
type (
	// ReadCmd reads the lease.
	ReadCmd struct{}
	// WriteCmd writes the lease of an era if its stored version is still Old. In another era
	// of the store it is a conflict.
	WriteCmd struct {
		Lease Lease
		Old   object.Version
		Era   object.Era
	}
	// RoleChangeCmd reports a change of the leader or of this VM's role.
	RoleChangeCmd struct {
		Role   Role
		Lease  Lease
		Reason string
	}
)
