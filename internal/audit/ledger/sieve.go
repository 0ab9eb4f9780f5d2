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

// skipEvery is how often the counts of what was not kept go into the journal: an
// entry for each rule that left something out, and what a lost VM takes with it.
const skipEvery = 5 * time.Second

// Filter stands before a journal and leaves out what the rules say need not be
// kept. It counts that by rule, and the counts stand in the journal as decisions
// of the sort [record.Skip]. A journal that just lacked the entries would look
// to an auditor like requests that never were.
//
// While the journal's buffer fills in an outage the counts wait here, where they
// take the same room however long it lasts, and are not dropped with the newest
// entries.
type Filter struct {
	j     *Journal
	group group.Group

	mu    sync.Mutex
	left  leavings
	total uint64
}

// leavings are counts of what was left out.
type leavings map[skipKey]*skipped

// skipKey tells apart what is counted. Names of rules are few and repeat, so the
// counts are bounded by the rules that ever were in force in one outage.
type skipKey struct {
	service ident.Service
	rule    string
	keep    retain.Policy
}

type skipped struct {
	vm       ident.VM
	rev      ident.Revision // the newest that left something out
	count    uint64
	from, to time.Time
}

var _ record.Sink = (*Filter)(nil)

// NewFilter starts a sieve. Close it before the journal.
func NewFilter(j *Journal) *Filter {
	s := &Filter{j: j, left: leavings{}}
	s.group.Go(s.run)
	return s
}

// Append hands a decision on to the journal, or counts it.
func (s *Filter) Append(d record.Decision) {
	if !d.Skip {
		d.Keep = "" // said once for all that was left out
		s.j.Append(d)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left.add(&d)
	s.total++
}

func (l leavings) add(d *record.Decision) {
	key := skipKey{d.Service, d.Rule, d.Keep}
	x := l[key]
	if x == nil {
		x = &skipped{vm: d.VM, from: d.At, to: d.At}
		l[key] = x
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

// decisions are the counts as they stand in the journal.
func (l leavings) decisions() []record.Decision {
	all := make([]record.Decision, 0, len(l))
	for key, x := range l {
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

// Skipped is how many decisions were left out since the start.
func (s *Filter) Skipped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close hands on the last counts and waits.
func (s *Filter) Close() error {
	err := s.group.Close()
	s.flush()
	return err
}

func (s *Filter) run(ctx context.Context) error {
	t := time.NewTicker(skipEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if s.j.Status().Bytes <= s.j.lim.Buffer/2 {
				s.flush()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Filter) flush() {
	s.mu.Lock()
	left := s.left
	s.left = leavings{}
	s.mu.Unlock()
	for _, d := range left.decisions() {
		s.j.Append(d)
	}
}
