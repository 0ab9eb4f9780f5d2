package poison

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// Enough crashes of different servers quarantine a request.
	Enough = 3
	// settle is how long a server that broke off has to show that it is alive: its entry
	// lapses within three heartbeats of its end.
	settle = 5 * time.Second
	// memory is how long crashes are remembered after the last one, and after the end of a
	// quarantine.
	memory = 10 * time.Minute
	// mostCases bounds the requests under suspicion, and mostCrashes what is kept of each.
	mostCases   = 1024
	mostCrashes = 8
)

// holds are the times of quarantine after the third crash, the fourth, and each later
// one. A request whose time is over may run again: its server may have been mended.
var holds = []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour}

const (
	// tieHold is the quarantine of requests that ran on the same servers as these crashed.
	tieHold = 10 * time.Second
	// mostTies crashes end the trials of such requests.
	mostTies = Enough + 2
)

// Liveness is what is known of a server that broke off.
type Liveness uint8

// What is known of a server.
const (
	Unknown Liveness = iota // for example while the store is away
	Alive
	Gone
)

// Crash is a server that broke off under a request.
type Crash struct {
	Server ident.Server
	At     time.Time
	Sure   bool   // the server is gone
	told   string // the leader's process that knows of it
}

// Case is a request under suspicion.
type Case struct {
	Fingerprint Fingerprint
	Crashes     []Crash // of different servers, oldest first
	cleared     time.Time
	told        string // the leader's process that knows when it was cleared
	seq         uint64 // of the last change that others are told
	shared      bool
}

// last is the time of the last crash, or that at which the case was cleared.
func (c *Case) last() time.Time {
	if n := len(c.Crashes); n > 0 {
		return c.Crashes[n-1].At
	}
	return c.cleared
}

// hold is how long the crashes of a case keep its request in quarantine.
func (c *Case) hold() time.Duration {
	n := len(c.Crashes) - Enough
	if n < 0 {
		return 0
	}
	return holds[min(n, len(holds)-1)]
}

// covers reports whether every server that broke off under another request broke off
// under this one.
func (c *Case) covers(other *Case) bool {
	for _, crash := range other.Crashes {
		if !slices.ContainsFunc(c.Crashes, func(o Crash) bool { return o.Server == crash.Server }) {
			return false
		}
	}
	return true
}

// Table holds the requests under suspicion. The times are all of one clock. Make one
// with NewTable; it is not safe for concurrent use.
type Table struct {
	cases map[Fingerprint]*Case
	heads map[Head]int // cases by head
	seq   uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{cases: map[Fingerprint]*Case{}, heads: map[Head]int{}} }

// Len counts the requests under suspicion.
func (t *Table) Len() int { return len(t.cases) }

// Seq is the number of the last change that others are told.
func (t *Table) Seq() uint64 { return t.seq }

// Suspected reports whether a request with this head is under suspicion.
func (t *Table) Suspected(h Head) bool { return t.heads[h] > 0 }

// Crashes counts the servers that broke off under a request.
func (t *Table) Crashes(p Fingerprint) int {
	most := 0
	for _, c := range t.about(p) {
		most = max(most, len(c.Crashes))
	}
	return most
}

// QuarantineLeft is for how much longer a request may reach no server; zero where it may.
func (t *Table) QuarantineLeft(now time.Time, p Fingerprint) time.Duration {
	var left time.Duration
	for _, c := range t.about(p) {
		left = max(left, t.until(c).Sub(now))
	}
	return left
}

// about lists the cases of a request, its caller's and anybody's.
func (t *Table) about(p Fingerprint) []*Case {
	var all []*Case
	for _, q := range both(p) {
		if c := t.cases[q]; c != nil {
			all = append(all, c)
		}
	}
	return all
}

// both returns a print and the wide one, once where they are the same.
func both(p Fingerprint) []Fingerprint {
	if p == p.AnyCaller() {
		return []Fingerprint{p}
	}
	return []Fingerprint{p, p.AnyCaller()}
}

// until is when the quarantine of a request ends. Requests that ran beside a crashing one are
// accused as it is: one whose crashes are part of another's is free, and those of which
// nothing tells which it is are tried again soon, so that the first answer shows it.
func (t *Table) until(c *Case) time.Time {
	hold := c.hold()
	if hold == 0 {
		return time.Time{}
	}
	for _, other := range t.cases {
		twin := other.Fingerprint.AnyCaller() == c.Fingerprint.AnyCaller()
		if twin || len(other.Crashes) < len(c.Crashes) || !other.covers(c) {
			continue
		}
		if len(other.Crashes) > len(c.Crashes) {
			return time.Time{}
		}
		if len(c.Crashes) < mostTies {
			hold = min(hold, tieHold)
		}
	}
	return c.last().Add(hold)
}

