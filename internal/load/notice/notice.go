// Package notice keeps what backend servers say about themselves with their answers: that
// they limit the requests that they take from all entry VMs together, or that they leave.
//
// A VM hears it only with the answers that it gets, and an overloaded server gets few
// requests. So each VM reports what it has heard to the leader, which tells all VMs
// ([Book]). Answers and reports overtake each other; the newest answer holds.
package notice

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Notice is what a server says about itself with an answer. The zero value says nothing,
// which ends an earlier notice.
type Notice struct {
	Leaving bool    `json:"leaving,omitempty"` // it shuts down soon
	Limited bool    `json:"limited,omitempty"` // it limits the requests that it takes from all VMs
	Rate    float64 `json:"rate,omitempty"`    // to so many a second
}

// sameKind reports whether two notices differ in figures only.
func (n Notice) sameKind(other Notice) bool {
	return n.Leaving == other.Leaving && n.Limited == other.Limited
}

// Report is a VM's word on the notice of a server.
type Report struct {
	Server      ident.Server `json:"server"`
	Incarnation int64        `json:"born,omitempty"` // see [ident.Process]
	Notice
	Age time.Duration `json:"age,omitempty"` // since the answer that said so
}

// Process returns the process that gave the notice.
func (r Report) Process() ident.Process {
	return ident.Process{Server: r.Server, Incarnation: r.Incarnation}
}
