package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/audit/dedup"
	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/monit"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// frontParts are the parts that the front end uses.
type frontParts struct {
	fx.In
	State   *state.State
	Relay   *relay.Relay
	Record  *record.Writer
	Meter   *meter.Meter
	Claims  *dedup.Guard
	Journal *ledger.Journal
	Control server.Control
	// Monitor is not used, but makes fx build the lessors, the syncer and the
	// monitor before the front end and stop them after it: requests in flight
	// need them to the end.
	Monitor *monit.Monitor
}

func newFront(lc fx.Lifecycle, cfg config.Config, p frontParts, log *slog.Logger) *front.Front {
	budget := egress.New(cfg.Limit.Link, cfg.Limit.Memory)
	log.Info("response budget", "link", cfg.Limit.Link, "memory", cfg.Limit.Memory, "on", budget.Bounded())
	c := newCanceler(p.State, p.Control)
	closeOnStop(lc, c)
	f := &front.Front{
		VM: cfg.VM, Centre: cfg.Centre, Limit: cfg.Limit, State: p.State, Relay: p.Relay,
		Record: p.Record, Meter: p.Meter, Claims: p.Claims, Durable: p.Journal, Cancel: c, Egress: budget, Log: log,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			f.Start()
			return nil
		},
		OnStop: func(context.Context) error { return f.Close() },
	})
	return f
}

// listeners are the listeners for callers and for operators.
type listeners struct {
	parts         listenerParts
	cfg           config.Config
	shutdownDelay time.Duration
	callers       httpd.Listener
	operators     httpd.Listener
}

type listenerParts struct {
	fx.In
	Front   *front.Front
	State   *state.State
	Leases  *leases.Manager
	Record  *record.Writer
	Journal *ledger.Journal
	Filter  *ledger.Filter
	Peers   *peers
	Meter   *meter.Meter
	Log     *slog.Logger
}

func newListeners(lc fx.Lifecycle, cfg config.Config, o *options, p listenerParts) *listeners {
	l := &listeners{parts: p, cfg: cfg, shutdownDelay: o.shutdownDelay}
	errorLog := slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)
	l.callers.Server = &http.Server{
		Handler: p.Front.Handler(), ReadHeaderTimeout: cfg.Limit.HeaderTimeout.Duration,
		IdleTimeout: cfg.Limit.Idle.Duration, MaxHeaderBytes: cfg.Limit.Header, ErrorLog: errorLog,
	}
	l.callers.Pipeline = p.Front.Pipeline()
	l.callers.AnswerTime = httpd.DefaultAnswerTime
	l.operators.Server = &http.Server{
		Handler: l.routes(o.routes), ReadHeaderTimeout: cfg.Limit.HeaderTimeout.Duration,
		IdleTimeout: cfg.Limit.Idle.Duration, MaxHeaderBytes: cfg.Limit.Header, ErrorLog: errorLog,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return l.operators.Start(cfg.Listen.Operators) },
		OnStop:  l.operators.Shutdown,
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return l.callers.Start(cfg.Listen.Callers) },
		OnStop:  l.shutdown,
	})
	return l
}

// shutdown stops the callers' listener: it reports not ready, gives the load balancer
// time to notice while requests are still accepted, and completes those in flight.
func (l *listeners) shutdown(ctx context.Context) error {
	l.parts.Front.SetClosing()
	l.parts.Log.Info("shutting down", "flying", l.parts.Front.InFlight(), "notice", l.shutdownDelay)
	group.Sleep(ctx, l.shutdownDelay)
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Limit.Drain.Duration)
	defer cancel()
	if end, ok := l.callers.AnswersUntil(ctx); ok {
		l.parts.Front.SetEnd(end)
	}
	return l.callers.Shutdown(ctx)
}
