// Package vouch decides whether a VM may send requests by the list of servers that it has.
//
// The load pattern: in a burst, a VM that is short of processor time reads the store's news
// seconds after they came. It goes on choosing servers by a list that is older than a leaving
// server may get requests, while VMs beside it know better and have time.
package vouch

import "time"

const (
	// transit is how long a request may take to its server.
	transit = 500 * time.Millisecond
	// minLateness is the delay of this VM's own timers from which its list counts as late
	// because of this VM, and not because nothing answers.
	minLateness = 100 * time.Millisecond
)

// List is what a VM knows of its list of servers.
type List struct {
	Age      time.Duration // since when something may be missing, zero if unknown
	Bound    time.Duration // how long after its announcement a leaving server may get requests
	Lateness time.Duration // by how much this VM's timers were late recently
	// Failing says that the store does not answer this VM's calls: no list is newer, and all
	// servers may go on.
	Failing bool
}

// MaySend reports whether requests may be sent to the servers of the list.
func MaySend(l List) bool {
	return l.Failing || l.Lateness < minLateness || l.Age <= l.Bound-transit
}
