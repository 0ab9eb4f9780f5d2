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
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// faces are the parts that the front end is made of.
type faces struct {
	fx.In
	State   *state.State
	Relay   *relay.Relay
	Record  *record.Writer
	Meter   *meter.Meter
	Claims  *dedup.Guard
	Journal *ledger.Journal
	Control server.Control
	// The keeper, the news and the warden are made before the front, so that
	// they stop after it: what is in flight needs them to the end.
	Warden *monit.Monitor
}

func newFront(lc fx.Lifecycle, cfg config.Config, a faces) *front.Front {
	c := newCanceler(a.State, a.Control)
	closes(lc, c)
	f := &front.Front{
		VM: cfg.VM, Centre: cfg.Centre, Limit: cfg.Limit, State: a.State, Relay: a.Relay,
		Record: a.Record, Meter: a.Meter, Claims: a.Claims, Durable: a.Journal, Cancel: c,
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

// doors are the listeners for callers and operators.
type doors struct {
	in        doorParts
	cfg       config.Config
	notice    time.Duration
	callers   httpd.Listener
	operators httpd.Listener
}

type doorParts struct {
	fx.In
	Front   *front.Front
	State   *state.State
	Keeper  *leases.Manager
	Record  *record.Writer
	Journal *ledger.Journal
	Sieve   *ledger.Filter
	Peers   *peers
	Meter   *meter.Meter
	Log     *slog.Logger
}

func newDoors(lc fx.Lifecycle, cfg config.Config, o *options, a doorParts) *doors {
	d := &doors{in: a, cfg: cfg, notice: o.notice}
	quiet := slog.NewLogLogger(a.Log.Handler(), slog.LevelDebug)
	d.callers.Server = &http.Server{
		Handler: a.Front.Handler(), ReadHeaderTimeout: cfg.Limit.HeaderTimeout.Duration,
		IdleTimeout: cfg.Limit.Idle.Duration, MaxHeaderBytes: cfg.Limit.Header, ErrorLog: quiet,
	}
	d.callers.Pipeline = a.Front.Pipeline()
	d.operators.Server = &http.Server{
		Handler: d.routes(o.routes), ReadHeaderTimeout: cfg.Limit.HeaderTimeout.Duration,
		IdleTimeout: cfg.Limit.Idle.Duration, MaxHeaderBytes: cfg.Limit.Header, ErrorLog: quiet,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return d.operators.Start(cfg.Listen.Operators) },
		OnStop:  d.operators.Shutdown,
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return d.callers.Start(cfg.Listen.Callers) },
		OnStop:  d.retire,
	})
	return d
}

// retire takes leave of callers: say not ready, let the balancer notice while
// everything is still served, stop accepting, finish what is in flight.
func (d *doors) retire(ctx context.Context) error {
	d.in.Front.SetClosing()
	d.in.Log.Info("shutting down", "flying", d.in.Front.InFlight(), "notice", d.notice)
	group.Sleep(ctx, d.notice)
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Limit.Drain.Duration)
	defer cancel()
	return d.callers.Shutdown(ctx)
}
