package report

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// Skip is the number of decisions that a rule left out of the journals. The counts are
// written every few seconds, so From and To may lie a little outside the span of the query.
type Skip struct {
	Service ident.Service  `json:"service"`
	Rule    string         `json:"rule"`
	Rev     ident.Revision `json:"rev"` // newest revision of the rule that left out a decision
	Keep    retain.Policy  `json:"keep"`
	Count   uint64         `json:"count"`
	From    time.Time      `json:"from"`
	To      time.Time      `json:"to"`
}

// skipSet sums up the counts of all VMs; each VM writes one for each rule every few seconds.
type skipSet map[skipKey]*Skip

// skipKey is what the counts are summed up by.
type skipKey struct {
	service ident.Service
	rule    string
	keep    retain.Policy
}

// add adds a count that may include decisions matching the query. A rule leaves out
// nothing of a key in its sample.
func (s *skipSet) add(q *Query, d *record.Decision) {
	from := d.At.Add(-d.Took)
	switch {
	case q.Action != "" && q.Action != record.Route:
		return
	case !q.Since.IsZero() && d.At.Before(q.Since), !q.Until.IsZero() && from.After(q.Until):
		return
	case q.Service != "" && d.Service != q.Service, q.Rule != "" && d.Rule != q.Rule:
		return
	case q.Key != "" && d.Keep.Sampled() && d.Keep.RetainsKey(q.Key):
		return
	}
	if *s == nil {
		*s = skipSet{}
	}
	key := skipKey{d.Service, d.Rule, d.Keep}
	x := (*s)[key]
	if x == nil {
		x = &Skip{Service: d.Service, Rule: d.Rule, Keep: d.Keep, From: from, To: d.At}
		(*s)[key] = x
	}
	x.Count += d.Count
	x.Rev = max(x.Rev, d.Rev)
	if from.Before(x.From) {
		x.From = from
	}
	if d.At.After(x.To) {
		x.To = d.At
	}
}

// list returns the sums, sorted by rule, service and policy.
func (s *skipSet) list() []Skip {
	all := make([]Skip, 0, len(*s))
	for _, x := range *s {
		all = append(all, *x)
	}
	slices.SortFunc(all, func(a, b Skip) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Keep, b.Keep))
	})
	return all
}
