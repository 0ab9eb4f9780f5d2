// Package vmlist is the narrow interface to the platform's list of VMs. The
// list lags, so it is one witness among several; but a VM that it once showed
// and that it then shows as gone does not come back under the same name.
package vmlist

import (
	"context"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// State is what the platform says of a VM.
type State string

// The states of the list. A VM that is missing was never listed, or is gone for
// longer than the platform remembers.
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

// Lister reads the list. Errors carry kind Down or Malformed.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}
