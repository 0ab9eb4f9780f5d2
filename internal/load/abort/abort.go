// Package abort decides whether this VM may end an attempt at which a server may be at work.
//
// The load pattern: a VM that was told to stop gets no new requests. The few that are left on
// it say little about paths and servers, so it takes slow servers for lost ones; and a request
// that it sends again often finds no place, so its caller gets a failure in place of the answer
// that the server was about to give. From the stop signal on, what was sent is left to its
// answer, its deadline, its caller or the end of the VM, whichever comes first.
package abort

// Cause is what this VM believes when it would end an attempt.
type Cause uint8

// Causes.
const (
	PathLost     Cause = iota // this VM does not reach the server
	OwnerChanged              // the key of the request has another owner
	Stalled                   // the server has answered later requests
)

// Attempt is what is known of an attempt.
type Attempt struct {
	Sent         bool // a server may be at work on it
	Repeatable   bool // the request may be sent again
	Unresponsive bool // its server does not respond to orders
}

// Allowed reports whether an attempt may be ended for a cause. The argument stopping says that
// this VM was told to stop.
func Allowed(c Cause, a Attempt, stopping bool) bool {
	switch {
	case !a.Sent:
		return true
	case stopping:
		return false
	case c == OwnerChanged && a.Unresponsive:
		return true // nothing will come of it
	default:
		return a.Repeatable
	}
}
