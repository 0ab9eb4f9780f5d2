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

// home is a backend server and its service.
type home struct {
	svc *state.Service
	srv config.Server
}

// serverState is what is known of a backend server.
type serverState struct {
	is   chart.State
	cold bool
}

// out reports whether the server gets no new work. One that is joining does: a
// VM that has just started knows every server as joining, and one that comes
// back after a freeze is given its load in steps by the gate.
func (s serverState) out() bool {
	return s.is == detect.Draining || s.is == detect.Frozen || s.is == detect.Gone
}

// serverRows lists the backend servers of the settings. The platform's list
// counts for those that it shows under the same name.
func (w *Monitor) serverRows(list []vmlist.VM) []detect.Listed[ident.Server] {
	said := map[ident.Server]vmlist.State{}
	for _, vm := range list {
		said[ident.Server(vm.ID)] = vm.State
	}
	rows := make([]detect.Listed[ident.Server], 0, len(w.homes))
	for name, h := range w.homes {
		row := detect.Listed[ident.Server]{
			ID: name, Group: h.svc.Name, Centre: h.srv.Centre, Addr: h.srv.Control, State: vmlist.Live,
		}
		if s, ok := said[name]; ok {
			row.State = s
		}
		rows = append(rows, row)
	}
	return rows
}

// runServers carries out what the roster of backend servers asks for.
func (w *Monitor) runServers(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case detect.ProbeCmd[ident.Server]:
		w.effect.Go(func(ctx context.Context) error {
			send(w.probe(ctx, cmd.ID))
			return nil
		})
	case detect.ViewCmd[ident.Server]:
		w.say(func(s *holds) { s.servers, s.odd = cmd.Frozen, cmd.Suspect })
	case detect.ChangeCmd[ident.Server]:
		w.Log.Info("backend server", "id", cmd.ID, "from", cmd.From, "to", cmd.To, "why", cmd.Reason)
		w.effect.Go(func(context.Context) error {
			w.serverChanged(cmd.ID, cmd.To)
			return nil
		})
	}
}

// probe asks a server for its own word.
func (w *Monitor) probe(ctx context.Context, id ident.Server) loop.Msg {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	asked := time.Now()
	word, err := w.Control.Status(ctx, w.homes[id].srv.Control)
	if err != nil {
		return detect.ProbeMsg[ident.Server]{ID: id, Failed: true}
	}
	w.noteWord(id, word, time.Since(asked))
	return detect.ProbeMsg[ident.Server]{ID: id, Health: word.Health}
}

// noteWord tells gates and peers of a server's own word, which was at most took
// on its way.
func (w *Monitor) noteWord(id ident.Server, word server.Status, took time.Duration) {
	w.warmth(id, word.Health)
	age := word.Age + took
	w.homes[id].svc.Gate.Report(id, word.Busy+word.Queue, age)
	w.mu.Lock()
	w.rows[id] = gossip.LoadRow{Server: id, Slots: word.Slots, Busy: word.Busy, Queue: word.Queue, Age: age}
	w.mu.Unlock()
}

// warmth notes a server's word on being cold, which is no state of the roster.
func (w *Monitor) warmth(id ident.Server, h server.Health) {
	w.mu.Lock()
	s := w.is[id]
	changed := s.cold != h.Cold
	s.cold = h.Cold
	w.is[id] = s
	w.mu.Unlock()
	if changed {
		w.tellGate(w.homes[id].svc)
	}
}

func (w *Monitor) serverChanged(id ident.Server, to chart.State) {
	h := w.homes[id]
	w.mu.Lock()
	s := w.is[id]
	was := s.is
	s.is = to
	w.is[id] = s
	w.mu.Unlock()
	w.Leases.SetAlive(id, !s.out())
	h.svc.SetUnresponsive(id, to == detect.Frozen || to == detect.Gone)
	if (to == detect.Draining) != (was == detect.Draining) {
		w.Leases.Drain(h.svc.Name, id, to == detect.Draining)
	}
	if to == detect.Gone {
		w.Leases.ServerGone(h.svc.Name, id)
	}
	w.tellGate(h.svc)
}

// tellGate describes a service's servers to its gate. A server of a service
// divided by key that is going out still serves its keys until they have moved.
func (w *Monitor) tellGate(svc *state.Service) {
	w.mu.Lock()
	all := make([]gate.ServerInfo, len(svc.Servers))
	for i, srv := range svc.Servers {
		s := w.is[srv.Name]
		all[i] = gate.ServerInfo{
			Name: srv.Name, Centre: srv.Centre, Slots: srv.Slots, Conns: srv.Conns,
			Cold: s.cold, Drain: s.out() && !svc.Divided(),
		}
	}
	w.mu.Unlock()
	svc.Gate.SetServers(all)
}

// tellCalls passes on what callers received from each server since the last
// time.
func (w *Monitor) tellCalls(context.Context) {
	for name, h := range w.homes {
		if good, bad := h.svc.TakeAttempts(name); good+bad > 0 {
			w.servers.Send(detect.CallsMsg[ident.Server]{ID: name, Succeeded: good, Failed: bad})
		}
	}
}

// Answered notes that a server answered an order, and its own word if the answer
// had one, which is as good as a probe's.
func (w *Monitor) Answered(id ident.Server, word *server.Status, took time.Duration) {
	if w.servers == nil {
		return
	}
	if word == nil {
		w.servers.Send(detect.HeartbeatMsg[ident.Server]{ID: id})
		return
	}
	w.noteWord(id, *word, took)
	w.servers.Send(detect.HealthMsg[ident.Server]{ID: id, Health: word.Health})
}

// tellLoads passes on to peers what this VM read of the servers that it probes.
func (w *Monitor) tellLoads(context.Context) {
	var rows []gossip.LoadRow
	w.mu.Lock()
	for name, r := range w.rows {
		rows = append(rows, r)
		delete(w.rows, name)
	}
	w.mu.Unlock()
	w.Syncer.Report(rows)
}
