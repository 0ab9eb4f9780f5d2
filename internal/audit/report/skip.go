package report

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// Skip says how many decisions a rule left out of the journal. Counts are taken
// every few seconds, so the time may reach a little beyond what was asked for.
type Skip struct {
	Service ident.Service  `json:"service"`
	Rule    string         `json:"rule"`
	Rev     ident.Revision `json:"rev"` // the newest that left something out
	Keep    retain.Policy  `json:"keep"`
	Count   uint64         `json:"count"`
	From    time.Time      `json:"from"`
	To      time.Time      `json:"to"`
}

// skips joins the counts of all VMs: there is one every few seconds and VM.
type skips map[skipKey]*Skip

type skipKey struct {
	service ident.Service
	rule    string
	keep    retain.Policy
}

// add takes a count that could belong to what is asked for. A key in a rule's
// sample lacks nothing by that rule.
func (s *skips) add(q *Query, d *record.Decision) {
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
		*s = skips{}
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

func (s *skips) list() []Skip {
	all := make([]Skip, 0, len(*s))
	for _, x := range *s {
		all = append(all, *x)
	}
	slices.SortFunc(all, func(a, b Skip) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Keep, b.Keep))
	})
	return all
}
