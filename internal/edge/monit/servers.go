package monit

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// serverEntry is a backend server and its service.
type serverEntry struct {
	svc *state.Service
	srv config.Server
}

// serverState is what is known about a backend server.
type serverState struct {
	state chart.State
	cold  bool
}

// excluded reports whether the server gets no new work. A joining server does get
// work: a VM that has just started considers every server as joining, and the gate
// increases the load of a server that recovers from a freeze in steps.
func (s serverState) excluded() bool {
	return s.state == detect.Draining || s.state == detect.Frozen || s.state == detect.Gone
}

// listServers lists the backend servers of the settings, with the state that the
// platform's list gives to those that it shows under the same name.
func (m *Monitor) listServers(list []vmlist.VM) []detect.Listed[ident.Server] {
	listed := map[ident.Server]vmlist.State{}
	for _, vm := range list {
		listed[ident.Server(vm.ID)] = vm.State
	}
	rows := make([]detect.Listed[ident.Server], 0, len(m.entries))
	for name, e := range m.entries {
		row := detect.Listed[ident.Server]{
			ID: name, Group: e.svc.Name, Centre: e.srv.Centre, Addr: e.srv.Control, State: vmlist.Live,
		}
		if s, ok := listed[name]; ok {
			row.State = s
		}
		rows = append(rows, row)
	}
	return rows
}

// runServers carries out the commands of the detector for backend servers.
func (m *Monitor) runServers(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case detect.ProbeCmd[ident.Server]:
		m.effects.Go(func(ctx context.Context) error {
			send(m.probe(ctx, cmd.ID))
			return nil
		})
	case detect.ViewCmd[ident.Server]:
		m.changeView(func(v *ownView) { v.frozenServers, v.suspectServers = cmd.Frozen, cmd.Suspect })
	case detect.ChangeCmd[ident.Server]:
		m.Log.Info("backend server changed state", "id", cmd.ID, "from", cmd.From, "to", cmd.To, "why", cmd.Reason)
		m.effects.Go(func(context.Context) error {
			m.onServerChange(cmd.ID, cmd.To)
			return nil
		})
	}
}

// probe asks a server for its status.
func (m *Monitor) probe(ctx context.Context, id ident.Server) loop.Msg {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := time.Now()
	status, err := m.Control.Status(ctx, m.entries[id].srv.Control)
	if err != nil {
		return detect.ProbeMsg[ident.Server]{ID: id, Failed: true}
	}
	m.onStatus(id, status, time.Since(asked))
	return detect.ProbeMsg[ident.Server]{ID: id, Health: status.Health}
}

// onStatus passes a server's status to the gate and keeps it for the peers. The answer
// took at most the duration took to arrive, which adds to the age of the status.
func (m *Monitor) onStatus(id ident.Server, status server.Status, took time.Duration) {
	m.setCold(id, status.Health)
	age := status.Age + took
	m.entries[id].svc.Gate.Report(id, status.Busy+status.Queue, age)
	m.mu.Lock()
	m.loads[id] = gossip.LoadRow{Server: id, Slots: status.Slots, Busy: status.Busy, Queue: status.Queue, Age: age}
	m.mu.Unlock()
}

// setCold notes whether a server reports itself cold, which the detector does not track.
func (m *Monitor) setCold(id ident.Server, h server.Health) {
	m.mu.Lock()
	s := m.states[id]
	changed := s.cold != h.Cold
	s.cold = h.Cold
	m.states[id] = s
	m.mu.Unlock()
	if changed {
		m.updateGate(m.entries[id].svc)
	}
}

// onServerChange passes a server's new state to the lessors and the gate.
func (m *Monitor) onServerChange(id ident.Server, to chart.State) {
	e := m.entries[id]
	m.mu.Lock()
	s := m.states[id]
	was := s.state
	s.state = to
	m.states[id] = s
	m.mu.Unlock()
	m.Leases.SetAlive(id, !s.excluded())
	e.svc.SetUnresponsive(id, to == detect.Frozen || to == detect.Gone)
	if (to == detect.Draining) != (was == detect.Draining) {
		m.Leases.Drain(e.svc.Name, id, to == detect.Draining)
	}
	if to == detect.Gone {
		m.Leases.ServerGone(e.svc.Name, id)
	}
	m.updateGate(e.svc)
}

// updateGate describes a service's servers to its gate. An excluded server of a
// divided service still serves its keys until they have moved.
func (m *Monitor) updateGate(svc *state.Service) {
	m.mu.Lock()
	all := make([]gate.ServerInfo, len(svc.Servers))
	for i, srv := range svc.Servers {
		s := m.states[srv.Name]
		all[i] = gate.ServerInfo{
			Name: srv.Name, Centre: srv.Centre, Slots: srv.Slots, Conns: srv.Conns,
			Cold: s.cold, Drain: s.excluded() && !svc.Divided(),
		}
	}
	m.mu.Unlock()
	svc.Gate.SetServers(all)
}

// reportCalls passes to the detector how many of callers' requests each server answered
// and failed since the last time.
func (m *Monitor) reportCalls(context.Context) {
	for name, e := range m.entries {
		if succeeded, failed := e.svc.TakeAttempts(name); succeeded+failed > 0 {
			m.servers.Send(detect.CallsMsg[ident.Server]{ID: name, Succeeded: succeeded, Failed: failed})
		}
	}
}

// Answered notes that a server answered an order. A status in the answer is as good as
// that of a probe.
func (m *Monitor) Answered(id ident.Server, status *server.Status, took time.Duration) {
	if m.servers == nil {
		return
	}
	if status == nil {
		m.servers.Send(detect.HeartbeatMsg[ident.Server]{ID: id})
		return
	}
	m.onStatus(id, *status, took)
	m.servers.Send(detect.HealthMsg[ident.Server]{ID: id, Health: status.Health})
}

// publishLoads sends peers the loads that this VM read since the last time.
func (m *Monitor) publishLoads(context.Context) {
	var rows []gossip.LoadRow
	m.mu.Lock()
	for name, r := range m.loads {
		rows = append(rows, r)
		delete(m.loads, name)
	}
	m.mu.Unlock()
	m.Syncer.PublishLoads(rows)
}
