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

// DefaultLength is how long callers send requests. With the start and the checks, the
// whole run takes about sixteen seconds.
const DefaultLength = 12 * time.Second

// Options configure a run. The zero value works.
type Options struct {
	Length time.Duration // of the load; zero means DefaultLength
	Log    *slog.Logger  // of the entry VMs; nil discards their logs
}

// The times of the events, in hundredths of the length.
const (
	timelineParts  = 100
	loseServerAt   = 20
	editRulesAt    = 32
	drainServersAt = 45
	burstAt        = 55
	shutDownVMAt   = 62
	storeDownAt    = 78
	storeUpAt      = 92
)

// evidence is everything that the checks need to know of a run.
type evidence struct {
	spec          siteSpec
	attempts      []attempt
	served        []origin.Served
	lostServer    ident.Server
	lostAt        time.Time
	drainedAt     map[ident.Server]time.Time
	leftVM        int // index of the entry VM that was shut down
	shutdownStart time.Time
	shutdownEnd   time.Time
	outageStart   time.Time // of the store
	outageEnd     time.Time
	ruleEdit      ruleEdit
	moves         []record.Decision // from the report, read after all VMs were shut down
	finalTable    table.Table       // in the store, after all VMs were shut down
	tableHistory  []storedTable     // all versions that the store accepted, in order
	maxTableRev   ident.Revision    // highest table revision that any VM used
	report        *report.Report    // all decisions, read after all VMs were shut down
	vmCount       int
}

// ruleEdit is an edit of the rules and its progress.
type ruleEdit struct {
	rev        ident.Revision
	writtenAt  time.Time
	acceptedAt time.Time
	quorum     quorum.Record // how many entry VMs held it when it was accepted
	inForceAt  []time.Time   // by entry VM; zero means never
	reverted   bool          // some VM went back to an older revision
}

// Run runs the scenario on both users' sites at the same time, prints the results, and
// reports whether every promise was checked and held.
func Run(ctx context.Context, w io.Writer, o Options) (bool, error) {
	perSite, err := runSites(ctx, o)
	if err != nil {
		return false, err
	}
	held := true
	for _, e := range perSite {
		results := runChecks(e)
		if err := printReport(w, e, results); err != nil {
			return false, err
		}
		held = held && allPassed(results)
	}
	return held, nil
}

