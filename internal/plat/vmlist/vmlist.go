// Package vmlist defines the interface to the platform's list of VMs. The list can
// be outdated, so it is only one of several sources for the state of a VM. But a VM
// that was listed and is then listed as gone never returns under the same name.
package vmlist

import (
	"context"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// State is the state of a VM according to the platform.
type State string

// The states of a VM. A VM that is not in the list was never listed, or has been gone
// for longer than the platform remembers.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// VM is one row of the list.
type VM struct {
	ID     ident.VM       `json:"id"`
	Addr   netip.AddrPort `json:"addr"`
	Centre ident.Centre   `json:"centre"`
	State  State          `json:"state"`
}

// Lister reads the list. Its errors have kind Unavailable or Malformed.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}
