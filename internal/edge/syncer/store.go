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

// Pauses of following the store.
const (
	look       = 500 * time.Millisecond // between reads that prove that it answers
	firstPause = 100 * time.Millisecond // after a failed call
	lastPause  = 2 * time.Second
)

// probes proves, on a VM that watches, that the store answers: a watch that
// waits in silence proves nothing.
func (n *Syncer) probes(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.watching.Load() {
			n.probe(ctx)
		}
		group.Sleep(ctx, look)
	}
	return nil
}

func (n *Syncer) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	asked := time.Now() // the answer says nothing of what came after
	o, err := n.Store.Get(ctx, revs.Current)
	switch kinds.Of(err) {
	case kinds.None:
		n.onRules(o)
		n.gossip.Send(gossip.StoreMsg{Asked: asked})
	case kinds.NotFound:
		n.gossip.Send(gossip.StoreMsg{Asked: asked})
	}
}

// onRules takes the rules as read from the store. The same version is handed on
// once: most reads only prove that the store answers.
func (n *Syncer) onRules(o object.Object) {
	if o.Name != revs.Current || n.seen.Swap(uint64(o.Version)) == uint64(o.Version) {
		return
	}
	n.rules.Send(revs.LoadedMsg{Raw: o.Value})
	rec, err := revs.Decode(o.Value)
	if err != nil {
		return // rules/force reports it
	}
	n.gossip.Send(gossip.ValueMsg{Name: o.Name, Rev: rec.Rev, Raw: o.Value})
}

func (n *Syncer) onTable(o object.Object) {
	tab, err := decode(o.Name, o.Value)
	if err != nil {
		n.Log.Error("ownership table", "name", o.Name, "err", err)
		return
	}
	n.tables(tab, o.Version)
	n.gossip.Send(gossip.ValueMsg{Name: o.Name, Rev: tab.Rev, Raw: o.Value})
}

// PublishTable passes on a table that this VM wrote itself, or read.
func (n *Syncer) PublishTable(tab table.Table) {
	raw, err := tab.Encode()
	if err != nil {
		n.Log.Error("ownership table", "service", tab.Service, "err", err)
		return
	}
	n.gossip.Send(gossip.ValueMsg{Name: tablePrefix + string(tab.Service), Rev: tab.Rev, Raw: raw})
}

// Notify lets VMs hear of a revision of a table as soon as this VM holds it. The
// others hear of it by the trees.
func (n *Syncer) Notify(svc ident.Service, rev ident.Revision, to []ident.VM) {
	n.gossip.Send(gossip.NotifyMsg{Name: tablePrefix + string(svc), Rev: rev, To: to})
}

// decode reads a table and checks that it stands under its own name: a table in
// another's place would send a service's requests to another's servers.
func decode(name string, raw []byte) (table.Table, error) {
	tab, err := table.Decode(raw)
	if err == nil && tablePrefix+string(tab.Service) != name {
		err = kinds.New(kinds.Malformed, "a table of "+string(tab.Service)+" under the name "+name)
	}
	return tab, err
}

// follower watches the store while it is switched on.
type follower struct {
	n *Syncer

	mu   sync.Mutex
	on   *group.Group
	shut bool
}

// set switches watching on or off. It does not wait.
func (f *follower) set(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shut || on == (f.on != nil) {
		return
	}
	if !on {
		old := f.on
		f.on = nil
		f.n.effect.Go(func(context.Context) error { return old.Close() })
		return
	}
	f.on = &group.Group{}
	f.on.Go(func(ctx context.Context) error { return f.n.watch(ctx, revs.Current, f.n.onRules) })
	f.on.Go(func(ctx context.Context) error { return f.n.watch(ctx, tablePrefix, f.n.onTable) })
}

// Close switches watching off for good and waits.
func (f *follower) Close() error {
	f.mu.Lock()
	old := f.on
	f.on, f.shut = nil, true
	f.mu.Unlock()
	if old == nil {
		return nil
	}
	return old.Close()
}

// watch follows the objects under a prefix through outages of the store.
func (n *Syncer) watch(ctx context.Context, prefix string, news func(object.Object)) error {
	var at object.Cursor
	listed, pause := false, firstPause
	for ctx.Err() == nil {
		var err error
		if listed {
			at, err = n.follow(ctx, prefix, at, news)
		} else {
			at, err = n.list(ctx, prefix, news)
		}
		switch {
		case err == nil:
			listed, pause = true, firstPause
			continue
		case kinds.Of(err) == kinds.NotFound:
			listed = false // the cursor is too old
		}
		group.Sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
	return nil
}

func (n *Syncer) list(ctx context.Context, prefix string, news func(object.Object)) (object.Cursor, error) {
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	all, at, err := n.Store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, o := range all {
		news(o)
	}
	return at, nil
}

func (n *Syncer) follow(ctx context.Context, prefix string, at object.Cursor, news func(object.Object)) (object.Cursor, error) {
	changes, next, err := n.Store.Watch(ctx, prefix, at)
	if err != nil {
		return at, err
	}
	for _, c := range changes {
		if c.Version != 0 {
			news(c.Object)
		}
	}
	return next, nil
}
