// Package vouch decides whether a VM may send requests by the list of servers that it has.
//
// The load pattern: in a burst, a VM that is short of processor time, or of its link, reads the
// store's news seconds after they came. It goes on choosing servers by a list that is older than
// a leaving server may get requests, while VMs beside it know better and have time.
package vouch

import "time"

const (
	// transit is how long a request may take to its server.
	transit = 500 * time.Millisecond
	// minLateness is the delay of this VM's own timers from which its list counts as late
	// because of this VM, and not because nothing answers.
	minLateness = 100 * time.Millisecond
	// behindShare is the fraction of the bound by which the list may be older than the store's
	// last answer to another call. VMs ask for a newer list after half of the bound.
	behindShare = 0.65
	// maxLate is the age, in bounds, from which failed calls are not explained by this VM's
	// lateness: they have been repeated several times.
	maxLate = 4
)

// List is what a VM knows of its list of servers.
type List struct {
	Age      time.Duration // since when something may be missing, zero if unknown
	Bound    time.Duration // how long after its announcement a leaving server may get requests
	Lateness time.Duration // by how much this VM's timers were late recently
	Failed   bool          // the last call for servers failed
	Answered bool          // the store has answered a call of this VM recently
	Behind   time.Duration // if Answered: how much older the list is than that answer
}

// IsNew reports whether a request that is sent now reaches its server within the bound, whatever
// the list lacks.
func (l List) IsNew() bool { return l.Age <= l.Bound-transit }

// MaySend reports whether requests may be sent to the servers of the list.
func (l List) MaySend() bool { return l.IsNew() || !l.isThisVMLate() }

// isThisVMLate reports whether the list is old because this VM is late, and not because the store
// does not answer. A store that answers all calls but those for servers must not keep all VMs from
// serving.
func (l List) isThisVMLate() bool {
	late := l.Lateness >= minLateness
	if l.Failed {
		return late && l.Answered && l.Age < maxLate*l.Bound
	}
	return late || l.Answered && l.Behind > time.Duration(behindShare*float64(l.Bound))
}
