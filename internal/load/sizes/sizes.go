// Package sizes keeps long requests (uploads, batches) and short ones (lookups)
// from blocking each other on servers with few slots.
//
// The load pattern: uploads of seconds among lookups of milliseconds. With 2 or
// 4 slots it takes very few uploads to fill a server, and every lookup behind
// them waits for seconds; nobody did anything wrong and no limit was exceeded.
//
// While both kinds are around, long requests may use only part of each server's
// slots. That part is divided between the entry VMs by number: each VM owns
// whole long slots on some of the servers, so ten VMs that do not talk about it
// still keep the total. When no short request has been seen for Linger, long
// ones may use everything: reserving for nobody would waste half the service.
//
// Grounds: Long is 256 KiB, which takes about 2.5 ms at 100 MB/s, as long as a
// lookup. One slot in two is kept for short requests (at least one): on 2 slots
// nothing else is possible, on 4 it halves the damage of an unlucky mix. Linger
// of 10 s is longer than the gaps between lookups in the quietest hour that is
// worth protecting.
package sizes

import "time"

// Kind is short or long.
type Kind uint8

// The kinds. The zero value is short.
const (
	Short Kind = iota
	Long
	KindCount
)

// Settings, with their grounds in the package comment.
const (
	LongBytes = 256 << 10
	Linger    = 10 * time.Second
	// Slower is how many times longer than the short ones a request of unknown
	// size must take, on average, for its class to be treated as long.
	Slower = 8
	follow = 0.1
)

// Classifier learns which requests are long and whether short ones are around. The
// zero value is ready to use.
type Classifier struct {
	short   float64          // average seconds of short requests
	unknown [256]float64     // average seconds of requests of unknown size, by class
	last    [KindCount]time.Time // when each kind was last seen
}

// Kind tells a request's kind from its size in bytes, or from what others of
// its class took when the size is unknown (below zero).
func (m *Classifier) Kind(size int64, class uint8) Kind {
	switch {
	case size >= LongBytes:
		return Long
	case size < 0 && m.short > 0 && m.unknown[class] > Slower*m.short:
		return Long
	default:
		return Short
	}
}

// Seen notes that a request of this kind arrived.
func (m *Classifier) Seen(now time.Time, k Kind) { m.last[k] = now }

// Observe takes in how long a request took.
func (m *Classifier) Observe(size int64, class uint8, took time.Duration) {
	s := took.Seconds()
	switch {
	case size < 0:
		blend(&m.unknown[class], s)
	case size < LongBytes:
		blend(&m.short, s)
	}
}

func blend(avg *float64, s float64) {
	if *avg == 0 {
		*avg = s
		return
	}
	*avg += (s - *avg) * follow
}

// Mixed reports whether both kinds are around.
func (m *Classifier) Mixed(now time.Time) bool {
	return m.around(now, Short) && m.around(now, Long)
}

// Only reports whether this kind is around and the other is not.
func (m *Classifier) Only(now time.Time, k Kind) bool {
	return m.around(now, k) && !m.around(now, Long-k)
}

func (m *Classifier) around(now time.Time, k Kind) bool {
	return !m.last[k].IsZero() && now.Sub(m.last[k]) < Linger
}

// Share is one entry VM's part of the long slots of a service.
type Share struct {
	VMs   int // entry VMs; at least one
	Index int // this one, from zero
}

// Long returns how many long requests this VM may have on server i of n, each
// with the given slots, while both kinds are around. Over all VMs the sum is
// half the slots of each server, except that a VM always owns one long slot
// somewhere: when there are more VMs than long slots, some are owned twice.
func (s Share) Long(i, n, slots int) int {
	if n <= 0 || i < 0 || i >= n {
		return 0
	}
	vms := max(s.VMs, 1)
	each := max(slots/2, 1)
	total := each * n
	owned := 0
	for j := range each {
		if (j*n+i)%vms == s.Index {
			owned++
		}
	}
	if s.Index >= total && s.Index%total%n == i {
		owned++
	}
	return owned
}

// Grounds of the token: see [Token].
const (
	usual  = 400 * time.Millisecond // a long request's length, before one was seen
	coarse = 4                      // lengths are told apart in steps of this factor
	shares = 3                      // starts in the time that a long request takes, for each long slot
)

// Token says which entry VM may start a long request at the owner of its key,
// where no other server can be chosen. Half the slots are for long requests, and
// ten VMs cannot agree on who uses them in the time that an upload takes: what
// they tell each other is a second old. But they agree on the time of day. So
// the right to start one long request at an owner goes round by the clock, and
// each owner's token is with another VM.
//
// Grounds: a window is a third of the time that a long request takes, divided by
// the long slots. If each holder had one to start, one and a half times the slots
// would be full; few have, and the gate also asks that the owner's last report
// show a free slot. Shorter windows let more uploads onto an owner at once, longer
// ones keep uploads waiting for their turn for seconds (docs/design/load.md).
// Lengths count in steps of four, because VMs that saw other uploads must still go
// round in step; clocks that differ by less than a window let two VMs start one
// each, and no more.
type Token struct {
	Share
	window time.Duration
}

// NewToken makes the token of a service whose long requests take so long, on
// servers with the given slots.
func NewToken(s Share, typical time.Duration, slots int) Token {
	step := usual
	for typical > 0 && typical < step/(coarse/2) && step > usual/coarse {
		step /= coarse
	}
	for typical >= step*(coarse/2) {
		step *= coarse
	}
	each := time.Duration(shares * max(slots/2, 1))
	return Token{Share: s, window: max(step/each, time.Millisecond)}
}

// Window is the number of the window at this moment, and whether this VM holds the
// token of server i in it.
func (t Token) Window(now time.Time, i int) (turn int64, holds bool) {
	turn = now.UnixNano() / int64(t.window)
	vms := int64(max(t.VMs, 1))
	return turn, (turn+int64(i))%vms == int64(t.Index)
}

// Period is how long it takes until the token is back.
func (t Token) Period() time.Duration { return t.window * time.Duration(max(t.VMs, 1)) }
