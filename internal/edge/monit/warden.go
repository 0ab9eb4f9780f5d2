// Package monit watches who is there, entry VMs and backend servers, and tells
// the gates, the seats and the exchange between VMs. The judgement is
// node/roster's; what is added here are its witnesses: the platform's list,
// probes, what peers send, and what callers received.
package monit

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/edge/syncer"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Periods of looking at the surroundings.
const (
	tickEvery = 100 * time.Millisecond // of the rosters
	callEvery = 250 * time.Millisecond // what callers received
	tellEvery = time.Second            // loads and suspicions, to peers and seats
	probeWait = 500 * time.Millisecond // for one answer of a backend server
)

// Sender carries small messages to other entry VMs, which may be lost.
type Sender interface {
	Cast(to ident.VM, body []byte)
}

// Options are what a warden needs; all but Log are required.
type Options struct {
	VM      ident.VM
	Centre  ident.Centre
	Addr    func() netip.AddrPort // where peers reach this VM
	State   *state.State
	VMs     vmlist.Lister
	Control server.Control
	Leases  *leases.Manager
	Syncer  *syncer.Syncer
	Relay   *relay.Relay
	Peers   Sender
	// Listed is told of each changed list of VMs, with the number of live ones.
	Listed  func(list []vmlist.VM, live int)
	Timeout time.Duration // of reading the list
	Log     *slog.Logger
}

// Monitor watches. Make one with New, then Start it.
type Monitor struct {
	Options
	group   group.Group
	effect  group.Group
	vms     *loop.Loop // roster of entry VMs
	servers *loop.Loop // roster of backend servers
	homes   map[ident.Server]home

	reads sync.Mutex // one reading of the list at a time

	mu     sync.Mutex
	list   []vmlist.VM
	frozen map[ident.VM]bool
	heard  map[ident.VM]time.Time
	holds  holds // what the other VMs are told
	known  known // whom they speak of
	rows   map[ident.Server]gossip.LoadRow
	is     map[ident.Server]serverState
}

// New makes a warden that does nothing yet.
func New(o Options) *Monitor {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	w := &Monitor{
		Options: o,
		homes:   map[ident.Server]home{},
		frozen:  map[ident.VM]bool{},
		heard:   map[ident.VM]time.Time{},
		rows:    map[ident.Server]gossip.LoadRow{},
		is:      map[ident.Server]serverState{},
	}
	for _, svc := range o.State.Services() {
		for _, srv := range svc.Servers {
			w.homes[srv.Name] = home{svc, srv}
			w.known.addServer(srv.Name)
		}
	}
	return w
}

// Start begins to watch.
func (w *Monitor) Start() {
	defer w.ReadList() // the exchange asked before there was anybody to read
	w.vms = loop.New(detect.New[ident.VM](detect.Config{}), loop.RunnerFunc(w.runVMs))
	w.servers = loop.New(detect.New[ident.Server](detect.Config{}), loop.RunnerFunc(w.runServers))
	for _, duty := range []struct {
		period time.Duration
		do     func(context.Context)
	}{
		{tickEvery, w.tick},
		{callEvery, w.tellCalls},
		{tellEvery, w.tellLoads},
		{tellEvery, w.tellSuspects},
	} {
		w.group.Go(func(ctx context.Context) error { return every(ctx, duty.period, duty.do) })
	}
}

// Close ends watching and waits.
func (w *Monitor) Close() error {
	err := w.group.Close()
	for _, l := range []*loop.Loop{w.vms, w.servers} {
		if l == nil {
			continue
		}
		if e := l.Close(); err == nil {
			err = e
		}
	}
	if e := w.effect.Close(); err == nil {
		err = e
	}
	return err
}

func (w *Monitor) tick(context.Context) {
	w.vms.Send(detect.TickMsg{})
	w.servers.Send(detect.TickMsg{})
}

// ReadList reads the platform's list, without waiting for it. The exchange says
// when.
func (w *Monitor) ReadList() {
	w.effect.Go(func(ctx context.Context) error {
		w.reads.Lock()
		defer w.reads.Unlock()
		w.readList(ctx)
		return nil
	})
}

