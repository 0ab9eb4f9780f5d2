package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// skipInterval is the time between writes of the skip counts to the journal, one entry for
// each rule that left out decisions. A lost VM takes the counts of at most this time with it.
const skipInterval = 5 * time.Second

// Filter passes decisions to a journal, without those that a retention policy leaves
// out. It counts those by rule, and writes the counts to the journal as decisions
// with the action [record.Skip]. Without the counts an auditor could not tell that the
// requests took place.
//
// While the buffer of the journal fills during an outage the counts stay in the filter.
// There they take bounded memory however long the outage lasts, and they are not dropped
// as new entries are.
type Filter struct {
	journal *Journal
	group   group.Group

	mu     sync.Mutex
	counts skipCounts
	total  uint64
}

// skipCounts counts the decisions that were left out.
type skipCounts map[skipKey]*skipCount

// skipKey is what decisions are counted by. The number of counts is bounded by the
// number of rules that were in force during one outage.
type skipKey struct {
	service ident.Service
	rule    string
	keep    retain.Policy
}

// skipCount is the count for one key.
type skipCount struct {
	vm       ident.VM
	rev      ident.Revision // newest revision of the rule that left out a decision
	count    uint64
	from, to time.Time
}

var _ record.Sink = (*Filter)(nil)

// NewFilter starts a filter in front of a journal. Close it before the journal.
func NewFilter(j *Journal) *Filter {
	f := &Filter{journal: j, counts: skipCounts{}}
	f.group.Go(f.run)
	return f
}

// Append passes a decision to the journal, or counts it when it is to be left out.
func (f *Filter) Append(d record.Decision) {
	if !d.Skip {
		d.Keep = "" // the policy is stored only with the skip counts
		f.journal.Append(d)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.add(&d)
	f.total++
}

func (c skipCounts) add(d *record.Decision) {
	key := skipKey{d.Service, d.Rule, d.Keep}
	x := c[key]
	if x == nil {
		x = &skipCount{vm: d.VM, from: d.At, to: d.At}
		c[key] = x
	}
	x.count++
	x.rev = max(x.rev, d.Rev)
	if d.At.Before(x.from) {
		x.from = d.At
	}
	if d.At.After(x.to) {
		x.to = d.At
	}
}

// decisions returns the counts as decisions for the journal.
func (c skipCounts) decisions() []record.Decision {
	all := make([]record.Decision, 0, len(c))
	for key, x := range c {
		all = append(all, record.Decision{
			At: x.to, Took: x.to.Sub(x.from), Action: record.Skip, VM: x.vm, Service: key.service,
			Rule: key.rule, Rev: x.rev, Keep: key.keep, Count: x.count,
		})
	}
	slices.SortFunc(all, func(a, b record.Decision) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Keep, b.Keep))
	})
	return all
}

// Skipped returns the number of decisions left out since the start.
func (f *Filter) Skipped() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

// Close stops the filter and passes the last counts to the journal.
func (f *Filter) Close() error {
	err := f.group.Close()
	f.flush()
	return err
}

func (f *Filter) run(ctx context.Context) error {
	t := time.NewTicker(skipInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if f.journal.Status().Bytes <= f.journal.limits.Buffer/2 {
				f.flush()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// flush passes the counts to the journal and resets them.
func (f *Filter) flush() {
	f.mu.Lock()
	counts := f.counts
	f.counts = skipCounts{}
	f.mu.Unlock()
	for _, d := range counts.decisions() {
		f.journal.Append(d)
	}
}
