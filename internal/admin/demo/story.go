package demo

import (
	"context"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

// DefaultLength is how long callers send requests. With starting and judging
// the whole run takes about sixteen seconds.
const DefaultLength = 12 * time.Second

// Options of a run. The zero value works.
type Options struct {
	Length time.Duration
	Log    *slog.Logger // of the entry VMs; nil keeps them quiet
}

// When things happen, in parts of the length.
const (
	parts   = 100
	loseAt  = 20
	editAt  = 32
	drainAt = 45
	burstAt = 55
	leaveAt = 62
	downAt  = 78 // the platform's store goes away
	backAt  = 92
)

// evidence is what a run leaves for the judges.
type evidence struct {
	user     user
	attempts []attempt
	served   []origin.Served
	lost     ident.Server
	lostAt   time.Time
	drained  map[ident.Server]time.Time
	left     int // the entry VM that was shut down
	leftAt   time.Time
	goneAt   time.Time
	downAt   time.Time // the store's outage
	backAt   time.Time
	edit     edit
	moves    []record.Decision // from the ownership history, after all VMs are gone
	table    table.Table       // in the store, after all VMs are gone
	tables   []agreed          // all that the store took, in its order
	seen     ident.Revision    // highest table revision that any VM worked by
	report   *report.Report    // everything, read after all VMs are gone
	vms      int
}

// edit is a change of the rules and when each entry VM had it in force.
type edit struct {
	rev      ident.Revision
	written  time.Time
	accepted time.Time
	held     quorum.Record // by whom it was held when it was accepted
	inForce  []time.Time   // zero: never
	back     bool          // some VM went back to an older revision
}

// Run plays both users' sites at once, prints what happened, and reports whether
// every promise was checked and held.
func Run(ctx context.Context, w io.Writer, o Options) (bool, error) {
	found, err := playAll(ctx, o)
	if err != nil {
		return false, err
	}
	held := true
	for _, e := range found {
		verdicts := judge(e)
		if err := printAll(w, e, verdicts); err != nil {
			return false, err
		}
		held = held && allHeld(verdicts)
	}
	return held, nil
}

func playAll(ctx context.Context, o Options) ([]*evidence, error) {
	if o.Length <= 0 {
		o.Length = DefaultLength
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	found := make([]*evidence, len(users))
	g, ctx := errgroup.WithContext(ctx)
	for i, u := range users {
		g.Go(func() (err error) {
			found[i], err = play(ctx, u, o)
			return err
		})
	}
	return found, g.Wait()
}

// play runs one site.
func play(ctx context.Context, u user, o Options) (*evidence, error) {
	s, err := open(ctx, u, o.Log)
	defer s.close()
	if err != nil {
		return nil, err
	}
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	e := &evidence{user: u, drained: map[ident.Server]time.Time{}, vms: len(s.vms)}
	c := newCallers(ctx, s)
	var watch group.Group
	revs := &revisions{site: s}
	watch.Go(revs.run)
	sending, stop := context.WithCancel(ctx)
	var load group.Group
	load.Go(func(context.Context) error {
		c.run(sending)
		return nil
	})
	err = s.story(ctx, e, c, o.Length)
	stop()
	_ = load.Wait()
	_ = watch.Close()
	if err != nil {
		return nil, err
	}
	e.attempts, e.served = c.attempts(), s.record.All()
	revs.fill(e)
	return e, s.conclude(ctx, e)
}

// story lets things happen: a server is lost, the rules change, servers drain,
// many come at once, an entry VM leaves, and the platform's store goes away.
func (s *site) story(ctx context.Context, e *evidence, c *callers, length time.Duration) error {
	after := func(n int) { group.Sleep(ctx, length*time.Duration(n)/parts) }
	after(loseAt)
	e.lost, e.lostAt = s.names[s.keyed.name][1], time.Now()
	if err := s.origins[e.lost].Close(); err != nil {
		return err
	}
	after(editAt - loseAt)
	rev, err := s.accept(ctx, 1, s.rules("3s"))
	if err != nil {
		return err
	}
	e.edit = edit{rev: rev, written: time.Now()}
	if e.edit.held, err = s.held(ctx, rev); err != nil {
		return err
	}
	e.edit.accepted = time.Now()
	after(drainAt - editAt)
	for _, svc := range []ident.Service{s.keyed.name, s.once.name} {
		name := s.names[svc][2]
		s.origins[name].Drain()
		e.drained[name] = time.Now()
	}
	after(burstAt - drainAt)
	c.burst()
	after(leaveAt - burstAt)
	c.long(len(s.vms) - 1)
	group.Sleep(ctx, longWork/4)
	s.leave(e)
	after(downAt - leaveAt)
	e.downAt = time.Now()
	s.api.Outage(true)
	after(backAt - downAt)
	s.api.Outage(false)
	e.backAt = time.Now()
	after(parts - backAt)
	return ctx.Err()
}

// leave shuts one entry VM down gracefully.
func (s *site) leave(e *evidence) {
	e.left, e.leftAt = len(s.vms)-1, time.Now()
	d := s.vms[e.left]
	vm := vmlist.VM{ID: d.Status().VM, Addr: d.Peers(), Centre: s.centres[e.left], State: vmlist.Leaving}
	s.api.SetVM(vm)
	if err := d.Close(); err != nil {
		s.log.Error("an entry VM's shutdown", "err", err)
	}
	vm.State = vmlist.Gone
	s.api.SetVM(vm)
	e.goneAt = time.Now()
}

// conclude shuts every entry VM down and then reads the history, as an auditor
// does who comes later.
func (s *site) conclude(ctx context.Context, e *evidence) error {
	for _, d := range s.vms {
		if svc, ok := d.State().Service(s.keyed.name); ok && svc.View() != nil {
			e.seen = max(e.seen, svc.View().Rev())
		}
	}
	for _, d := range s.vms {
		if err := d.Close(); err != nil {
			return err
		}
	}
	o, err := s.store.Get(ctx, tableName(s.keyed.name))
	if err != nil {
		return err
	}
	if e.table, err = table.Decode(o.Value); err != nil {
		return err
	}
	if e.tables, err = tablesOf(s.api.History(tableName(s.keyed.name))); err != nil {
		return err
	}
	if e.report, err = report.Run(ctx, s.store, report.Query{Author: s.authors(ctx)}); err != nil {
		return err
	}
	for i := range e.report.Rows {
		if row := &e.report.Rows[i]; row.Action == record.Place && row.Service == s.keyed.name {
			e.moves = append(e.moves, row.Decision)
		}
	}
	return nil
}

// tableName is the object that holds a service's table.
func tableName(svc ident.Service) string { return "table/" + string(svc) }

// authors reads who put each revision of the rules in force.
func (s *site) authors(ctx context.Context) func(ident.Revision) string {
	known := map[ident.Revision]string{}
	return func(rev ident.Revision) string {
		if _, ok := known[rev]; !ok {
			known[rev] = "?"
			if rec, err := save.Revision(ctx, s.store, rev); err == nil {
				known[rev] = rec.Author
			}
		}
		return known[rev]
	}
}

// revisions watches which rules each entry VM has in force.
type revisions struct {
	site  *site
	first []map[ident.Revision]time.Time
	last  []ident.Revision
	back  bool
}

func (r *revisions) run(ctx context.Context) error {
	r.first = make([]map[ident.Revision]time.Time, len(r.site.vms))
	r.last = make([]ident.Revision, len(r.site.vms))
	for group.Sleep(ctx, 10*time.Millisecond) {
		for i, d := range r.site.vms {
			r.look(i, d.State().Rules.Current().Rev)
		}
	}
	return nil
}

func (r *revisions) look(i int, rev ident.Revision) {
	if rev < r.last[i] {
		r.back = true
	}
	r.last[i] = max(r.last[i], rev)
	if r.first[i] == nil {
		r.first[i] = map[ident.Revision]time.Time{}
	}
	if _, ok := r.first[i][rev]; !ok {
		r.first[i][rev] = time.Now()
	}
}

func (r *revisions) fill(e *evidence) {
	e.edit.back = r.back
	for _, first := range r.first {
		e.edit.inForce = append(e.edit.inForce, first[e.edit.rev])
	}
}
