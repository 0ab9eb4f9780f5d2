// Package monit monitors entry VMs and backend servers, and passes their state to
// the gates, the lessors and the other VMs. The state is decided by node/detect, of
// which it runs one detector for entry VMs and one for backend servers. This package
// supplies their observations: the platform's list, probes, messages from peers, and
// the results of callers' requests.
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

// Periods and timeouts of monitoring.
const (
	tickPeriod       = 100 * time.Millisecond // of the detectors
	callReportPeriod = 250 * time.Millisecond // of reporting the results of callers' requests
	publishPeriod    = time.Second            // of passing loads to peers and suspicions to lessors
	probeTimeout     = 500 * time.Millisecond // of one probe of a backend server or an entry VM
)

// Sender sends small messages to other entry VMs; a message may be lost.
type Sender interface {
	Cast(to ident.VM, body []byte)
}

// Options configure a Monitor; all fields but Log are required.
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
	// OnListChange is called with each changed list of VMs and the number of live ones.
	OnListChange func(list []vmlist.VM, live int)
	Timeout      time.Duration // of reading the list
	Log          *slog.Logger
}

// Monitor watches entry VMs and backend servers. Create one with New, then Start it.
type Monitor struct {
	Options
	group   group.Group // periodic work
	effects group.Group // calls that commands started
	vms     *loop.Loop  // detector for entry VMs
	servers *loop.Loop  // detector for backend servers
	entries map[ident.Server]serverEntry

	listMu sync.Mutex // held while the list is read

	mu        sync.Mutex
	list      []vmlist.VM
	frozen    map[ident.VM]bool
	lastHeard map[ident.VM]time.Time
	view      ownView   // as published to the other VMs
	ids       memberIDs // of the members in other VMs' views
	loads     map[ident.Server]gossip.LoadRow
	states    map[ident.Server]serverState
}

// New returns a Monitor that does nothing before Start.
func New(o Options) *Monitor {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	m := &Monitor{
		Options:   o,
		entries:   map[ident.Server]serverEntry{},
		frozen:    map[ident.VM]bool{},
		lastHeard: map[ident.VM]time.Time{},
		loads:     map[ident.Server]gossip.LoadRow{},
		states:    map[ident.Server]serverState{},
	}
	for _, svc := range o.State.Services() {
		for _, srv := range svc.Servers {
			m.entries[srv.Name] = serverEntry{svc, srv}
			m.ids.addServer(srv.Name)
		}
	}
	return m
}

// Start begins monitoring.
func (m *Monitor) Start() {
	defer m.ReadList() // the Syncer may have asked before OnList was set
	m.vms = loop.New(detect.New[ident.VM](detect.Config{}), loop.RunnerFunc(m.runVMs))
	m.servers = loop.New(detect.New[ident.Server](detect.Config{}), loop.RunnerFunc(m.runServers))
	for _, task := range []struct {
		period time.Duration
		do     func(context.Context)
	}{
		{tickPeriod, m.tick},
		{callReportPeriod, m.reportCalls},
		{publishPeriod, m.publishLoads},
		{publishPeriod, m.repeatSuspects},
	} {
		m.group.Go(func(ctx context.Context) error { return every(ctx, task.period, task.do) })
	}
}

// Close stops monitoring and waits.
func (m *Monitor) Close() error {
	err := m.group.Close()
	for _, l := range []*loop.Loop{m.vms, m.servers} {
		if l == nil {
			continue
		}
		if e := l.Close(); err == nil {
			err = e
		}
	}
	if e := m.effects.Close(); err == nil {
		err = e
	}
	return err
}

func (m *Monitor) tick(context.Context) {
	m.vms.Send(detect.TickMsg{})
	m.servers.Send(detect.TickMsg{})
}

// ReadList reads the platform's list in the background. The Syncer decides when.
func (m *Monitor) ReadList() {
	m.effects.Go(func(ctx context.Context) error {
		m.listMu.Lock()
		defer m.listMu.Unlock()
		m.readList(ctx)
		return nil
	})
}

