// Package daemon is one whole entry VM in a process: the callers' front end, the
// authority over backend servers, the exchange with other entry VMs and the
// operators' listener, wired by fx.
//
//	d, err := daemon.New(cfg)
//	if err != nil {
//		return err
//	}
//	if err := d.Start(ctx); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return d.Close() // graceful: cuts off nothing in flight
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

// DefaultNotice is how long a VM that shuts down goes on taking requests after
// it has said that it is not ready. The balancer asks every second or so.
const DefaultNotice = 2 * time.Second

// Times of starting and stopping, apart from the settings' drain time.
const (
	startWait = 15 * time.Second
	closeWait = 15 * time.Second
)

// Daemon is one entry VM. Make one with New.
type Daemon struct {
	cfg   config.Config
	opts  *options
	app   *fx.App
	once  sync.Once
	err   error
	parts parts
}

// parts are what the wiring made.
type parts struct {
	fx.In
	State  *state.State
	Keeper *leases.Manager
	Doors  *doors
	Peers  *peers
	Warden *monit.Monitor
}

// Option changes what a daemon is made of.
type Option func(*options)

type options struct {
	log     *slog.Logger
	pem     *certs.PEM
	notice  time.Duration
	sinks   []record.Sink
	store   object.Store
	vms     vmlist.Lister
	control server.Control
	routes  map[string]http.Handler
	plan    leases.Planner
	packets func(net.PacketConn) net.PacketConn
}

// WithLog sets where the daemon logs; JSON lines on standard output otherwise.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithPEM gives the keys and certificates in place of the settings' ones.
func WithPEM(p certs.PEM) Option { return func(o *options) { o.pem = &p } }

// WithShutdownDelay sets how long a VM that shuts down goes on taking requests.
func WithShutdownDelay(d time.Duration) Option { return func(o *options) { o.notice = d } }

// WithSink hands every decision to s as well as to the log and the journal.
func WithSink(s record.Sink) Option { return func(o *options) { o.sinks = append(o.sinks, s) } }

// WithStore replaces the object API's adapter.
func WithStore(s object.Store) Option { return func(o *options) { o.store = s } }

// WithVMs replaces the VM list's adapter.
func WithVMs(l vmlist.Lister) Option { return func(o *options) { o.vms = l } }

// WithControl replaces the adapter to the backend servers' control side.
func WithControl(c server.Control) Option { return func(o *options) { o.control = c } }

// WithPlanner replaces the planner of moves.
func WithPlanner(p leases.Planner) Option { return func(o *options) { o.plan = p } }

// WithPacketConn puts wrap between the exchange with other entry VMs and its socket,
// to count what the exchange costs.
func WithPacketConn(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.packets = wrap }
}

// WithRoute adds a handler to the operators' listener, under a pattern of
// http.ServeMux.
func WithRoute(pattern string, h http.Handler) Option {
	return func(o *options) { o.routes[pattern] = h }
}

// New prepares an entry VM. It opens nothing and calls nobody before Start.
func New(cfg config.Config, opts ...Option) (*Daemon, error) {
	cfg = cfg.Fill()
	o := &options{notice: DefaultNotice, routes: map[string]http.Handler{}}
	for _, opt := range opts {
		opt(o)
	}
	if o.log == nil {
		o.log = slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: level(cfg.Log.Level)}))
	}
	if err := timesOf(cfg.Lease).Check(); err != nil {
		return nil, err
	}
	return &Daemon{cfg: cfg, opts: o}, nil
}

func level(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}

// Start wires the parts, opens the listeners and starts all duties. It does not
// wait until the VM is ready: see Ready. Call it once.
func (d *Daemon) Start(ctx context.Context) error {
	d.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return httpd.ErrorLogger{Log: d.opts.log} }),
		fx.Supply(d.cfg, d.opts),
		fx.StartTimeout(startWait),
		fx.StopTimeout(d.stopWait()),
		fx.Provide(provided()...),
		fx.Invoke(func(p parts) { d.parts = p }),
	)
	if err := d.app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	return d.app.Start(ctx)
}

func (d *Daemon) stopWait() time.Duration {
	return d.cfg.Limit.Drain.Duration + d.opts.notice + closeWait
}

// Close shuts down gracefully and waits: it reports not ready, lets the balancer
// notice, finishes what is in flight within the settings' drain time, hands its
// seats over, and ends every duty. It may be called more than once.
func (d *Daemon) Close() error {
	d.once.Do(func() {
		if d.app == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), d.stopWait())
		defer cancel()
		d.err = d.app.Stop(ctx)
	})
	return d.err
}

// Callers returns the address that callers' requests are taken on.
func (d *Daemon) Callers() netip.AddrPort { return d.parts.Doors.callers.Addr() }

// Operators returns the address of the operators' listener.
func (d *Daemon) Operators() netip.AddrPort { return d.parts.Doors.operators.Addr() }

// Peers returns the address of the exchange with other entry VMs, the zero
// value when there is none.
func (d *Daemon) Peers() netip.AddrPort { return d.parts.Peers.addr() }

// Ready returns nil when requests can be served, and why not otherwise.
func (d *Daemon) Ready() error {
	if d.parts.Doors == nil {
		return kinds.New(kinds.Closing, "not started")
	}
	return d.parts.Doors.ready()
}

// Status returns what /status shows.
func (d *Daemon) Status() Status { return d.parts.Doors.status() }

// State returns what the request path reads: rules in force, owners, gates.
func (d *Daemon) State() *state.State { return d.parts.State }

// Keeper returns the authority over backend servers, for moves and drains.
func (d *Daemon) Keeper() *leases.Manager { return d.parts.Keeper }
