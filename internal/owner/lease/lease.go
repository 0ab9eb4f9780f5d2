// Package lease is the arithmetic of time behind ownership: how long a lease
// that we gave can last, as seen on our own clock, and when a process must stop
// acting under its authority.
//
// The fault it answers is a process or a message that comes late. A holder is
// paused for a minute and then sends what it had decided; a backend server is
// frozen and on waking reads a queue of old orders; a clock runs a little fast.
// If a lease counted from when an order is sent or read, each of these would
// stretch it, and two servers would serve one key for a moment that nobody
// notices until a receipt is credited twice.
//
// So a lease counts from a [Mark]: a reading of the server's own clock that the
// sender got in an earlier answer. The reading was taken before the answer
// arrived here, so on our clock the lease ends at most TTL after that arrival,
// plus what the two clocks may drift apart meanwhile. No delay of the order
// changes this, nor does sending it twice.
//
// One thing is assumed: a clock that went on running while its process did not.
// The monotonic clocks of the platform's machines do so when a process is
// stopped; a virtual machine whose clock stands still while it is suspended
// would break any lease.
package lease

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Times are the periods of a service. Start from [Default].
type Times struct {
	// TTL is how long a lease lasts from its mark.
	TTL time.Duration
	// Renew is the period of renewals.
	Renew time.Duration
	// Heartbeat is how often a holder tells its deputy that it is there.
	Heartbeat time.Duration
	// SilenceTimeout is how long a holder or a server may be silent before others act.
	SilenceTimeout time.Duration
	// Margin covers timers and the moment between reading a clock and acting.
	Margin time.Duration
	// Term is how long an authority lasts from the request that won it.
	Term time.Duration
	// StoreTimeout is how long a call to the store may take before it counts as lost.
	StoreTimeout time.Duration
	// CallTimeout is the same for a call to a backend server or a peer.
	CallTimeout time.Duration
	// Drift is how far apart two clocks may run, in parts of a thousand.
	Drift int
}

// Default returns the periods that the design note gives grounds for.
//
// A key must be served again within one second of a loss. Of that second the
// wait for the old lease takes TTL, 1 % and the margin: 727 ms; the rest is one
// update of the table and one grant, with room for a lost message. Renewing
// four times in a TTL lets a renewal be lost and repeated. An order counts from
// the mark of the answer before it, so a lease that was renewed just before its
// holder was lost has 700-175-175 = 350 ms to run after the loss in the worst
// case; a deputy acts after 250 ms, two lost beats, which leaves it two calls to
// the server. 1 % of drift is twenty times
// what a disciplined clock shows; the margin is twice a scheduler's worst slice.
// A term of 30 min, renewed at a third, outlasts a store outage of 20 min.
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

// Check refuses periods that contradict each other, with kind BadRequest.
func (t Times) Check() error {
	ok := t.Margin > 0 && t.Drift >= 0 && t.Drift < 500 && t.Heartbeat > 0 && t.CallTimeout > 0 && t.StoreTimeout > 0 &&
		t.Renew >= t.CallTimeout && 3*t.Renew <= t.TTL && t.SilenceTimeout >= 2*t.Heartbeat &&
		t.SilenceTimeout+t.Renew < t.TTL && t.Term >= 10*t.TTL
	if !ok {
		return kinds.New(kinds.BadRequest, "lease times contradict each other")
	}
	return nil
}

// Long returns how long d on another clock can last on ours.
func (t Times) Long(d time.Duration) time.Duration { return d + d*time.Duration(t.Drift)/1000 }

// Short returns how much of d on another clock we may use for certain.
func (t Times) Short(d time.Duration) time.Duration { return d - d*time.Duration(t.Drift)/1000 }

// MaxRemaining returns the longest time that a lease can still run on the server after
// the mark that it counts from arrived here.
func (t Times) MaxRemaining() time.Duration { return t.Long(t.TTL) + t.Margin }

// AuthorityEnd returns when an authority ends that was asked for at a time. The holder
// counts from before it asked and takes off drift and margin; whoever waits for
// its end counts from after it saw the record and adds both: see [Times.PriorAuthorityEnd].
func (t Times) AuthorityEnd(asked time.Time, term time.Duration) time.Time {
	return asked.Add(t.Short(term) - t.Margin)
}

// PriorAuthorityEnd returns from when on no authority can last that was in force, or less,
// when we read the record at a time.
func (t Times) PriorAuthorityEnd(read time.Time, term time.Duration) time.Time {
	return read.Add(t.Long(term) + t.Margin)
}

// CallWait returns for how long the answer to a call to a backend server is
// waited for. A call without an answer is sent again after Call, but a late answer
// counts like any other: a process that is short of processor time gets none
// earlier. It leaves time for another call before the lease of a server that was
// renewed last before the holder was lost runs out.
func (t Times) CallWait() time.Duration { return max(t.TTL/2-t.CallTimeout, t.CallTimeout) }

// StoreWait is the same for a call to the store.
func (t Times) StoreWait() time.Duration { return max(t.TTL-t.StoreTimeout, t.StoreTimeout) }

// Mark is a server's clock reading and when it arrived here.
type Mark struct {
	server.Mark
	Read time.Time
}

// Usable reports whether an order that counts from m has time left when it
// arrives. An older mark only makes the server refuse.
func (m Mark) Usable(now time.Time, t Times) bool {
	return !m.Read.IsZero() && now.Sub(m.Read) < t.TTL-t.CallTimeout
}

// Expiry returns from when on no lease can run that counts from m or an older
// mark.
func (m Mark) Expiry(t Times) time.Time {
	if m.Read.IsZero() {
		return time.Time{}
	}
	return m.Read.Add(t.MaxRemaining())
}
