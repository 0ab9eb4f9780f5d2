package syncer

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Periods of calls to the store.
const (
	probePeriod   = 500 * time.Millisecond // between reads that check whether it answers
	minRetryDelay = 100 * time.Millisecond // after a failed call, doubled each time
	maxRetryDelay = 2 * time.Second
)

// probeLoop checks, on a VM that watches, that the store answers: a pending watch
// shows nothing about that.
func (s *Syncer) probeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.watching.Load() {
			s.probe(ctx)
		}
		group.Sleep(ctx, probePeriod)
	}
	return nil
}

func (s *Syncer) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	asked := time.Now() // the answer says nothing about what happened later
	o, err := s.Store.Get(ctx, revs.Current)
	switch kinds.Of(err) {
	case kinds.None:
		s.onRules(o)
		s.gossip.Send(gossip.StoreMsg{Asked: asked})
	case kinds.NotFound:
		s.gossip.Send(gossip.StoreMsg{Asked: asked})
	}
}

// onRules takes the rules as read from the store. Each version is passed on once:
// most reads only check that the store answers.
func (s *Syncer) onRules(o object.Object) {
	if o.Name != revs.Current || s.rulesVersion.Swap(uint64(o.Version)) == uint64(o.Version) {
		return
	}
	s.rules.Send(revs.LoadedMsg{Raw: o.Value})
	rec, err := revs.Decode(o.Value)
	if err != nil {
		return // rules/revs reports the error
	}
	s.gossip.Send(gossip.ValueMsg{Name: o.Name, Rev: rec.Rev, Raw: o.Value})
}

func (s *Syncer) onTable(o object.Object) {
	tab, err := decodeTable(o.Name, o.Value)
	if err != nil {
		s.Log.Error("cannot decode ownership table", "name", o.Name, "err", err)
		return
	}
	s.passTable(tab, o.Version)
	s.gossip.Send(gossip.ValueMsg{Name: o.Name, Rev: tab.Rev, Raw: o.Value})
}

// PublishTable passes on a table that this VM wrote or read.
func (s *Syncer) PublishTable(tab table.Table) {
	raw, err := tab.Encode()
	if err != nil {
		s.Log.Error("cannot encode ownership table", "service", tab.Service, "err", err)
		return
	}
	s.gossip.Send(gossip.ValueMsg{Name: tablePrefix + string(tab.Service), Rev: tab.Rev, Raw: raw})
}

// Notify tells VMs directly about a revision of a table as soon as this VM holds it.
// All others learn of it through the gossip trees.
func (s *Syncer) Notify(svc ident.Service, rev ident.Revision, to []ident.VM) {
	s.gossip.Send(gossip.NotifyMsg{Name: tablePrefix + string(svc), Rev: rev, To: to})
}

// decodeTable decodes a table and checks that it carries its own name: a table under
// another service's name would send that service's requests to the wrong servers.
func decodeTable(name string, raw []byte) (table.Table, error) {
	tab, err := table.Decode(raw)
	if err == nil && tablePrefix+string(tab.Service) != name {
		err = kinds.New(kinds.Malformed, "table of "+string(tab.Service)+" under the name "+name)
	}
	return tab, err
}

// storeWatcher watches the store while it is switched on.
type storeWatcher struct {
	syncer *Syncer

	mu      sync.Mutex
	running *group.Group
	closed  bool
}

// set switches watching on or off, without blocking.
func (w *storeWatcher) set(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || on == (w.running != nil) {
		return
	}
	if !on {
		old := w.running
		w.running = nil
		w.syncer.effects.Go(func(context.Context) error { return old.Close() })
		return
	}
	w.running = &group.Group{}
	w.running.Go(func(ctx context.Context) error { return w.syncer.watch(ctx, revs.Current, w.syncer.onRules) })
	w.running.Go(func(ctx context.Context) error { return w.syncer.watch(ctx, tablePrefix, w.syncer.onTable) })
}

// Close switches watching off for good and waits.
func (w *storeWatcher) Close() error {
	w.mu.Lock()
	old := w.running
	w.running, w.closed = nil, true
	w.mu.Unlock()
	if old == nil {
		return nil
	}
	return old.Close()
}

// watch follows the objects under a prefix, through outages of the store.
func (s *Syncer) watch(ctx context.Context, prefix string, handle func(object.Object)) error {
	var at object.Cursor
	listed, pause := false, minRetryDelay
	for ctx.Err() == nil {
		var err error
		if listed {
			at, err = s.awaitChanges(ctx, prefix, at, handle)
		} else {
			at, err = s.list(ctx, prefix, handle)
		}
		switch {
		case err == nil:
			listed, pause = true, minRetryDelay
			continue
		case kinds.Of(err) == kinds.NotFound:
			listed = false // the cursor is too old
		}
		group.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryDelay)
	}
	return nil
}

func (s *Syncer) list(ctx context.Context, prefix string, handle func(object.Object)) (object.Cursor, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	all, at, err := s.Store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, o := range all {
		handle(o)
	}
	return at, nil
}

func (s *Syncer) awaitChanges(ctx context.Context, prefix string, at object.Cursor, handle func(object.Object)) (object.Cursor, error) {
	changes, next, err := s.Store.Watch(ctx, prefix, at)
	if err != nil {
		return at, err
	}
	for _, c := range changes {
		if c.Version != 0 {
			handle(c.Object)
		}
	}
	return next, nil
}
