// Package sizes keeps long requests (uploads, batches) and short ones (lookups) from
// blocking each other on servers with few slots.
//
// The load pattern: uploads of seconds among lookups of milliseconds. With 2 or 4 slots,
// very few uploads fill a server, and every lookup behind them waits for seconds, although
// no limit is exceeded.
//
// While both kinds are in use, long requests may use only part of each server's slots. That
// part is divided among the entry VMs by their index: each VM owns whole long slots on some
// of the servers, so that ten VMs keep within the total without communication. When no
// short request has been seen for [RecentWindow], long requests may use all slots, because
// half the capacity would otherwise be reserved for nobody.
//
// One slot in two, and at least one, is kept for short requests: on 2 slots nothing else is
// possible, on 4 it halves the damage of an unlucky mix.
package sizes

import "time"

// Kind tells short requests from long ones.
type Kind uint8

// The kinds of requests.
const (
	Short Kind = iota
	Long
	KindCount // number of kinds
)

// Settings of the classification.
const (
	// LongBytes is the size of the smallest long request. 256 KiB take about 2.5 ms at 100
	// MB/s, as long as a lookup.
	LongBytes = 256 << 10
	// RecentWindow is how long a kind counts as in use after its last request. 10 s is
	// longer than the gaps between lookups in the quietest hour that is worth protecting.
	RecentWindow = 10 * time.Second
	// SlowFactor is how many times longer than short requests those of unknown size must
	// take, on average, for their class to count as long.
	SlowFactor = 8
	// smoothing is the weight of a new observation in the moving averages.
	smoothing = 0.1
)

// Classifier learns which requests are long, and which kinds are in use. The zero value is
// ready to use.
type Classifier struct {
	short    float64              // average duration of short requests, in seconds
	unknown  [256]float64         // average duration of requests of unknown size, in seconds, by class
	lastSeen [KindCount]time.Time // when each kind was last seen
}

// Kind returns the kind of a request of a size in bytes. If the size is unknown (below
// zero), the kind is that of earlier requests of unknown size of its class.
func (c *Classifier) Kind(size int64, class uint8) Kind {
	switch {
	case size >= LongBytes:
		return Long
	case size < 0 && c.short > 0 && c.unknown[class] > SlowFactor*c.short:
		return Long
	default:
		return Short
	}
}

// Seen records that a request of this kind arrived.
func (c *Classifier) Seen(now time.Time, k Kind) { c.lastSeen[k] = now }

// Observe records how long a request took.
func (c *Classifier) Observe(size int64, class uint8, took time.Duration) {
	s := took.Seconds()
	switch {
	case size < 0:
		updateAverage(&c.unknown[class], s)
	case size < LongBytes:
		updateAverage(&c.short, s)
	}
}

// updateAverage adds an observation to a moving average, both in seconds.
func updateAverage(avg *float64, s float64) {
	if *avg == 0 {
		*avg = s
		return
	}
	*avg += (s - *avg) * smoothing
}

// Mixed reports whether both kinds are in use.
func (c *Classifier) Mixed(now time.Time) bool {
	return c.seenRecently(now, Short) && c.seenRecently(now, Long)
}

// Only reports whether this kind is in use and the other one is not.
func (c *Classifier) Only(now time.Time, k Kind) bool {
	return c.seenRecently(now, k) && !c.seenRecently(now, Long-k)
}

func (c *Classifier) seenRecently(now time.Time, k Kind) bool {
	return !c.lastSeen[k].IsZero() && now.Sub(c.lastSeen[k]) < RecentWindow
}

// Share is one entry VM's part of the long slots of a service.
type Share struct {
	VMs   int // number of entry VMs; at least one
	Index int // index of this VM, from zero
}

// LongSlots returns how many long requests this VM may run on server i of n, each with the given
// slots, while both kinds are in use. The sum over all VMs is half the slots of each
// server. But each VM owns at least one long slot: when there are more VMs than long slots,
// some slots are owned by several VMs.
func (s Share) LongSlots(i, n, slots int) int {
	if n <= 0 || i < 0 || i >= n {
		return 0
	}
	vms := max(s.VMs, 1)
	perServer := max(slots/2, 1)
	total := perServer * n
	owned := 0
	for j := range perServer {
		if (j*n+i)%vms == s.Index {
			owned++
		}
	}
	if s.Index >= total && s.Index%total%n == i {
		owned++
	}
	return owned
}

// Settings of [Token].
const (
	defaultDuration   = 400 * time.Millisecond // assumed duration of a long request before one was seen
	durationStep      = 4                      // durations are rounded to powers of this factor
	startsPerDuration = 3                      // windows per long slot in the duration of a long request
)

// Token decides which entry VM may start a long request at the owner of its key, where no
// other server can be chosen. Half the slots are for long requests, and ten VMs cannot
// agree on who uses them in the time that an upload takes, because what they tell each
// other is a second old. But their clocks agree. So the right to start one long request at
// an owner passes from VM to VM in windows of time, and each owner's token is at another
// VM.
//
// A window is a third of the duration of a long request, divided by the long slots. If
// every VM started one in its window, one and a half times the slots would be full. Few do,
// and the gate also requires that the owner's last report shows a free slot. Shorter
// windows admit more uploads to an owner at once; longer ones make uploads wait for seconds
// (see docs/design/load.md). Durations are rounded in steps of four, because VMs that saw
// different uploads must still use the same windows. If the clocks of two VMs differ by
// less than a window, each may start one request, and no more.
type Token struct {
	Share
	window time.Duration
}

// NewToken returns the token of a service whose long requests typically take so long, zero
// if unknown, on servers with the given slots.
func NewToken(s Share, typical time.Duration, slots int) Token {
	duration := defaultDuration
	for typical > 0 && typical < duration/(durationStep/2) && duration > defaultDuration/durationStep {
		duration /= durationStep
	}
	for typical >= duration*(durationStep/2) {
		duration *= durationStep
	}
	windows := time.Duration(startsPerDuration * max(slots/2, 1))
	return Token{Share: s, window: max(duration/windows, time.Millisecond)}
}

// Window returns the number of the current window, and whether this VM holds the token of
// server i in it.
func (t Token) Window(now time.Time, i int) (window int64, holds bool) {
	window = now.UnixNano() / int64(t.window)
	vms := int64(max(t.VMs, 1))
	return window, (window+int64(i))%vms == int64(t.Index)
}

// Period returns the time between two windows of the same VM.
func (t Token) Period() time.Duration { return t.window * time.Duration(max(t.VMs, 1)) }
