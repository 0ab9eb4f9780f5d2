package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// endedMemory is how long the end of a limit is remembered, so that an older report that
// arrives late does not bring the limit back.
const endedMemory = 10 * time.Second

// Book holds the limits of the servers that a VM knows. The zero value knows none.
type Book struct{ entries map[ident.Process]entry }

// entry is the last that is known of one server.
type entry struct {
	Limit
	at       time.Time // when the answer that stated it arrived
	reported bool      // the leader knows it
}

// Hear records what a server said with an answer to a request that was sent at a time, and
// reports whether that is news. The end of a limit counts only if the request was sent after
// the limit was last stated: answers overtake each other.
func (b *Book) Hear(now time.Time, p ident.Process, l Limit, sent time.Time) bool {
	old, known := b.entries[p]
	switch {
	case !l.Stated && (!old.Stated || !sent.After(old.at)):
		return false
	case known && old.Limit == l:
		old.at = now
		b.entries[p] = old
		return false
	}
	b.put(p, entry{Limit: l, at: now})
	return true
}

// Merge adds reports of other VMs on the leader, and reports whether they contain news.
func (b *Book) Merge(now time.Time, all []Report) bool {
	changed := false
	for _, r := range all {
		at := now.Add(-r.Age)
		old, known := b.entries[r.Process()]
		if known && !at.After(old.at) || !known && !r.Stated {
			continue
		}
		b.put(r.Process(), entry{Limit: r.Limit, at: at, reported: true})
		changed = changed || old.Limit != r.Limit
	}
	return changed
}

// Replace sets the limits to those that the leader sent in response to a poll, except those
// that this VM has heard after it sent the poll. It reports whether a limit has changed.
func (b *Book) Replace(now, asked time.Time, all []Report) bool {
	next := map[ident.Process]entry{}
	for _, r := range all {
		next[r.Process()] = entry{Limit: r.Limit, at: now.Add(-r.Age), reported: true}
	}
	for p, e := range b.entries {
		if !e.reported && e.at.After(asked) {
			next[p] = e
		}
	}
	changed := !maps.EqualFunc(b.entries, next, func(x, y entry) bool { return x.Limit == y.Limit })
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

// All returns the limits in force.
func (b *Book) All(now time.Time) []Report {
	return b.reports(now, func(e entry) bool { return e.Stated })
}

func (b *Book) reports(now time.Time, include func(entry) bool) []Report {
	var all []Report
	for p, e := range b.entries {
		if include(e) {
			all = append(all, Report{Server: p.Server, Incarnation: p.Incarnation, Limit: e.Limit, Age: max(now.Sub(e.at), 0)})
		}
	}
	slices.SortFunc(all, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Server, y.Server), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return all
}

// Limit returns the limit of a server's process.
func (b *Book) Limit(p ident.Process) Limit { return b.entries[p].Limit }

// Len returns the number of limits in force.
func (b *Book) Len() int {
	n := 0
	for _, e := range b.entries {
		if e.Stated {
			n++
		}
	}
	return n
}

// Retain forgets the servers that are not listed any more and limits that ended long ago. It
// reports whether a limit in force was forgotten.
func (b *Book) Retain(now time.Time, listed func(ident.Process) bool) bool {
	changed := false
	for p, e := range b.entries {
		if listed(p) && (e.Stated || now.Sub(e.at) < endedMemory) {
			continue
		}
		delete(b.entries, p)
		changed = changed || e.Stated
	}
	return changed
}

func (b *Book) put(p ident.Process, e entry) {
	if b.entries == nil {
		b.entries = map[ident.Process]entry{}
	}
	b.entries[p] = e
}
