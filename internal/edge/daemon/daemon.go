// Package daemon runs a whole entry VM in one process: the front end for callers,
// the lessors of backend servers, the links to other entry VMs and the operators'
// listener. The parts are wired by fx.
//
//	d, err := daemon.New(cfg)
//	if err != nil {
//		return err
//	}
//	if err := d.Start(ctx); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return d.Close() // graceful: requests in flight are completed
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/edge/monit"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// DefaultShutdownDelay is how long a VM that shuts down goes on accepting requests
// after it has reported that it is not ready. The load balancer polls about once a
// second.
const DefaultShutdownDelay = 2 * time.Second

// Timeouts of starting and stopping. Draining has a time of its own in the settings.
const (
	startTimeout = 15 * time.Second
	closeTimeout = 15 * time.Second
)

// Daemon is one entry VM. Create one with New.
type Daemon struct {
	cfg       config.Config
	opts      *options
	app       *fx.App
	closeOnce sync.Once
	err       error
	parts     parts
}

// parts are the parts that Daemon's methods use.
type parts struct {
	fx.In
	State     *state.State
	Leases    *leases.Manager
	Listeners *listeners
	Peers     *peers
	Monitor   *monit.Monitor
}

// Option configures a Daemon.
type Option func(*options)

type options struct {
	log           *slog.Logger
	pem           *certs.PEM
	shutdownDelay time.Duration
	sinks         []record.Sink
	store         object.Store
	vms           vmlist.Lister
	control       server.Control
	routes        map[string]http.Handler
	planner       leases.Planner
	wrapPackets   func(net.PacketConn) net.PacketConn
}

// WithLog sets the daemon's logger. The default writes JSON lines to standard output.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithPEM sets the keys and certificates, in place of those of the settings.
func WithPEM(p certs.PEM) Option { return func(o *options) { o.pem = &p } }

// WithShutdownDelay sets how long a VM that shuts down goes on accepting requests; see
// [DefaultShutdownDelay].
func WithShutdownDelay(d time.Duration) Option { return func(o *options) { o.shutdownDelay = d } }

// WithSink passes every decision to s, in addition to the log and the journal.
func WithSink(s record.Sink) Option { return func(o *options) { o.sinks = append(o.sinks, s) } }

// WithStore replaces the client of the object API.
func WithStore(s object.Store) Option { return func(o *options) { o.store = s } }

// WithVMs replaces the client of the platform's list of VMs.
func WithVMs(l vmlist.Lister) Option { return func(o *options) { o.vms = l } }

// WithControl replaces the client of the backend servers' control API.
func WithControl(c server.Control) Option { return func(o *options) { o.control = c } }

// WithPlanner replaces the planner of moves.
func WithPlanner(p leases.Planner) Option { return func(o *options) { o.planner = p } }

// WithPacketConn wraps the socket of the links to other entry VMs, for example to count
// their traffic.
func WithPacketConn(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.wrapPackets = wrap }
}

// WithRoute adds a handler to the operators' listener, for a pattern as in
// [http.ServeMux].
func WithRoute(pattern string, h http.Handler) Option {
	return func(o *options) { o.routes[pattern] = h }
}

// New returns an entry VM that opens and calls nothing before Start.
func New(cfg config.Config, opts ...Option) (*Daemon, error) {
	cfg = cfg.Fill()
	o := &options{shutdownDelay: DefaultShutdownDelay, routes: map[string]http.Handler{}}
	for _, opt := range opts {
		opt(o)
	}
	if o.log == nil {
		o.log = slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: logLevel(cfg.Log.Level)}))
	}
	if err := leaseTimes(cfg.Lease).Check(); err != nil {
		return nil, err
	}
	return &Daemon{cfg: cfg, opts: o}, nil
}

func logLevel(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}

// Start wires the parts, opens the listeners and starts all background work. It does
// not wait until the VM is ready; see Ready. Call it once.
func (d *Daemon) Start(ctx context.Context) error {
	d.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return httpd.ErrorLogger{Log: d.opts.log} }),
		fx.Supply(d.cfg, d.opts),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(d.stopTimeout()),
		fx.Provide(constructors()...),
		fx.Invoke(func(p parts) { d.parts = p }),
	)
	if err := d.app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return d.app.Start(ctx)
}

func (d *Daemon) stopTimeout() time.Duration {
	return d.cfg.Limit.Drain.Duration + d.opts.shutdownDelay + closeTimeout
}

// Close shuts down gracefully and waits: it reports not ready, gives the load balancer
// time to notice, completes the requests in flight within the drain time of the
// settings, hands its lessors over and stops all background work. It may be called
// more than once.
func (d *Daemon) Close() error {
	d.closeOnce.Do(func() {
		if d.app == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), d.stopTimeout())
		defer cancel()
		d.err = d.app.Stop(ctx)
	})
	return d.err
}

// Callers returns the address of the callers' listener.
func (d *Daemon) Callers() netip.AddrPort { return d.parts.Listeners.callers.Addr() }

// Operators returns the address of the operators' listener.
func (d *Daemon) Operators() netip.AddrPort { return d.parts.Listeners.operators.Addr() }

// Peers returns the address where other entry VMs connect, the zero value when the VM
// has no keys and works alone.
func (d *Daemon) Peers() netip.AddrPort { return d.parts.Peers.addr() }

// Ready returns nil when requests can be served, and the reason otherwise.
func (d *Daemon) Ready() error {
	if d.parts.Listeners == nil {
		return kinds.New(kinds.Closing, "not started")
	}
	return d.parts.Listeners.ready()
}

// Status returns what /status shows.
func (d *Daemon) Status() Status { return d.parts.Listeners.status() }

// State returns the state that requests are routed by: rules, owners and gates.
func (d *Daemon) State() *state.State { return d.parts.State }

// Leases returns the lessors of this VM, for moves and drains.
func (d *Daemon) Leases() *leases.Manager { return d.parts.Leases }
