// Package report reads audit reports from the object API: which server handled which key,
// for which caller, when, under which rule, and who put that rule in force.
//
// It needs no entry VM. The index lists every VM that ever wrote a journal, so the report
// is the same after all VMs were replaced. A report also lists what it cannot show:
// decisions dropped from a full buffer, segments written by a newer program, and
// submissions without a recorded outcome.
//
// A typical query covers a short time in a long history. The journals are searched by the
// times in the heads of their segments, several journals at once, so a report on five
// minutes reads only a few objects of each journal.
package report

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Limits of a report.
const (
	// Slack widens the time span that is read, because the clocks of VMs differ and
	// because requests are recorded when they end.
	Slack = 2 * time.Minute
	// MaxRows is the largest number of rows of one report, about 100 MB.
	MaxRows = 200_000
	// maxParallelReads is the number of journals read at once. Each read takes a few
	// milliseconds, but the read capacity of the platform is limited too.
	maxParallelReads = 8
)

// Query selects decisions. Empty fields match everything.
type Query struct {
	Since, Until time.Time
	Key          ident.Key
	Caller       ident.Caller
	Server       ident.Server
	Service      ident.Service
	ID           ident.Request
	Rule         string
	Action       record.Action
	// Slices returns the number of slices of a service. It is needed to find moves of the
	// slice of a key; nil leaves them out.
	Slices func(ident.Service) uint32
	// Author returns who put a revision of the rules in force; nil leaves it out.
	Author func(ident.Revision) string
}

// Row is one decision in a report.
type Row struct {
	record.Decision
	Author string `json:"author,omitempty"` // who put the rules revision in force
}

