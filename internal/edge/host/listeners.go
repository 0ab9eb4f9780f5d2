package host

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
)

// Timeouts of the listeners, apart from the limits that the operator sets.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 90 * time.Second
	// DefaultNotice suits a load balancer that checks once per second and removes a VM
	// after two failed checks.
	DefaultNotice = 2500 * time.Millisecond
)

// listeners holds the VM's HTTP listeners.
type listeners struct {
	parts                              listenerParts
	wasReady                           atomic.Bool // has been ready once
	notice                             time.Duration
	callers, operators, peers, metrics httpd.Listener
}

type listenerParts struct {
	fx.In
	Front       *front.Front
	State       *state.State
	Hub         *poll.Hub
	Meter       *meter.Meter
	Coordinator *coordinator
	Poller      *poller
	Gauges      *gauges
	Servers     *serverTracker
	Rules       *ruleManager
	Fetcher     *fetcher
	Quarantine  *quarantine
	Lender      *coldLender
	Notices     *notices
	Shedders    *shedders
	Fleet       *fleetLoad
	Permits     *permits
	Tunnels     *tunnel.Server
	Log         *slog.Logger
}

func newListeners(lc fx.Lifecycle, cfg Config, p listenerParts) *listeners {
	l := &listeners{parts: p, notice: cfg.Notice}
	errorLog := slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)
	serve := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: errorLog}
	}
	l.callers.Server = serve(p.Front.Handler())
	l.callers.Pipeline = p.Front.Pipeline()
	l.callers.AnswerTime = httpd.DefaultAnswerTime
	peers := http.NewServeMux()
	peers.Handle(tunnel.Path, p.Tunnels)
	peers.Handle(poll.SheddingPath, poll.SheddingHandler(p.Shedders.told))
	peers.Handle(poll.PermitPath, poll.PermitHandler(p.Permits.take))
	peers.Handle("/", p.Hub.Handler(func(req *poll.Request) {
		if _, leads := p.Hub.Lease(); leads {
			p.Notices.merge(req.Notices)
			p.Shedders.add(req.VM, req.Shedding)
			p.Fleet.mergeReport(req) // before the coordinator, which gets the latencies
		}
		p.Coordinator.onRequest(req)
		p.Fetcher.noteRequest(req)
		p.Quarantine.addReports(req.Reports)
		req.TrialGrants = p.Quarantine.grantTrials(req.VM, req.TrialAsks)
		req.Lent = p.Lender.lend(req.VM)
	}))
	l.peers.Server = serve(peers)
	l.metrics.Server = serve(p.Quarantine.handler(p.Meter.Handler()))
	l.operators.Server = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := l.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}))
	for _, entry := range []struct {
		listener *httpd.Listener
		addr     netip.AddrPort
		stop     func(context.Context) error
	}{
		{&l.peers, cfg.Peers, l.peers.Close},
		{&l.metrics, cfg.Metrics, l.metrics.Close},
		{&l.operators, cfg.Operators, l.operators.Close},
		{&l.callers, cfg.Callers, l.shutdown},
	} {
		lc.Append(fx.Hook{OnStart: func(context.Context) error { return entry.listener.Start(entry.addr) }, OnStop: entry.stop})
	}
	return l
}

// shutdown stops serving callers: it reports not ready, hands over leadership, keeps
// serving until the load balancer has noticed, and finishes the requests in flight.
func (l *listeners) shutdown(ctx context.Context) error {
	l.parts.Front.SetClosing()
	l.parts.Coordinator.resign()
	notice := cmp.Or(l.notice, DefaultNotice)
	if end, ok := l.callers.AnswersUntil(ctx); ok {
		notice = min(notice, max(time.Until(end), 0)) // a short grace period still has time for last answers
	}
	l.parts.Log.Info("shutting down", "flying", l.parts.Front.InFlight(), "notice", notice)
	var tunnels group.Group // other VMs need their time to find another way
	tunnels.Go(func(context.Context) error { l.parts.Tunnels.Drain(ctx); return nil })
	group.Sleep(ctx, notice)
	if end, ok := l.callers.AnswersUntil(ctx); ok {
		l.parts.Front.SetEnd(end)
	}
	err := l.callers.Shutdown(ctx)
	l.parts.Log.Info("callers' connections closed", "flying", l.parts.Front.InFlight(), "dropped", l.parts.Front.Dropped())
	_ = tunnels.Wait() // it returns no error
	return err
}
