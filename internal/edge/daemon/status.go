package daemon

import (
	"encoding/json"
	"net/http"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Status is what /status shows.
type Status struct {
	VM       ident.VM                        `json:"vm"`
	Centre   ident.Centre                    `json:"centre"`
	Ready    bool                            `json:"ready"`
	Why      string                          `json:"why,omitempty"` // why it is not ready
	Flying   int                             `json:"flying"`        // requests in flight
	Rules    ident.Revision                  `json:"rules"`         // revision in force
	Peers    []ident.VM                      `json:"peers"`         // connected now
	Lost     uint64                          `json:"lost"`          // decisions that found no room
	Skipped  uint64                          `json:"skipped"`       // decisions that rules leave out of the journal
	Journal  ledger.Status                   `json:"journal"`
	Services map[ident.Service]ServiceStatus `json:"services"`
	Seats    []leases.Status                 `json:"seats"`
}

// ServiceStatus is one service's part of Status.
type ServiceStatus struct {
	Table ident.Revision `json:"table,omitempty"`
	Gate  gate.Stats     `json:"gate"`
}

// routes are the operators' pages: what is served, whether it is, and how well.
func (d *doors) routes(more map[string]http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.in.Meter.Handler())
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", d.serveReady)
	mux.HandleFunc("GET /status", d.serveStatus)
	for pattern, h := range more {
		mux.Handle(pattern, h)
	}
	return mux
}

func (d *doors) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := d.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *doors) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(d.status()); err != nil {
		d.in.Log.Debug("status", "err", err)
	}
}

// ready says why requests should not be sent here, or nil.
func (d *doors) ready() error {
	if d.in.Front.IsClosing() {
		return kinds.New(kinds.Closing, "shutting down")
	}
	if s := d.in.State.Rules.State(); s != revs.Serve {
		return kinds.New(kinds.Unavailable, "rules: "+s.String())
	}
	for name, svc := range d.in.State.Services() {
		if svc.Divided() && svc.View() == nil {
			return kinds.New(kinds.NoOwner, "no table yet for "+string(name))
		}
	}
	return nil
}

func (d *doors) status() Status {
	s := Status{
		VM: d.cfg.VM, Centre: d.cfg.Centre, Ready: true, Flying: d.in.Front.InFlight(),
		Rules: d.in.State.Rules.Current().Rev, Peers: d.in.Peers.connected(), Lost: d.in.Record.Lost(),
		Skipped: d.in.Sieve.Skipped(), Journal: d.in.Journal.Status(), Services: map[ident.Service]ServiceStatus{}, Seats: d.in.Keeper.Status(),
	}
	if err := d.ready(); err != nil {
		s.Ready, s.Why = false, err.Error()
	}
	for name, svc := range d.in.State.Services() {
		one := ServiceStatus{Gate: svc.Gate.Stats()}
		if v := svc.View(); v != nil {
			one.Table = v.Rev()
		}
		s.Services[name] = one
	}
	return s
}
