// Package lease computes the times of leases: how long a lease that was granted can last as
// seen on the local clock, and when a process must stop acting under its authority.
//
// It guards against processes and messages that are late. A holder is paused for a minute
// and then sends what it had decided; a backend server freezes and afterwards reads a queue
// of old orders; a clock runs a little fast. If a lease counted from the moment an order is
// sent or read, each of these would extend it, and two servers would serve one key for a
// short time that nobody notices until a receipt is credited twice.
//
// So a lease counts from a [Mark]: a reading of the server's own clock that the sender got
// in an earlier answer. The reading was taken before the answer arrived here, so on the
// local clock the lease ends at most TTL after that arrival, plus the drift between the two
// clocks. Neither a delay of the order nor sending it twice changes this.
//
// One assumption is made: the clock keeps running while its process does not. The monotonic
// clocks of the platform's machines do so when a process is stopped; a virtual machine whose
// clock stops while it is suspended would break any lease.
package lease

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Times are the time settings of a service. Start from [Default].
type Times struct {
	// TTL is how long a lease lasts from its mark.
	TTL time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Heartbeat is the interval between a holder's heartbeats to its deputy.
	Heartbeat time.Duration
	// SilenceTimeout is how long a holder or a server may be silent before others act.
	SilenceTimeout time.Duration
	// Margin covers timer inaccuracy and the time between reading a clock and acting.
	Margin time.Duration
	// Term is how long an authority lasts from the request that acquired it.
	Term time.Duration
	// StoreTimeout is how long a call to the store may take before it counts as lost.
	StoreTimeout time.Duration
	// CallTimeout is the same for a call to a backend server or another VM.
	CallTimeout time.Duration
	// Drift is the largest difference between two clock rates, in thousandths.
	Drift int
}

// Default returns the default times.
//
// A key must be served again within one second of a loss. Of that second, waiting for the
// old lease takes TTL, 1 % drift and the margin, 727 ms; the rest is for one update of the
// table and one grant, with room for a lost message. Renewing four times in a TTL allows for
// a renewal that is lost and repeated. An order counts from the mark of the answer before
// it, so in the worst case a lease renewed just before its holder was lost has
// 700-175-175 = 350 ms left after the loss. The deputy acts after 250 ms, two lost
// heartbeats, which leaves it two calls to the server. The drift of 1 % is twenty times what
// a disciplined clock shows; the margin is twice the worst time slice of a scheduler. A
// term of 30 min, renewed after a third, outlasts a store outage of 20 min.
func Default() Times {
	return Times{
		TTL:            700 * time.Millisecond,
		Renew:          175 * time.Millisecond,
		Heartbeat:      100 * time.Millisecond,
		SilenceTimeout: 250 * time.Millisecond,
		Margin:         20 * time.Millisecond,
		Term:           30 * time.Minute,
		StoreTimeout:   100 * time.Millisecond,
		CallTimeout:    50 * time.Millisecond,
		Drift:          10,
	}
}

// Check returns an error of kind BadRequest if the times contradict each other.
func (t Times) Check() error {
	ok := t.Margin > 0 && t.Drift >= 0 && t.Drift < 500 && t.Heartbeat > 0 && t.CallTimeout > 0 && t.StoreTimeout > 0 &&
		t.Renew >= t.CallTimeout && 3*t.Renew <= t.TTL && t.SilenceTimeout >= 2*t.Heartbeat &&
		t.SilenceTimeout+t.Renew < t.TTL && t.Term >= 10*t.TTL
	if !ok {
		return kinds.New(kinds.BadRequest, "lease times contradict each other")
	}
	return nil
}

// MaxDuration returns how long d on another clock can last on the local one.
func (t Times) MaxDuration(d time.Duration) time.Duration { return d + d*time.Duration(t.Drift)/1000 }

// MinDuration returns how long d on another clock is certain to last on the local one.
func (t Times) MinDuration(d time.Duration) time.Duration { return d - d*time.Duration(t.Drift)/1000 }

// MaxRemaining returns the longest time that a lease can still run on the server after the
// mark that it counts from arrived here.
func (t Times) MaxRemaining() time.Duration { return t.MaxDuration(t.TTL) + t.Margin }

// AuthorityEnd returns when an authority that was requested at asked ends for its holder.
// The holder counts from before the request and subtracts drift and margin; whoever waits
// for its end counts from after reading the record and adds both, see
// [Times.PriorAuthorityEnd].
func (t Times) AuthorityEnd(asked time.Time, term time.Duration) time.Time {
	return asked.Add(t.MinDuration(term) - t.Margin)
}

// PriorAuthorityEnd returns when an authority with at most the given term left, in a record
// that was read at the given time, has certainly ended.
func (t Times) PriorAuthorityEnd(read time.Time, term time.Duration) time.Time {
	return read.Add(t.MaxDuration(term) + t.Margin)
}

// CallWait returns how long to wait for the answer to a call to a backend server. A call is
// repeated after CallTimeout, but a late answer still counts: a process that is short of
// CPU time answers no call earlier. The wait leaves time for another call before the lease
// of a server that was last renewed before its holder was lost expires.
func (t Times) CallWait() time.Duration { return max(t.TTL/2-t.CallTimeout, t.CallTimeout) }

// StoreWait is the same for a call to the store.
func (t Times) StoreWait() time.Duration { return max(t.TTL-t.StoreTimeout, t.StoreTimeout) }

// Mark is a server's clock reading and when it arrived here.
type Mark struct {
	server.Mark
	Read time.Time
}

// Usable reports whether an order that counts from m still has time left when it arrives.
// With an older mark, the server would only refuse the order.
func (m Mark) Usable(now time.Time, t Times) bool {
	return !m.Read.IsZero() && now.Sub(m.Read) < t.TTL-t.CallTimeout
}

// Expiry returns when every lease that counts from m or an older mark has ended.
func (m Mark) Expiry(t Times) time.Time {
	if m.Read.IsZero() {
		return time.Time{}
	}
	return m.Read.Add(t.MaxRemaining())
}