// Quarantined lists the requests that may reach no server now.
func (t *Table) Quarantined(now time.Time) []Case {
	var all []Case
	for _, c := range t.cases {
		if t.until(c).After(now) {
			all = append(all, *c)
		}
	}
	slices.SortFunc(all, func(a, b Case) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return all
}

// RecordCrash notes that a server broke off under a request that this VM sent it, and returns
// how many have by now.
func (t *Table) RecordCrash(now time.Time, p Fingerprint, s ident.Server) int {
	t.accuse(p, Crash{Server: s, At: now})
	return t.Crashes(p)
}

func (t *Table) accuse(p Fingerprint, crash Crash) {
	for _, q := range both(p) {
		if c := t.open(q); c.add(crash) {
			t.changed(c)
		}
	}
}

// Clear notes that a request was answered: whatever happened before was not its doing, or
// is mended.
func (t *Table) Clear(now time.Time, p Fingerprint) {
	for _, c := range t.about(p) {
		t.clear(now, c)
	}
}

// Release clears a request of all its callers, as an operator asks.
func (t *Table) Release(now time.Time, p Fingerprint) {
	for _, c := range t.cases {
		if c.Fingerprint.AnyCaller() == p.AnyCaller() {
			t.clear(now, c)
		}
	}
}

func (t *Table) clear(now time.Time, c *Case) {
	if len(c.Crashes) == 0 {
		return
	}
	c.clear(now)
	c.told = ""
	t.changed(c)
}

// Reconcile drops the accusations by servers that are alive, and all that is old. It
// reports whether anything changed that others are told.
func (t *Table) Reconcile(now time.Time, life func(ident.Server) Liveness) bool {
	before := t.seq
	for p, c := range t.cases {
		n := len(c.Crashes)
		c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool {
			return !crash.Sure && now.Sub(crash.At) >= settle && life(crash.Server) == Alive
		})
		for i := range c.Crashes {
			c.Crashes[i].Sure = c.Crashes[i].Sure || life(c.Crashes[i].Server) == Gone
		}
		if len(c.Crashes) != n {
			t.changed(c)
		}
		unproven := len(c.Crashes) == 0 && !c.shared
		if unproven || !now.Before(c.last().Add(c.hold()+memory)) {
			t.forget(p)
		}
	}
	return t.seq != before
}

// open returns the case of a request, a new one if there is none.
func (t *Table) open(p Fingerprint) *Case {
	if c := t.cases[p]; c != nil {
		return c
	}
	if len(t.cases) >= mostCases {
		t.evict()
	}
	c := &Case{Fingerprint: p}
	t.cases[p] = c
	t.heads[p.Head()]++
	return c
}

// evict makes room: the fewest crashes go first, then the oldest.
func (t *Table) evict() {
	var least *Case
	for _, c := range t.cases {
		older := least != nil && len(c.Crashes) == len(least.Crashes) && c.last().Before(least.last())
		if least == nil || len(c.Crashes) < len(least.Crashes) || older {
			least = c
		}
	}
	if least != nil {
		t.forget(least.Fingerprint)
	}
}

func (t *Table) forget(p Fingerprint) {
	delete(t.cases, p)
	if t.heads[p.Head()]--; t.heads[p.Head()] <= 0 {
		delete(t.heads, p.Head())
	}
}

// clear drops the crashes up to a time.
func (c *Case) clear(at time.Time) {
	if at.After(c.cleared) {
		c.cleared = at
	}
	c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool { return !crash.At.After(c.cleared) })
}

// add adds a crash, unless its server is known or the request was cleared after it, and
// reports whether it did.
func (c *Case) add(crash Crash) bool {
	if !crash.At.After(c.cleared) {
		return false
	}
	if i := slices.IndexFunc(c.Crashes, func(o Crash) bool { return o.Server == crash.Server }); i >= 0 {
		c.Crashes[i].Sure = c.Crashes[i].Sure || crash.Sure
		return false
	}
	c.Crashes = append(c.Crashes, crash)
	slices.SortFunc(c.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(c.Crashes) > mostCrashes {
		c.Crashes = c.Crashes[len(c.Crashes)-mostCrashes:]
	}
	return true
}

// changed numbers a change that others are told. A request with a single crash is no news
// to them: connections break all the time.
func (t *Table) changed(c *Case) {
	if len(c.Crashes) > 1 {
		c.shared = true
	}
	if c.shared {
		t.seq++
		c.seq = t.seq
	}
}
