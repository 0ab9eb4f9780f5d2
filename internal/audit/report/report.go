// Package report answers the auditor's question out of the object API alone:
// which server handled which key, for whom, when, and under whose rule.
//
// It needs no entry VM. Every VM that ever wrote a journal stands in the index,
// so the answer is the same after all of them were replaced. What is missing is
// part of the answer: decisions that a full buffer dropped, segments that a
// newer program wrote, submissions whose outcome nobody recorded.
//
// The pattern it answers is a short question about a long history. Journals are
// searched by the times in their heads, several at once, so a report on five
// minutes reads a few objects of each journal and not the harvest.
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

// Bounds of a report.
const (
	// Slack widens the span that is read, for clocks of VMs that differ and for
	// requests that were recorded when they ended.
	Slack = 2 * time.Minute
	// MaxRows is the most rows that one report holds: about 100 MB.
	MaxRows = 200_000
	// parallel is how many journals are read at once. Reads are the platform's
	// scarce good too, and each waits for a few milliseconds.
	parallel = 8
)

// Query says what is asked. Empty fields ask for everything.
type Query struct {
	Since, Until time.Time
	Key          ident.Key
	Caller       ident.Caller
	Server       ident.Server
	Service      ident.Service
	ID           ident.Request
	Rule         string
	Action       record.Action
	// Slices tells how many slices a service has, so that moves of a key's
	// slice are found as well. Nil leaves them out.
	Slices func(ident.Service) uint32
	// Author tells who put a revision of the rules in force. Nil leaves it out.
	Author func(ident.Revision) string
}

// Row is one line of a report.
type Row struct {
	record.Decision
	Author string `json:"author,omitempty"` // who put the rule's revision in force
}

// Gap is something that the report cannot show.
type Gap struct {
	Path  string    `json:"path"` // the journal
	Count uint64    `json:"count,omitempty"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
	Why   string    `json:"why"`
}

// Report is the answer.
type Report struct {
	Rows     []Row  `json:"rows"`
	Gaps     []Gap  `json:"gaps"`
	Skips    []Skip `json:"skips"`    // what rules left out, which no row shows
	Journals int    `json:"journals"` // read
	Segments int    `json:"segments"` // read
	Cut      bool   `json:"cut"`      // there was more than MaxRows
}

// Run reads the journals and answers. It fails when the store does; a journal
// that holds something unreadable becomes a gap instead.
func Run(ctx context.Context, store object.Store, q Query) (*Report, error) {
	paths, err := ledger.Paths(ctx, store)
	if err != nil {
		return nil, err
	}
	c := collector{query: q}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallel)
	for _, x := range paths {
		if !q.wants(x.Path) || !q.Until.IsZero() && x.Created.After(q.Until.Add(Slack)) {
			continue
		}
		c.journals++
		g.Go(func() error {
			since, until := widen(q)
			return ledger.Scan(ctx, store, x, since, until, func(s ledger.Segment, err error) { c.segment(x.Path, s, err) })
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return c.report(), nil
}

func widen(q Query) (since, until time.Time) {
	if !q.Since.IsZero() {
		since = q.Since.Add(-Slack)
	}
	if !q.Until.IsZero() {
		until = q.Until.Add(Slack)
	}
	return since, until
}

// wants skips the ownership histories of other services.
func (q *Query) wants(path string) bool {
	service, isHistory := strings.CutPrefix(path, ledger.OwnPrefix)
	return !isHistory || q.Service == "" || q.Service == ident.Service(service)
}

// match reports whether a decision is asked for.
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
	return q.Key == "" || q.aboutKey(d)
}

// aboutKey also finds moves of the slice that holds the key.
func (q *Query) aboutKey(d *record.Decision) bool {
	if d.Key != "" || d.Action != record.Place {
		return d.Key == q.Key
	}
	if q.Slices == nil {
		return false
	}
	n := q.Slices(d.Service)
	return n > 0 && ident.SliceOf(q.Key, n) == d.Slice
}

// collector gathers what the readers of the journals find.
type collector struct {
	query    Query
	journals int

	mu       sync.Mutex
	rows     []record.Decision
	gaps     []Gap
	skips    skips
	segments int
	cut      bool
}

func (c *collector) segment(path string, s ledger.Segment, err error) {
	found, bad := s.Decisions()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.segments++
	gap := Gap{Path: path, From: s.From, To: s.To}
	if err != nil {
		gap.Why = err.Error()
		c.gaps = append(c.gaps, gap)
		return
	}
	if bad > 0 {
		gap.Count, gap.Why = uint64(bad), "entries that cannot be decoded"
		c.gaps = append(c.gaps, gap)
	}
	if s.Lost > 0 {
		gap.Count, gap.Why = s.Lost, "the journal's buffer was full before this time"
		c.gaps = append(c.gaps, gap)
	}
	for i := range found {
		c.add(path, &found[i])
	}
}

func (c *collector) add(path string, d *record.Decision) {
	if d.Action == record.Lost {
		c.gaps = append(c.gaps, Gap{Path: path, Count: d.Count, From: d.At, To: d.At, Why: d.Reason})
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
		c.cut = true
		return
	}
	c.rows = append(c.rows, *d)
}

func (c *collector) report() *Report {
	r := &Report{Gaps: append([]Gap{}, c.gaps...), Journals: c.journals, Segments: c.segments, Cut: c.cut, Rows: []Row{}, Skips: c.skips.list()}
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
		case record.Place: // in the VM's journal and in the service's history
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
		r.Rows = append(r.Rows, c.row(d))
	}
	slices.SortFunc(r.Gaps, func(a, b Gap) int { return cmp.Or(a.From.Compare(b.From), strings.Compare(a.Path, b.Path)) })
	return r
}

func (c *collector) row(d record.Decision) Row {
	row := Row{Decision: d}
	if c.query.Author != nil && d.Rev != 0 && d.Action != record.Place {
		row.Author = c.query.Author(d.Rev)
	}
	return row
}
