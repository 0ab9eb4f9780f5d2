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

// Delays between attempts after a store call failed, doubled each time.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// tableState is what this VM knows of one service's table.
type tableState struct {
	svc    *state.Service
	writer *loop.Loop // see startWriter

	mu  sync.Mutex
	rev ident.Revision
	ver object.Version
}

// advance stores a table's revision and version and reports whether they are newer
// than those stored before.
func (t *tableState) advance(rev ident.Revision, ver object.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rev < t.rev || rev == t.rev && (ver == 0 || ver == t.ver) {
		return false
	}
	t.rev, t.ver = rev, ver
	return true
}

// publish makes a table available to the request path and passes it to the lessors
// of its service. A zero version means that a peer sent it.
func (mgr *Manager) publish(svc ident.Service, tab table.Table, ver object.Version) {
	ts, ok := mgr.tables[svc]
	if !ok || !ts.advance(tab.Rev, ver) {
		return
	}
	ts.svc.SetView(table.NewView(tab))
	ts.writer.Send(commit.TableMsg{Table: tab, Version: ver})
	if hooks := mgr.hooks.Load(); hooks != nil && ver != 0 {
		hooks.Newer(tab)
	}
	for name, h := range mgr.lessors {
		if name.svc == svc {
			h.loop.Send(lessor.TableMsg{Table: tab, Version: ver})
		}
	}
}

// TableHooks are called with tables that this VM wrote or read, for the other VMs.
type TableHooks struct {
	// Newer is called with each newer table.
	Newer func(table.Table)
	// Moved is called with the VMs that need a revision of a service's table
	// first: they hold the lessors of the servers that were given keys, and no
	// server serves these keys until the lessors know the revision.
	Moved func(svc ident.Service, rev ident.Revision, to []ident.VM)
	// Standby is called with the standby hints of this VM's own lessors.
	Standby func(Standby)
}

// OnTable sets the hooks.
func (mgr *Manager) OnTable(hooks TableHooks) { mgr.hooks.Store(&hooks) }

// notifyPreferred tells the preferred holders of the new owners' lessors of a move at
// once.
func (mgr *Manager) notifyPreferred(svc ident.Service, rev ident.Revision, moves []table.Move) {
	hooks := mgr.hooks.Load()
	if hooks == nil {
		return
	}
	var to []ident.VM
	for _, m := range moves {
		if vm := mgr.Pair(svc, m.To).Preferred; vm != "" && vm != mgr.VM && !slices.Contains(to, vm) {
			to = append(to, vm)
		}
	}
	if len(to) > 0 {
		hooks.Moved(svc, rev, to)
	}
}

// ApplyTable takes a table from a watch or a peer; ver is the version of its object,
// zero when a peer sent it.
func (mgr *Manager) ApplyTable(tab table.Table, ver object.Version) {
	mgr.publish(tab.Service, tab, ver)
}

// publishRead decodes and publishes a table that was read from the store.
func (mgr *Manager) publishRead(o object.Object) (table.Table, error) {
	tab, err := table.Decode(o.Value)
	if err != nil {
		return tab, err
	}
	mgr.publish(tab.Service, tab, o.Version)
	return tab, nil
}

// bootstrap makes sure that the service has a table with a row for every server of
// the settings.
func (mgr *Manager) bootstrap(ctx context.Context, svc ident.Service, ts *tableState) error {
	for pause := minRetryDelay; ctx.Err() == nil; pause = min(2*pause, maxRetryDelay) {
		done, err := mgr.completeTable(ctx, svc, ts)
		if done {
			return nil
		}
		if err != nil && kinds.Of(err) != kinds.Conflict {
			mgr.Log.Debug("cannot bootstrap ownership table", "service", svc, "err", err)
		}
		group.Sleep(ctx, pause)
	}
	return nil
}

// completeTable makes one attempt at bootstrap and reports whether the table is
// complete.
func (mgr *Manager) completeTable(ctx context.Context, svc ident.Service, ts *tableState) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*mgr.Times.StoreTimeout)
	defer cancel()
	o, err := mgr.Store.Get(ctx, tableObject(svc))
	if kinds.Of(err) == kinds.NotFound {
		tab, err := FirstTable(ts.svc)
		if err != nil {
			return false, err
		}
		return mgr.putTable(ctx, svc, tab, 0)
	}
	if err != nil {
		return false, err
	}
	tab, err := mgr.publishRead(o)
	if err != nil {
		return false, err
	}
	next, changed := addServers(tab, ts.svc)
	if !changed {
		return true, nil
	}
	return mgr.putTable(ctx, svc, next, o.Version)
}

func (mgr *Manager) putTable(ctx context.Context, svc ident.Service, tab table.Table, old object.Version) (bool, error) {
	raw, err := tab.Encode()
	if err != nil {
		return false, err
	}
	v, err := mgr.Store.Put(ctx, tableObject(svc), raw, old)
	if err != nil {
		return false, err
	}
	mgr.publish(svc, tab, v)
	return true, nil
}

// FirstTable returns a service's first table: the slices are given to the servers in
// turn, so that shares are equal and neighbouring slices are on different servers.
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

// addServers adds the servers of the settings that the table does not contain.
func addServers(tab table.Table, svc *state.Service) (table.Table, bool) {
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