func runSites(ctx context.Context, o Options) ([]*evidence, error) {
	if o.Length <= 0 {
		o.Length = DefaultLength
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	perSite := make([]*evidence, len(siteSpecs))
	g, ctx := errgroup.WithContext(ctx)
	for i, spec := range siteSpecs {
		g.Go(func() (err error) {
			perSite[i], err = runSite(ctx, spec, o)
			return err
		})
	}
	return perSite, g.Wait()
}

// runSite runs the scenario on one site.
func runSite(ctx context.Context, spec siteSpec, o Options) (*evidence, error) {
	s, err := startSite(ctx, spec, o.Log)
	defer s.close()
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	e := &evidence{spec: spec, drainedAt: map[ident.Server]time.Time{}, vmCount: len(s.vms)}
	c := newCallers(ctx, s)
	var watchGroup group.Group
	watcher := &rulesWatcher{site: s}
	watchGroup.Go(watcher.run)
	sending, stop := context.WithCancel(ctx)
	var loadGroup group.Group
	loadGroup.Go(func(context.Context) error {
		c.run(sending)
		return nil
	})
	err = s.runScenario(ctx, e, c, o.Length)
	stop()
	_ = loadGroup.Wait()
	_ = watchGroup.Close()
	if err != nil {
		return nil, err
	}
	e.attempts, e.served = c.snapshot(), s.runLog.All()
	watcher.fill(e)
	return e, s.collectHistory(ctx, e)
}

// runScenario triggers the events, in order: the loss of a server, an edit of the rules,
// the drain of two servers, a burst of requests, the shutdown of an entry VM, and an
// outage of the platform's store.
func (s *site) runScenario(ctx context.Context, e *evidence, c *callers, length time.Duration) error {
	after := func(n int) { group.Sleep(ctx, length*time.Duration(n)/timelineParts) }
	after(loseServerAt)
	e.lostServer, e.lostAt = s.serverNames[s.lookups.name][1], time.Now()
	if err := s.origins[e.lostServer].Close(); err != nil {
		return err
	}
	after(editRulesAt - loseServerAt)
	rev, err := s.replaceRules(ctx, 1, s.rulesTOML("3s"))
	if err != nil {
		return err
	}
	e.ruleEdit = ruleEdit{rev: rev, writtenAt: time.Now()}
	if e.ruleEdit.quorum, err = s.awaitQuorum(ctx, rev); err != nil {
		return err
	}
	e.ruleEdit.acceptedAt = time.Now()
	after(drainServersAt - editRulesAt)
	for _, svc := range []ident.Service{s.lookups.name, s.submissions.name} {
		name := s.serverNames[svc][2]
		s.origins[name].Drain()
		e.drainedAt[name] = time.Now()
	}
	after(burstAt - drainServersAt)
	c.sendBurst()
	after(shutDownVMAt - burstAt)
	c.startSlowUploads(len(s.vms) - 1)
	group.Sleep(ctx, slowWork/4)
	s.shutDownVM(e)
	after(storeDownAt - shutDownVMAt)
	e.outageStart = time.Now()
	s.api.Outage(true)
	after(storeUpAt - storeDownAt)
	s.api.Outage(false)
	e.outageEnd = time.Now()
	after(timelineParts - storeUpAt)
	return ctx.Err()
}

// shutDownVM shuts one entry VM down gracefully.
func (s *site) shutDownVM(e *evidence) {
	e.leftVM, e.shutdownStart = len(s.vms)-1, time.Now()
	d := s.vms[e.leftVM]
	vm := vmlist.VM{ID: d.Status().VM, Addr: d.Peers(), Centre: s.centres[e.leftVM], State: vmlist.Leaving}
	s.api.SetVM(vm)
	if err := d.Close(); err != nil {
		s.log.Error("entry VM shutdown failed", "err", err)
	}
	vm.State = vmlist.Gone
	s.api.SetVM(vm)
	e.shutdownEnd = time.Now()
}

// collectHistory shuts all entry VMs down and then reads the tables and the report from
// the store, as an auditor does later.
func (s *site) collectHistory(ctx context.Context, e *evidence) error {
	for _, d := range s.vms {
		if svc, ok := d.State().Service(s.lookups.name); ok && svc.View() != nil {
			e.maxTableRev = max(e.maxTableRev, svc.View().Rev())
		}
	}
	for _, d := range s.vms {
		if err := d.Close(); err != nil {
			return err
		}
	}
	o, err := s.store.Get(ctx, tableObject(s.lookups.name))
	if err != nil {
		return err
	}
	if e.finalTable, err = table.Decode(o.Value); err != nil {
		return err
	}
	if e.tableHistory, err = decodeTables(s.api.History(tableObject(s.lookups.name))); err != nil {
		return err
	}
	if e.report, err = report.Run(ctx, s.store, report.Query{Author: s.revisionAuthors(ctx)}); err != nil {
		return err
	}
	for i := range e.report.Rows {
		if row := &e.report.Rows[i]; row.Action == record.Place && row.Service == s.lookups.name {
			e.moves = append(e.moves, row.Decision)
		}
	}
	return nil
}

// tableObject returns the name of the object that holds a service's table.
func tableObject(svc ident.Service) string { return "table/" + string(svc) }

// revisionAuthors returns a function that reads the author of a revision of the rules,
// with a cache.
func (s *site) revisionAuthors(ctx context.Context) func(ident.Revision) string {
	authors := map[ident.Revision]string{}
	return func(rev ident.Revision) string {
		if _, ok := authors[rev]; !ok {
			authors[rev] = "?"
			if rec, err := save.Revision(ctx, s.store, rev); err == nil {
				authors[rev] = rec.Author
			}
		}
		return authors[rev]
	}
}

// rulesWatcher records which revisions of the rules each entry VM has in force. Its
// slices are indexed by entry VM.
type rulesWatcher struct {
	site      *site
	firstSeen []map[ident.Revision]time.Time
	highest   []ident.Revision
	reverted  bool
}

func (w *rulesWatcher) run(ctx context.Context) error {
	w.firstSeen = make([]map[ident.Revision]time.Time, len(w.site.vms))
	w.highest = make([]ident.Revision, len(w.site.vms))
	for group.Sleep(ctx, 10*time.Millisecond) {
		for i, d := range w.site.vms {
			w.observe(i, d.State().Rules.Current().Rev)
		}
	}
	return nil
}

func (w *rulesWatcher) observe(i int, rev ident.Revision) {
	if rev < w.highest[i] {
		w.reverted = true
	}
	w.highest[i] = max(w.highest[i], rev)
	if w.firstSeen[i] == nil {
		w.firstSeen[i] = map[ident.Revision]time.Time{}
	}
	if _, ok := w.firstSeen[i][rev]; !ok {
		w.firstSeen[i][rev] = time.Now()
	}
}

// fill adds what was observed to the evidence.
func (w *rulesWatcher) fill(e *evidence) {
	e.ruleEdit.reverted = w.reverted
	for _, first := range w.firstSeen {
		e.ruleEdit.inForceAt = append(e.ruleEdit.inForceAt, first[e.ruleEdit.rev])
	}
}
