package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Half-lives of the leader's sums. Rates follow a burst of some seconds; service times vary
// by as much as their mean, and at ten requests a second to a server four seconds average
// some fifty of them.
const (
	rateHalfLife = time.Second
	workHalfLife = 4 * time.Second
)

// reportInterval is the time that the first report covers: VMs poll about as often.
const reportInterval = 300 * time.Millisecond

const (
	// MaxListed bounds the entries of one list.
	MaxListed = 128
	// maxTracked bounds the processes in a Table.
	maxTracked = 2048
	// rowMemory is how long a process stays in the table after its last sample.
	rowMemory = time.Minute
)

// Table merges the samples of all VMs, on the leader. The zero value knows nothing.
type Table struct {
	rows  map[ident.Process]*row
	began time.Time // of the first sample
	rev   uint64    // increases with each merge
}

// row is what is known of one process. The sums decay.
type row struct {
	sent, offered  float64
	answered, work float64 // work in seconds
	decayedAt      time.Time
	load           int
	loadAt         time.Time
	servedAt       time.Time
	heardAt        time.Time // of the last sample
	rev            uint64    // of the table at the last sample
	listed         time.Time // when it was last listed
	listedBefore   time.Time // and before that
}

// wait returns for how long the row has not been listed before now. Lists for several
// revisions are made at one time.
func (r *row) wait(now time.Time) time.Duration {
	last := r.listed
	if last.Equal(now) {
		last = r.listedBefore
	}
	return min(now.Sub(last), time.Hour) // a row that was never listed comes first
}

func (r *row) markListed(now time.Time) {
	if !r.listed.Equal(now) {
		r.listedBefore, r.listed = r.listed, now
	}
}

func (r *row) decay(now time.Time) {
	d := now.Sub(r.decayedAt)
	if r.decayedAt.IsZero() {
		d = 0
	}
	r.decayedAt = now
	rate, work := keep(d, rateHalfLife), keep(d, workHalfLife)
	r.sent *= rate
	r.offered *= rate
	r.answered *= work
	r.work *= work
}

// keep returns the part of a decaying sum that is left after a time.
func keep(d, halfLife time.Duration) float64 {
	return math.Exp2(-max(d, 0).Seconds() / halfLife.Seconds())
}

// Merge adds samples that have arrived now. Those of an earlier process of a server do not
// change what is known of a later one.
func (t *Table) Merge(now time.Time, all []Sample) {
	if len(all) == 0 {
		return
	}
	if t.rows == nil {
		t.rows = map[ident.Process]*row{}
	}
	if len(t.rows) == 0 {
		t.began = now.Add(-reportInterval)
	}
	t.rev++
	for _, s := range all {
		r := t.rows[s.Process()]
		if r == nil && !t.makeRoom(now) {
			continue
		}
		if r == nil {
			r = &row{}
			t.rows[s.Process()] = r
		}
		r.merge(now, s)
		r.rev = t.rev
	}
}

// makeRoom reports whether another process may be added, and forgets those of which nothing
// was heard for some time if there are many.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.rows) < maxTracked {
		return true
	}
	for p, r := range t.rows {
		if now.Sub(r.heardAt) > rowMemory {
			delete(t.rows, p)
		}
	}
	return len(t.rows) < maxTracked
}

func (r *row) merge(now time.Time, s Sample) {
	r.decay(now)
	r.heardAt = now
	r.sent += float64(max(s.Sent, 0))
	r.offered += float64(max(s.Offered, 0))
	r.answered += float64(max(s.Answered, 0))
	r.work += max(s.Work, 0).Seconds()
	if at := now.Add(-s.LoadAge); s.LoadAge > 0 && at.After(r.loadAt) {
		r.load, r.loadAt = max(s.Load, 0), at
	}
	if at := now.Add(-s.ServedAge); s.ServedAge > 0 && at.After(r.servedAt) {
		r.servedAt = at
	}
}

// entry returns the row as of now.
func (r *row) entry(now time.Time, p ident.Process, full float64) Entry {
	r.decay(now)
	perSecond := math.Ln2 / rateHalfLife.Seconds() / full
	e := Entry{Server: p.Server, Incarnation: p.Incarnation, Sent: r.sent * perSecond, Offered: r.offered * perSecond}
	if !r.loadAt.IsZero() {
		e.Load, e.LoadAge = r.load, max(now.Sub(r.loadAt), 1)
	}
	if !r.servedAt.IsZero() {
		e.ServedAge = max(now.Sub(r.servedAt), 1)
	}
	if r.answered > 0 {
		e.Work = time.Duration(r.work / r.answered * float64(time.Second))
	}
	return e
}

// Since returns the entries that have changed since a revision, at most MaxListed, and the
// current revision. If there are more, those come first whose servers have got the most
// requests since they were last listed, so that the others follow in a later list.
func (t *Table) Since(now time.Time, rev uint64) ([]Entry, uint64) {
	// The sums of a table that began a short time ago hold the samples of that time only.
	full := 1 - keep(max(now.Sub(t.began), reportInterval), rateHalfLife)
	type candidate struct {
		Entry
		row  *row
		rank float64
	}
	var all []candidate
	for p, r := range t.rows {
		if r.rev > rev || rev > t.rev {
			e := r.entry(now, p, full)
			all = append(all, candidate{Entry: e, row: r, rank: (e.Sent + e.Offered) * r.wait(now).Seconds()})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(x.Server, y.Server), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	var list []Entry
	for _, c := range all[:min(len(all), MaxListed)] {
		c.row.markListed(now)
		list = append(list, c.Entry)
	}
	return list, t.rev
}

// Retain forgets the processes that are not listed any more, and those of which nothing was
// heard for some time.
func (t *Table) Retain(now time.Time, listed func(ident.Process) bool) {
	for p, r := range t.rows {
		if !listed(p) || now.Sub(r.heardAt) > rowMemory {
			delete(t.rows, p)
		}
	}
}
