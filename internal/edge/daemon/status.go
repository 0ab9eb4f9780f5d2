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
	Reason   string                          `json:"why,omitempty"` // why it is not ready
	InFlight int                             `json:"flying"`        // requests in flight
	Rules    ident.Revision                  `json:"rules"`         // revision in force
	Peers    []ident.VM                      `json:"peers"`         // connected now
	Lost     uint64                          `json:"lost"`          // decisions dropped because the buffer was full
	Skipped  uint64                          `json:"skipped"`       // decisions that rules leave out of the journal
	Journal  ledger.Status                   `json:"journal"`
	Services map[ident.Service]ServiceStatus `json:"services"`
	Lessors  []leases.Status                 `json:"seats"`
}

// ServiceStatus is the part of Status about one service.
type ServiceStatus struct {
	Table ident.Revision `json:"table,omitempty"`
	Gate  gate.Stats     `json:"gate"`
}

// routes returns the handler of the operators' pages.
func (l *listeners) routes(extra map[string]http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", l.parts.Meter.Handler())
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", l.serveReady)
	mux.HandleFunc("GET /status", l.serveStatus)
	for pattern, h := range extra {
		mux.Handle(pattern, h)
	}
	return mux
}

func (l *listeners) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := l.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (l *listeners) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(l.status()); err != nil {
		l.parts.Log.Debug("status", "err", err)
	}
}

// ready returns why requests should not be sent to this VM, or nil.
func (l *listeners) ready() error {
	if l.parts.Front.IsClosing() {
		return kinds.New(kinds.Closing, "shutting down")
	}
	if s := l.parts.State.Rules.State(); s != revs.Serve {
		return kinds.New(kinds.Unavailable, "rules: "+s.String())
	}
	for name, svc := range l.parts.State.Services() {
		if svc.Divided() && svc.View() == nil {
			return kinds.New(kinds.NoOwner, "no table yet for "+string(name))
		}
	}
	return nil
}

func (l *listeners) status() Status {
	s := Status{
		VM: l.cfg.VM, Centre: l.cfg.Centre, Ready: true, InFlight: l.parts.Front.InFlight(),
		Rules: l.parts.State.Rules.Current().Rev, Peers: l.parts.Peers.connected(), Lost: l.parts.Record.Lost(),
		Skipped: l.parts.Filter.Skipped(), Journal: l.parts.Journal.Status(), Services: map[ident.Service]ServiceStatus{}, Lessors: l.parts.Leases.Status(),
	}
	if err := l.ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	for name, svc := range l.parts.State.Services() {
		svcStatus := ServiceStatus{Gate: svc.Gate.Stats()}
		if v := svc.View(); v != nil {
			svcStatus.Table = v.Rev()
		}
		s.Services[name] = svcStatus
	}
	return s
}