// Gap describes decisions that the report cannot show.
type Gap struct {
	Path   string    `json:"path"` // path of the journal
	Count  uint64    `json:"count,omitempty"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	Reason string    `json:"why"`
}

// Report is the result of a query.
type Report struct {
	Rows      []Row  `json:"rows"`
	Gaps      []Gap  `json:"gaps"`
	Skips     []Skip `json:"skips"`    // decisions left out of the journals by the rules, which no row shows
	Journals  int    `json:"journals"` // number of journals read
	Segments  int    `json:"segments"` // number of segments read
	Truncated bool   `json:"cut"`      // more than MaxRows decisions matched
}

// Run reads the journals and returns the report. It fails when the store fails. Segments
// that cannot be decoded are reported as gaps.
func Run(ctx context.Context, store object.Store, q Query) (*Report, error) {
	paths, err := ledger.Paths(ctx, store)
	if err != nil {
		return nil, err
	}
	c := collector{query: q}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for _, idx := range paths {
		if !q.wantsJournal(idx.Path) || !q.Until.IsZero() && idx.Created.After(q.Until.Add(Slack)) {
			continue
		}
		c.journals++
		g.Go(func() error {
			since, until := widenSpan(q)
			return ledger.Scan(ctx, store, idx, since, until, func(s ledger.Segment, err error) { c.addSegment(idx.Path, s, err) })
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return c.report(), nil
}

// widenSpan returns the time span of a query, widened by Slack.
func widenSpan(q Query) (since, until time.Time) {
	if !q.Since.IsZero() {
		since = q.Since.Add(-Slack)
	}
	if !q.Until.IsZero() {
		until = q.Until.Add(Slack)
	}
	return since, until
}

// wantsJournal reports whether a journal is to be read. Ownership histories of other
// services are not.
func (q *Query) wantsJournal(path string) bool {
	service, isHistory := strings.CutPrefix(path, ledger.OwnershipPrefix)
	return !isHistory || q.Service == "" || q.Service == ident.Service(service)
}

// match reports whether a decision matches the query.
func (q *Query) match(d *record.Decision) bool {
	switch {
	case !q.Since.IsZero() && d.At.Before(q.Since), !q.Until.IsZero() && d.At.After(q.Until):
		return false
	case q.Caller != "" && d.Caller != q.Caller, q.Service != "" && d.Service != q.Service:
		return false
	case q.ID != "" && d.ID != q.ID, q.Rule != "" && d.Rule != q.Rule:
		return false
	case q.Server != "" && d.Server != q.Server && d.PrevOwner != q.Server:
		return false
	case q.Action != "" && d.Action != q.Action && (q.Action != record.Route || d.Action != record.Accept):
		return false
	}
	return q.Key == "" || q.matchesKey(d)
}

// matchesKey reports whether a decision is about the key, or moves the slice that holds it.
func (q *Query) matchesKey(d *record.Decision) bool {
	if d.Key != "" || d.Action != record.Place {
		return d.Key == q.Key
	}
	if q.Slices == nil {
		return false
	}
	n := q.Slices(d.Service)
	return n > 0 && ident.SliceOf(q.Key, n) == d.Slice
}

// collector collects the matching decisions and the gaps of all journals.
type collector struct {
	query    Query
	journals int

	mu        sync.Mutex
	rows      []record.Decision
	gaps      []Gap
	skips     skipSet
	segments  int
	truncated bool
}

func (c *collector) addSegment(path string, s ledger.Segment, err error) {
	found, bad := s.Decisions()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.segments++
	gap := Gap{Path: path, From: s.From, To: s.To}
	if err != nil {
		gap.Reason = err.Error()
		c.gaps = append(c.gaps, gap)
		return
	}
	if bad > 0 {
		gap.Count, gap.Reason = uint64(bad), "entries that cannot be decoded"
		c.gaps = append(c.gaps, gap)
	}
	if s.Lost > 0 {
		gap.Count, gap.Reason = s.Lost, "the journal's buffer was full before this time"
		c.gaps = append(c.gaps, gap)
	}
	for i := range found {
		c.addDecision(path, &found[i])
	}
}

func (c *collector) addDecision(path string, d *record.Decision) {
	if d.Action == record.Lost {
		c.gaps = append(c.gaps, Gap{Path: path, Count: d.Count, From: d.At, To: d.At, Reason: d.Reason})
		return
	}
	if d.Action == record.Skip {
		c.skips.add(&c.query, d)
		return
	}
	if !c.query.match(d) {
		return
	}
	if len(c.rows) >= MaxRows {
		c.truncated = true
		return
	}
	c.rows = append(c.rows, *d)
}

// report builds the report from the collected decisions. It drops the second copy of moves,
// and acceptances of requests that have an outcome.
func (c *collector) report() *Report {
	r := &Report{Gaps: append([]Gap{}, c.gaps...), Journals: c.journals, Segments: c.segments, Truncated: c.truncated, Rows: []Row{}, Skips: c.skips.list()}
	slices.SortStableFunc(c.rows, func(a, b record.Decision) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(string(a.ID), string(b.ID)), strings.Compare(string(a.Action), string(b.Action)))
	})
	ended := map[ident.Request]bool{}
	for i := range c.rows {
		if c.rows[i].Action == record.Route {
			ended[c.rows[i].ID] = true
		}
	}
	moves := map[record.Decision]bool{}
	for _, d := range c.rows {
		switch d.Action {
		case record.Place: // is in the journal of the VM and in the history of the service
			if moves[d] {
				continue
			}
			moves[d] = true
		case record.Accept:
			if ended[d.ID] {
				continue
			}
			d.Ran, d.Kind, d.Reason = kinds.RanUnknown, kinds.Unknown.String(), "accepted; no outcome was recorded"
		}
		r.Rows = append(r.Rows, c.newRow(d))
	}
	slices.SortFunc(r.Gaps, func(a, b Gap) int { return cmp.Or(a.From.Compare(b.From), strings.Compare(a.Path, b.Path)) })
	return r
}

func (c *collector) newRow(d record.Decision) Row {
	row := Row{Decision: d}
	if c.query.Author != nil && d.Rev != 0 && d.Action != record.Place {
		row.Author = c.query.Author(d.Rev)
	}
	return row
}
