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
)

// Bounds of the listeners, for what the operator's limits do not say.
const (
	headerWait = 10 * time.Second
	callerIdle = 90 * time.Second
	// DefaultNotice is for a balancer that asks each second and takes a VM out after two
	// answers.
	DefaultNotice = 2500 * time.Millisecond
)

// doors are the listeners.
type doors struct {
	p                                  doorParts
	been                               atomic.Bool // ready
	notice                             time.Duration
	callers, operators, peers, metrics httpd.Listener
}

type doorParts struct {
	fx.In
	Front   *front.Front
	State   *state.State
	Board   *poll.Hub
	Meter   *meter.Meter
	Reign   *reign
	Courier *courier
	Gauges  *gauges
	Fleet   *fleet
	Book    *book
	Guard   *quarantine
	Log     *slog.Logger
}

func newDoors(lc fx.Lifecycle, cfg Config, p doorParts) *doors {
	d := &doors{p: p, notice: cfg.Notice}
	quiet := slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)
	serve := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: headerWait, IdleTimeout: callerIdle, ErrorLog: quiet}
	}
	d.callers.Server = serve(p.Front.Handler())
	d.callers.Pipeline = p.Front.Pipeline()
	d.peers.Server = serve(p.Board.Handler(func(a *poll.Request) {
		p.Reign.heard(a)
		p.Guard.heard(a.Reports)
	}))
	d.metrics.Server = serve(p.Guard.handler(p.Meter.Handler()))
	d.operators.Server = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := d.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}))
	for _, one := range []struct {
		door *httpd.Listener
		at   netip.AddrPort
		stop func(context.Context) error
	}{
		{&d.peers, cfg.Peers, d.peers.Close},
		{&d.metrics, cfg.Metrics, d.metrics.Close},
		{&d.operators, cfg.Operators, d.operators.Close},
		{&d.callers, cfg.Callers, d.retire},
	} {
		lc.Append(fx.Hook{OnStart: func(context.Context) error { return one.door.Start(one.at) }, OnStop: one.stop})
	}
	return d
}

// retire takes leave of callers: say not ready, let somebody else lead, let the
// balancer notice while everything is still served, finish what is in flight.
func (d *doors) retire(ctx context.Context) error {
	d.p.Front.SetClosing()
	d.p.Reign.leave()
	notice := cmp.Or(d.notice, DefaultNotice)
	d.p.Log.Info("shutting down", "flying", d.p.Front.InFlight(), "notice", notice)
	group.Sleep(ctx, notice)
	return d.callers.Shutdown(ctx)
}