// readList reads the platform's list. This VM counts itself as live, since it is
// running, even if the list lags behind and omits it; a state that the list gives it
// stands.
func (m *Monitor) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	asked := time.Now()
	list, err := m.VMs.VMs(ctx)
	if err != nil {
		m.Log.Debug("cannot read VM list", "err", err)
		if len(m.currentList()) > 0 {
			return
		}
		list = nil
	} else {
		m.Syncer.ReportListRead(gossip.ListReadMsg{Sum: hashList(list), Asked: asked})
	}
	if !slices.ContainsFunc(list, func(vm vmlist.VM) bool { return vm.ID == m.VM }) {
		list = append(list, vmlist.VM{ID: m.VM, Centre: m.Centre, Addr: m.Addr(), State: vmlist.Live})
	}
	slices.SortFunc(list, byName)
	m.mu.Lock()
	same := slices.Equal(m.list, list)
	m.list = list
	m.ids.setVMs(list)
	m.mu.Unlock()
	m.vms.Send(detect.ListMsg[ident.VM]{Rows: otherVMs(list, m.VM)})
	m.servers.Send(detect.ListMsg[ident.Server]{Rows: m.listServers(list)})
	if !same {
		m.applyList()
	}
}

func byName(a, b vmlist.VM) int { return strings.Compare(string(a.ID), string(b.ID)) }

// hashList returns a non-zero 4-byte hash of a list that does not depend on its
// order, so that VMs can compare their lists.
func hashList(list []vmlist.VM) uint32 {
	list = slices.SortedFunc(slices.Values(list), byName)
	h := xxhash.New()
	for _, vm := range list {
		fmt.Fprintf(h, "%q %q %v %v\n", vm.ID, vm.Centre, vm.Addr, vm.State) // never fails
	}
	return max(1, uint32(h.Sum64()))
}

func (m *Monitor) currentList() []vmlist.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// otherVMs returns the entry VMs of a list without self.
func otherVMs(list []vmlist.VM, self ident.VM) []detect.Listed[ident.VM] {
	var rows []detect.Listed[ident.VM]
	for _, vm := range list {
		if vm.ID != self {
			rows = append(rows, detect.Listed[ident.VM]{ID: vm.ID, Centre: vm.Centre, Addr: vm.Addr, State: vm.State})
		}
	}
	return rows
}

// applyList passes on which VMs are live. A VM that looks frozen keeps taking part in
// gossip, where it may be heard again, but is assigned no lessors.
func (m *Monitor) applyList() {
	m.mu.Lock()
	list := slices.Clone(m.list)
	var candidates []vmlist.VM
	for _, vm := range list {
		if !m.frozen[vm.ID] || vm.State == vmlist.Gone {
			candidates = append(candidates, vm)
		}
	}
	m.mu.Unlock()
	m.servers.Send(probersOf(m.VM, candidates))
	m.vms.Send(detect.ProbersMsg{Self: m.VM, Peers: true})
	index := 0
	var live []gossip.Peer
	for _, vm := range list {
		if vm.State != vmlist.Live {
			continue
		}
		if vm.ID == m.VM {
			index = len(live)
		}
		live = append(live, gossip.Peer{VM: vm.ID, Centre: vm.Centre})
	}
	m.OnListChange(list, len(live))
	m.Leases.SetVMs(candidates)
	m.Syncer.SetPeers(live)
	for _, svc := range m.State.Services() {
		svc.Gate.SetShare(len(live), index)
		for _, srv := range svc.Servers {
			limit, _ := svc.Gate.Conns(srv.Name)
			m.Relay.Limit(srv.Data, limit)
		}
	}
}

// probersOf returns the VMs that share the probes of backend servers.
func probersOf(self ident.VM, list []vmlist.VM) detect.ProbersMsg {
	msg := detect.ProbersMsg{Self: self}
	for _, vm := range list {
		if vm.State == vmlist.Live {
			msg.VMs = append(msg.VMs, detect.Prober{VM: vm.ID, Centre: vm.Centre})
		}
	}
	return msg
}

// every calls do at once and then once per period, until ctx ends.
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
