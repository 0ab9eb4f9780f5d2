package daemon

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/keeper"
	"hawthornfield.org/hawthornfield/internal/edge/news"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Periods of looking at the surroundings. A server that begins to leave must
// get no new work within 3 s, so its word is asked for once a second.
const (
	vmsEvery    = time.Second
	serverEvery = time.Second
	probeWait   = 500 * time.Millisecond
	deadAfter   = 3 // failed probes in a row
)

// warden watches who is there: entry VMs and backend servers. It passes on what
// it sees to the seats, the gates and the rules.
type warden struct {
	in    around
	cfg   config.Config
	group group.Group

	mu      sync.Mutex
	list    []vmlist.VM
	servers map[ident.Server]server.Health
	rows    map[ident.Server]gossip.Row // read since the last tellLoads
}

// around are the parts that the warden looks at and talks to.
type around struct {
	fx.In
	State   *state.State
	VMs     vmlist.Lister
	Control server.Control
	Keeper  *keeper.Keeper
	News    *news.News
	Relay   *relay.Relay
	Peers   *peers
	Journal *ledger.Journal
	Log     *slog.Logger
}

func newWarden(lc fx.Lifecycle, cfg config.Config, a around) *warden {
	w := &warden{in: a, cfg: cfg, servers: map[ident.Server]server.Health{}, rows: map[ident.Server]gossip.Row{}}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			w.start()
			return nil
		},
		OnStop: func(context.Context) error { return w.group.Close() },
	})
	return w
}

func (w *warden) start() {
	w.group.Go(func(ctx context.Context) error { return every(ctx, vmsEvery, w.lookVMs) })
	w.group.Go(func(ctx context.Context) error { return every(ctx, serverEvery, w.tellLoads) })
	for _, svc := range w.in.State.Services() {
		for _, srv := range svc.Servers {
			p := &probe{w: w, svc: svc, srv: srv}
			w.group.Go(func(ctx context.Context) error { return every(ctx, serverEvery, p.look) })
		}
	}
}

// every calls look now and then at a period, until ctx ends.
func every(ctx context.Context, period time.Duration, look func(context.Context)) error {
	for ctx.Err() == nil {
		look(ctx)
		sleep(ctx, period)
	}
	return nil
}

// lookVMs reads the platform's list. This VM counts itself as live whatever a
// lagging list says: it is what runs this line.
func (w *warden) lookVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Platform.Timeout.Duration)
	defer cancel()
	list, err := w.in.VMs.VMs(ctx)
	if err != nil {
		w.in.Log.Debug("VM list", "err", err)
		if w.listed() != nil {
			return
		}
		list = nil
	}
	if !slices.ContainsFunc(list, func(vm vmlist.VM) bool { return vm.ID == w.cfg.VM }) {
		list = append(list, vmlist.VM{ID: w.cfg.VM, Centre: w.cfg.Centre, Addr: w.in.Peers.addr(), State: vmlist.Live})
	}
	slices.SortFunc(list, func(a, b vmlist.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	w.mu.Lock()
	same := slices.Equal(w.list, list)
	w.list = list
	w.mu.Unlock()
	if !same {
		w.changed(list)
	}
}

func (w *warden) listed() []vmlist.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

func (w *warden) changed(list []vmlist.VM) {
	w.in.Peers.set(list)
	w.in.Keeper.SetVMs(list)
	n, index := 0, 0
	var live []gossip.Peer
	for _, vm := range list {
		if vm.State != vmlist.Live {
			continue
		}
		live = append(live, gossip.Peer{VM: vm.ID, Centre: vm.Centre})
		if vm.ID == w.cfg.VM {
			index = n
		}
		n++
	}
	w.in.Journal.Fleet(n)
	for _, svc := range w.in.State.Services() {
		svc.Gate.SetShare(n, index)
	}
	w.in.News.SetPeers(live)
	w.limitConns()
}

// limitConns hands the gates' connection shares to the relay.
func (w *warden) limitConns() {
	for _, svc := range w.in.State.Services() {
		for _, srv := range svc.Servers {
			most, _ := svc.Gate.Conns(srv.Name)
			w.in.Relay.Limit(srv.Data, most)
		}
	}
}

// probe looks at one backend server.
type probe struct {
	w      *warden
	svc    *state.Service
	srv    config.Server
	failed int
	drain  bool
}

func (p *probe) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	asked := time.Now()
	h, err := p.w.in.Control.Health(ctx, p.srv.Control)
	if err != nil {
		p.failed++
		if p.failed >= deadAfter {
			p.w.in.Keeper.SetAlive(p.srv.Name, false)
			p.svc.SetSilent(p.srv.Name, true)
		}
		return
	}
	p.failed = 0
	p.svc.SetSilent(p.srv.Name, false)
	p.w.in.Keeper.SetAlive(p.srv.Name, !h.Drain && h.Ready)
	if h.Drain != p.drain {
		p.drain = h.Drain
		p.w.in.Keeper.Drain(p.svc.Name, p.srv.Name, h.Drain)
	}
	p.w.note(p.svc, p.srv.Name, h)
	l, err := p.w.in.Control.Load(ctx, p.srv.Control)
	if err == nil {
		age := l.Age + time.Since(asked)
		p.svc.Gate.Report(p.srv.Name, l.Busy+l.Queue, age)
		p.w.loaded(gossip.Row{Server: p.srv.Name, Slots: l.Slots, Busy: l.Busy, Queue: l.Queue, Age: age})
	}
}

func (w *warden) loaded(r gossip.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows[r.Server] = r
}

// tellLoads passes on to peers what this VM read of the servers whose seats it
// holds.
func (w *warden) tellLoads(context.Context) {
	var rows []gossip.Row
	w.mu.Lock()
	for name := range w.in.Keeper.Held() {
		if r, ok := w.rows[name]; ok {
			rows = append(rows, r)
			delete(w.rows, name)
		}
	}
	w.mu.Unlock()
	w.in.News.Report(rows)
}

// note passes a changed state of a server on to its gate.
func (w *warden) note(svc *state.Service, srv ident.Server, h server.Health) {
	w.mu.Lock()
	changed := w.servers[srv] != h
	w.servers[srv] = h
	known := maps.Clone(w.servers)
	w.mu.Unlock()
	if changed {
		svc.Gate.SetServers(infos(svc, known))
	}
}

// infos describes a service's servers to its gate. A server of a divided
// service that drains still serves its keys until they have moved.
func infos(svc *state.Service, known map[ident.Server]server.Health) []gate.ServerInfo {
	all := make([]gate.ServerInfo, len(svc.Servers))
	for i, s := range svc.Servers {
		h := known[s.Name]
		all[i] = gate.ServerInfo{
			Name: s.Name, Centre: s.Centre, Slots: s.Slots, Conns: s.Conns,
			Cold: h.Cold, Drain: h.Drain && !svc.Divided,
		}
	}
	return all
}
