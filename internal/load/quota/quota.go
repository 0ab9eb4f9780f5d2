// Package quota bounds the rate of requests that all entry VMs together send to a backend
// server that states a limit with its answers: so many requests a second, from all VMs, for
// as long as it says so.
//
// The load: a server in need states 1.6 requests a second, and nine or five hundred VMs hold
// requests for its keys. A share of the limit for each VM is far less than one request in
// the time in which the server counts, so the VMs either starve the server or exceed its
// limit together, and their number changes meanwhile.
//
// So each VM asks the leader for a permit before it sends a request to such a server. The
// leader takes it from the server's token bucket ([Dispenser]). Permits end soon, by the
// clock of the VM that asked, from when it asked; a VM that cannot ask sends nothing. A new
// leader grants nothing until all permits of the one before have ended.
//
// A VM learns of a limit from the answers that it gets. It reports what it has heard to the
// leader, which tells all VMs ([Book]).
package quota

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Limit is what a server says with an answer about the requests that it takes from all VMs
// together. The zero value means that it states no limit.
type Limit struct {
	Stated bool    `json:"stated,omitempty"`
	Rate   float64 `json:"rate,omitempty"` // requests a second
}

// Report is a VM's word on the limit of a server.
type Report struct {
	Server      ident.Server `json:"server"`
	Incarnation int64        `json:"born,omitempty"` // see [ident.Process]
	Limit
	Age time.Duration `json:"age,omitempty"` // since the answer that stated it
}

// Process returns the process that stated the limit.
func (r Report) Process() ident.Process {
	return ident.Process{Server: r.Server, Incarnation: r.Incarnation}
}
