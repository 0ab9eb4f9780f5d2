package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// endedMemory is how long the end of a notice is remembered, so that an older report that
// arrives late does not bring the notice back.
const endedMemory = 10 * time.Second

// Book holds the notices that a VM knows. The zero value knows none.
type Book struct{ entries map[ident.Process]entry }

// entry is the last that is known of one server.
type entry struct {
	Notice
	at       time.Time // when the answer arrived
	reported bool      // the leader knows it
}

// Change is a notice that was given or ended.
type Change struct {
	Process ident.Process
	Notice  Notice
}

// Hear records what a server said with an answer to a request that was sent at a time, and
// reports whether that is news. The end of a notice counts only if the request was sent
// after the notice was last given.
func (b *Book) Hear(now time.Time, p ident.Process, n Notice, sent time.Time) bool {
	old, known := b.entries[p]
	ends := n == Notice{}
	switch {
	case ends && (old.Notice == n || !sent.After(old.at)):
		return false
	case known && old.Notice == n:
		old.at = now
		b.entries[p] = old
		return false
	}
	b.put(p, entry{Notice: n, at: now})
	return true
}

// Merge adds reports of other VMs on the leader, and reports whether they contain news.
func (b *Book) Merge(now time.Time, all []Report) bool {
	changed := false
	for _, r := range all {
		at := now.Add(-r.Age)
		old, known := b.entries[r.Process()]
		if known && !at.After(old.at) || !known && r.Notice == (Notice{}) {
			continue
		}
		b.put(r.Process(), entry{Notice: r.Notice, at: at, reported: true})
		changed = changed || old.Notice != r.Notice
	}
	return changed
}

// Replace sets the notices to those that the leader sent in response to a poll, except those
// that this VM has heard after it sent the poll. It reports whether a notice has changed.
func (b *Book) Replace(now, asked time.Time, all []Report) bool {
	next := map[ident.Process]entry{}
	for _, r := range all {
		next[r.Process()] = entry{Notice: r.Notice, at: now.Add(-r.Age), reported: true}
	}
	for p, e := range b.entries {
		if !e.reported && e.at.After(asked) {
			next[p] = e
		}
	}
	changed := !maps.EqualFunc(b.entries, next, func(x, y entry) bool { return x.Notice == y.Notice })
	b.entries = next
	return changed
}

// MarkReported records that the leader has got the reports of a poll that was sent at a time.
func (b *Book) MarkReported(asked time.Time) {
	for p, e := range b.entries {
		e.reported = e.reported || !e.at.After(asked)
		b.entries[p] = e
	}
}

// MarkUnreported records that the leader, which is new, knows nothing of what is known here.
func (b *Book) MarkUnreported() {
	for p, e := range b.entries {
		e.reported = false
		b.entries[p] = e
	}
}

// Unreported returns what the leader does not know yet.
func (b *Book) Unreported(now time.Time) []Report {
	return b.reports(now, func(e entry) bool { return !e.reported })
}

// All returns the notices that hold.
func (b *Book) All(now time.Time) []Report {
	return b.reports(now, func(e entry) bool { return e.Notice != Notice{} })
}

func (b *Book) reports(now time.Time, include func(entry) bool) []Report {
	var all []Report
	for p, e := range b.entries {
		if include(e) {
			all = append(all, e.report(now, p))
		}
	}
	slices.SortFunc(all, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Server, y.Server), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return all
}

func (e entry) report(now time.Time, p ident.Process) Report {
	return Report{Server: p.Server, Incarnation: p.Incarnation, Notice: e.Notice, Age: max(now.Sub(e.at), 0)}
}

// Of returns the notice of a process.
func (b *Book) Of(p ident.Process) Notice { return b.entries[p].Notice }

// ReportOf returns what is known of a process, and false if it has given no notice.
func (b *Book) ReportOf(now time.Time, p ident.Process) (Report, bool) {
	e := b.entries[p]
	return e.report(now, p), e.Notice != Notice{}
}

// Notices returns the notices that hold.
func (b *Book) Notices() map[ident.Process]Notice {
	all := map[ident.Process]Notice{}
	for p, e := range b.entries {
		if e.Notice != (Notice{}) {
			all[p] = e.Notice
		}
	}
	return all
}

// ChangedSince returns how the notices differ from those of before, but for their figures.
func (b *Book) ChangedSince(before map[ident.Process]Notice) []Change {
	var all []Change
	after := b.Notices()
	for p, n := range after {
		if !before[p].sameKind(n) {
			all = append(all, Change{Process: p, Notice: n})
		}
	}
	for p := range before {
		if _, holds := after[p]; !holds {
			all = append(all, Change{Process: p})
		}
	}
	return all
}

// Retain forgets the servers that are not listed any more and notices that ended long ago.
// It reports whether a notice that holds was forgotten.
func (b *Book) Retain(now time.Time, listed func(ident.Process) bool) bool {
	changed := false
	for p, e := range b.entries {
		ended := e.Notice == Notice{}
		if listed(p) && (!ended || now.Sub(e.at) < endedMemory) {
			continue
		}
		delete(b.entries, p)
		changed = changed || !ended
	}
	return changed
}

func (b *Book) put(p ident.Process, e entry) {
	if b.entries == nil {
		b.entries = map[ident.Process]entry{}
	}
	b.entries[p] = e
}