// readList reads the platform's list. This VM counts itself as live whatever a
// lagging list says, unless it is said to leave: it is what runs this line.
func (w *Monitor) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	asked := time.Now()
	list, err := w.VMs.VMs(ctx)
	if err != nil {
		w.Log.Debug("VM list", "err", err)
		if len(w.listed()) > 0 {
			return
		}
		list = nil
	} else {
		w.Syncer.Listed(gossip.ListReadMsg{Sum: sumOf(list), Asked: asked})
	}
	if !slices.ContainsFunc(list, func(vm vmlist.VM) bool { return vm.ID == w.VM }) {
		list = append(list, vmlist.VM{ID: w.VM, Centre: w.Centre, Addr: w.Addr(), State: vmlist.Live})
	}
	slices.SortFunc(list, byName)
	w.mu.Lock()
	same := slices.Equal(w.list, list)
	w.list = list
	w.known.setVMs(list)
	w.mu.Unlock()
	w.vms.Send(detect.ListMsg[ident.VM]{Rows: rowsOf(list, w.VM)})
	w.servers.Send(detect.ListMsg[ident.Server]{Rows: w.serverRows(list)})
	if !same {
		w.changed()
	}
}

func byName(a, b vmlist.VM) int { return strings.Compare(string(a.ID), string(b.ID)) }

// sumOf names a list by four bytes, the same on all VMs whatever its order.
func sumOf(list []vmlist.VM) uint32 {
	list = slices.SortedFunc(slices.Values(list), byName)
	h := xxhash.New()
	for _, vm := range list {
		fmt.Fprintf(h, "%q %q %v %v\n", vm.ID, vm.Centre, vm.Addr, vm.State) // never fails
	}
	return max(1, uint32(h.Sum64()))
}

func (w *Monitor) listed() []vmlist.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

// rowsOf are the other entry VMs of a list.
func rowsOf(list []vmlist.VM, self ident.VM) []detect.Listed[ident.VM] {
	var rows []detect.Listed[ident.VM]
	for _, vm := range list {
		if vm.ID != self {
			rows = append(rows, detect.Listed[ident.VM]{ID: vm.ID, Centre: vm.Centre, Addr: vm.Addr, State: vm.State})
		}
	}
	return rows
}

// changed passes on who is live. A VM that looks frozen keeps its place in the
// exchange, where it may be heard again, but is given no seats.
func (w *Monitor) changed() {
	w.mu.Lock()
	list := slices.Clone(w.list)
	var seats []vmlist.VM
	for _, vm := range list {
		if !w.frozen[vm.ID] || vm.State == vmlist.Gone {
			seats = append(seats, vm)
		}
	}
	w.mu.Unlock()
	w.servers.Send(shardOf(w.VM, seats))
	w.vms.Send(detect.ProbersMsg{Self: w.VM, Peers: true})
	index := 0
	var live []gossip.Peer
	for _, vm := range list {
		if vm.State != vmlist.Live {
			continue
		}
		if vm.ID == w.VM {
			index = len(live)
		}
		live = append(live, gossip.Peer{VM: vm.ID, Centre: vm.Centre})
	}
	w.Listed(list, len(live))
	w.Leases.SetVMs(seats)
	w.Syncer.SetPeers(live)
	for _, svc := range w.State.Services() {
		svc.Gate.SetShare(len(live), index)
		for _, srv := range svc.Servers {
			most, _ := svc.Gate.Conns(srv.Name)
			w.Relay.Limit(srv.Data, most)
		}
	}
}

// shardOf are the VMs that share the probes.
func shardOf(self ident.VM, list []vmlist.VM) detect.ProbersMsg {
	m := detect.ProbersMsg{Self: self}
	for _, vm := range list {
		if vm.State == vmlist.Live {
			m.VMs = append(m.VMs, detect.Prober{VM: vm.ID, Centre: vm.Centre})
		}
	}
	return m
}

// every calls do now and then at a period, until ctx ends.
func every(ctx context.Context, period time.Duration, do func(context.Context)) error {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		do(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}
