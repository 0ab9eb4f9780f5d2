package leases

import (
	"context"
	"slices"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Pauses between attempts at the store that failed.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 2 * time.Second
)

// book is what this VM knows of one service's table.
type book struct {
	svc    *state.Service
	writer *loop.Loop // commit.go

	mu  sync.Mutex
	rev ident.Revision
	ver object.Version
}

// newer notes a table and reports whether it is news.
func (b *book) newer(rev ident.Revision, ver object.Version) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rev < b.rev || rev == b.rev && (ver == 0 || ver == b.ver) {
		return false
	}
	b.rev, b.ver = rev, ver
	return true
}

// publish puts a table in place for the request path and tells the seats of its
// service. A zero version means that a peer sent it.
func (k *Manager) publish(svc ident.Service, tab table.Table, ver object.Version) {
	b, ok := k.books[svc]
	if !ok || !b.newer(tab.Rev, ver) {
		return
	}
	b.svc.SetView(table.NewView(tab))
	b.writer.Send(commit.TableMsg{Table: tab, Version: ver})
	if told := k.told.Load(); told != nil && ver != 0 {
		told.Newer(tab)
	}
	for name, c := range k.seats {
		if name.svc == svc {
			c.loop.Send(lessor.TableMsg{Table: tab, Version: ver})
		}
	}
}

// TableHooks are told of tables that this VM wrote or read, for the other VMs.
type TableHooks struct {
	// Newer takes each newer one.
	Newer func(table.Table)
	// Moved names the VMs that wait for a revision of a service's: they hold
	// the seats of the servers that were given keys, which nobody serves until
	// they hear of it.
	Moved func(svc ident.Service, rev ident.Revision, to []ident.VM)
	// Standby takes the hints of this VM's own seats.
	Standby func(Standby)
}

// OnTable says who is told.
func (k *Manager) OnTable(t TableHooks) { k.told.Store(&t) }

// tellNext lets the holders of the next owners' seats hear of a move at once.
func (k *Manager) tellNext(svc ident.Service, rev ident.Revision, moves []table.Move) {
	told := k.told.Load()
	if told == nil {
		return
	}
	var to []ident.VM
	for _, m := range moves {
		if vm := k.Pair(svc, m.To).Leader; vm != "" && vm != k.VM && !slices.Contains(to, vm) {
			to = append(to, vm)
		}
	}
	if len(to) > 0 {
		told.Moved(svc, rev, to)
	}
}

// Table takes a table that a watch or a peer brought; the version is that of
// its object, zero when a peer sent it.
func (k *Manager) Table(tab table.Table, ver object.Version) { k.publish(tab.Service, tab, ver) }

// seen takes a table that was read from the store.
func (k *Manager) seen(o object.Object) (table.Table, error) {
	tab, err := table.Decode(o.Value)
	if err != nil {
		return tab, err
	}
	k.publish(tab.Service, tab, o.Version)
	return tab, nil
}

// bootstrap makes sure that the service has a table, and that every server of
// the settings has a row in it.
func (k *Manager) bootstrap(ctx context.Context, svc ident.Service, b *book) error {
	for pause := firstPause; ctx.Err() == nil; pause = min(2*pause, lastPause) {
		done, err := k.complete(ctx, svc, b)
		if done {
			return nil
		}
		if err != nil && kinds.Of(err) != kinds.Conflict {
			k.Log.Debug("bootstrap of a table", "service", svc, "err", err)
		}
		group.Sleep(ctx, pause)
	}
	return nil
}

func (k *Manager) complete(ctx context.Context, svc ident.Service, b *book) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*k.Times.StoreTimeout)
	defer cancel()
	o, err := k.Store.Get(ctx, tableObject(svc))
	if kinds.Of(err) == kinds.NotFound {
		tab, err := FirstTable(b.svc)
		if err != nil {
			return false, err
		}
		return k.offer(ctx, svc, tab, 0)
	}
	if err != nil {
		return false, err
	}
	tab, err := k.seen(o)
	if err != nil {
		return false, err
	}
	next, changed := join(tab, b.svc)
	if !changed {
		return true, nil
	}
	return k.offer(ctx, svc, next, o.Version)
}

func (k *Manager) offer(ctx context.Context, svc ident.Service, tab table.Table, old object.Version) (bool, error) {
	raw, err := tab.Encode()
	if err != nil {
		return false, err
	}
	v, err := k.Store.Put(ctx, tableObject(svc), raw, old)
	if err != nil {
		return false, err
	}
	k.publish(svc, tab, v)
	return true, nil
}

// FirstTable is a service's first table: equal shares, in turn, so that
// neighbouring slices lie on different servers.
func FirstTable(svc *state.Service) (table.Table, error) {
	names := make([]ident.Server, len(svc.Servers))
	for i, s := range svc.Servers {
		names[i] = s.Name
	}
	tab, err := table.New(svc.Name, svc.Slices, names...)
	if err != nil || len(names) == 0 {
		return tab, err
	}
	moves := make([]table.Move, svc.Slices)
	for x := range moves {
		moves[x] = table.Move{Slice: ident.Slice(x), To: names[x%len(names)]}
	}
	return tab.WithAssigned(moves...)
}

// join adds the servers of the settings that the table does not know.
func join(tab table.Table, svc *state.Service) (table.Table, bool) {
	changed := false
	for _, s := range svc.Servers {
		if _, known := tab.Row(s.Name); known {
			continue
		}
		if next, err := tab.WithServer(s.Name); err == nil {
			tab, changed = next, true
		}
	}
	return tab, changed
}
