package relay

import (
	"errors"
	"net/netip"
)

// errPathLost ends an attempt whose server this VM does not reach any more. It has no kind:
// errors of one kind are equal.
var errPathLost = errors.New("the path to the server was lost")

// PathChanged closes the idle connections to a server: they lead over a path that is lost,
// or through another VM though the own path is open again.
func (r *Relay) PathChanged(to netip.AddrPort) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if u := r.upstreams[to]; u != nil {
		u.transport.CloseIdleConnections()
	}
}

// CutOffChanged closes the idle connections to all servers. If this VM is cut off, it also
// gives up the attempts that wait for an answer over its own paths, as far as they allow it.
func (r *Relay) CutOffChanged(cutOff bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, u := range r.upstreams {
		u.transport.CloseIdleConnections()
		if cutOff {
			u.interruptDirect()
		}
	}
}

func (u *upstream) addAttempt(a *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[a] = struct{}{}
}

func (u *upstream) removeAttempt(a *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.attempts, a)
}

// interruptDirect cancels the attempts that were sent over this VM's own path.
func (u *upstream) interruptDirect() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for a := range u.attempts {
		if a.isDirect() && a.mayInterrupt() {
			a.cancel(errPathLost)
		}
	}
}
