// Package host runs one entry VM on a platform whose store lists backend servers and
// rules. It holds the listeners for callers, the exchange with other VMs and, on the
// leader, the assignment of keys to servers. The packages that it wires together decide
// what to do; this one carries out their decisions. The names and formats of the platform
// are left to its adapter.
package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/dial"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/intake"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Config holds the settings of a VM.
type Config struct {
	VM            ident.VM
	Centre        ident.Centre
	Callers       netip.AddrPort // address for requests
	Operators     netip.AddrPort // address for readiness checks
	Peers         netip.AddrPort // address for other entry VMs
	Metrics       netip.AddrPort
	Store         netip.AddrPort
	Seeds         []netip.AddrPort // addresses of some other VMs, which may be gone
	History       time.Duration    // how far back a watch of the store can start
	Bounds        Bounds
	CPUs          float64       // processors that this VM may use, may be a fraction; zero if unknown
	Link          int64         // bytes per second that the link to the callers carries; zero if unknown
	Memory        int64         // bytes of memory that this VM has; zero if unknown
	Intake        intake.Limits // of what callers can make this VM hold; zero means none
	RuntimeMemory int64         // bytes that the heap should stay within; zero if unknown
	UnknownFields []string      // fields of the settings that were ignored
	FullServers   fleet.Mode    // how full servers behave
	Notice        time.Duration // time that the load balancer needs to notice that a VM is leaving; zero means DefaultNotice
}

// Bounds are the limits that the platform sets and guarantees.
type Bounds struct {
	Drain       time.Duration // a leaving server gets no request later than this after it announced that it leaves
	Evacuation  time.Duration // a server of an evacuated data centre gets no request later than this after the evacuation was accepted
	Grace       time.Duration // from the stop signal until the process is killed
	RulesApply  time.Duration // time within which new rules are in force on all VMs
	MaxGrant    time.Duration // longest grant of keys
	RetryWindow time.Duration
	RetryRatio  float64 // retries allowed in a window, as a fraction of the requests
	RetrySlack  float64 // retries allowed in a window beyond that fraction
	// A cold server may get ColdOverrun times its service's ColdRate, and ColdSlack more, in
	// any one second.
	ColdOverrun float64
	ColdSlack   float64
}

// Platform holds what a platform's adapter provides.
type Platform struct {
	Store            object.Store // linearizable
	StaleStore       object.Store // cheaper; its lists and watches may be seconds behind
	Decode           feed.Decoder
	Orders           feed.Orders
	Open             dial.Open  // opens connections to backend servers; nil means TCP
	OrderConns       OrderConns // connections of Orders; nil if it has none that the VM may manage
	Headers          relay.Headers
	FormatRetryAfter func(time.Duration) string
	Servers          string // prefix of the servers' entries, with its slash
	Evacuations      string // prefix of the evacuations, with its slash; empty if the platform has none
	Rules            string // name of the object that holds the rules
	OwnPrefix        string // prefix of this system's own objects, with its slash
	// Era returns the latest era that the store has told; nil if it never tells one.
	Era func() object.Era
	// Calls returns the number of calls to the store by kind; nil if they are not
	// counted.
	Calls func() map[string]int64
	// Bytes counts the control traffic to the store and to backend servers, by cause.
	Bytes map[string]*flow.Counter
}

// OrderConns are the connections over which orders are sent.
type OrderConns interface {
	// SetDial sets how connections are opened. It is called before the first order.
	SetDial(dial flow.Dial)
	// CloseIdle closes the connections that are not in use.
	CloseIdle()
}

// Host is one entry VM. Use New to create one.
type Host struct {
	cfg       Config
	plat      Platform
	baseLog   baseLogger
	log       *slog.Logger
	app       *fx.App
	listeners *listeners
}

// New creates a VM. It opens no listener and no connection before Start.
func New(cfg Config, p Platform, log *slog.Logger) *Host {
	return &Host{cfg: cfg, plat: p, baseLog: baseLogger{log}, log: log.With("vm", cfg.VM)}
}

// baseLogger is a logger without the attribute for the VM's name. The decision record
// uses it because it writes the name itself.
type baseLogger struct{ *slog.Logger }

// Timeouts for starting and stopping.
const (
	startTimeout = 15 * time.Second
	// stopReserve is the part of the grace period kept for the exit of the process
	// itself.
	stopReserve = 500 * time.Millisecond
)

// Start wires the components, opens the listeners and starts the background goroutines.
func (h *Host) Start(ctx context.Context) error {
	h.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return httpd.ErrorLogger{Log: h.log} }),
		fx.Supply(h.cfg, h.plat, h.baseLog, h.log),
		fx.StartTimeout(startTimeout), fx.StopTimeout(h.stopTimeout()),
		fx.Provide(newLoadCounts, newMeter, newRecord, newEgress, newState, newPeerTunnels, newTunnelServer, newDialer, newRelay, newLoadFaults, newAnswerFaults, newNotices, newPulse, newShedders, newFront, newHub, newServerTracker, newFleetLoad, newColdLender, newPermits, newQuarantine, newRuleManager, newCoordinator, newFetcher, newPoller, newGauges, newListeners),
		fx.Invoke(func(l *listeners) { h.listeners = l }),
	)
	if err := h.app.Err(); err != nil {
		return err
	}
	if len(h.cfg.UnknownFields) > 0 {
		h.log.Info("unknown settings ignored", "fields", h.cfg.UnknownFields)
	}
	h.log.Info("start", "centre", h.cfg.Centre, "callers", h.cfg.Callers, "peers", h.cfg.Peers)
	return h.app.Start(ctx)
}

func (h *Host) stopTimeout() time.Duration { return max(h.cfg.Bounds.Grace-stopReserve, time.Second) }

// Close shuts the VM down gracefully and waits until it has stopped.
func (h *Host) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), h.stopTimeout())
	defer cancel()
	err := h.app.Stop(ctx)
	h.log.Info("stop")
	return err
}

// Ready returns nil if the VM can serve requests, and the reason otherwise.
func (h *Host) Ready() error { return h.listeners.ready() }

// closer is a component that is closed when the VM stops.
type closer interface{ Close() error }

func closeOnStop(lc fx.Lifecycle, c closer) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
}

// runWhileStarted runs functions in goroutines from the start of the VM until it stops.
func runWhileStarted(lc fx.Lifecycle, g *group.Group, all ...func(context.Context) error) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, run := range all {
				g.Go(run)
			}
			return nil
		},
		OnStop: func(context.Context) error { return g.Close() },
	})
}

func newMeter(lc fx.Lifecycle, cfg Config) *meter.Meter {
	m := meter.New(cfg.VM)
	closeOnStop(lc, m)
	return m
}

// plainDecisionsPerSecond is how many uneventful decisions per second are logged one by
// one; the rest are summed. It covers all of them on a usual day and a few percent at
// peak load.
const plainDecisionsPerSecond = 60

func newRecord(lc fx.Lifecycle, cfg Config, log baseLogger) *record.Writer {
	w := record.New(cfg.VM, log.Logger, record.WithRate(plainDecisionsPerSecond))
	closeOnStop(lc, w)
	return w
}

func newState() *state.State { return state.New(nil) }

func newHub(cfg Config) *poll.Hub {
	return poll.NewHub(cfg.VM, string(cfg.VM)+"-"+strconv.FormatUint(rand.Uint64(), 36))
}

// dialTimeout bounds the wait for a connection to a backend server in the same region.
const dialTimeout = 400 * time.Millisecond

// idleTimeout closes connections to backend servers that have been idle this long.
// Whether an idle connection is used again before that depends on what its server
// announces.
const idleTimeout = 30 * time.Second

func newRelay(lc fx.Lifecycle, p Platform, d *dial.Dialer, faults *answerFaults) *relay.Relay {
	r := relay.New(relay.Config{Headers: p.Headers, Dial: dialTimeout, Idle: idleTimeout, Open: d.Dial, OnRejected: faults.note})
	d.Subscribe(r)
	closeOnStop(lc, r)
	return r
}

// maxBufferedBody is the largest request body, in bytes, that is read completely before
// the request queues for a server. Such a request can be sent to another server after a
// refusal, and a caller that sends slowly does not occupy a server's slot.
const maxBufferedBody = 1 << 20

func newFront(lc fx.Lifecycle, cfg Config, p Platform, s *state.State, r *relay.Relay, w *record.Writer, m *meter.Meter, c *loadCounts, faults *loadFaults, notices *notices, shedders *shedders, g *quarantine, e *egress.Budget, fl *fleetLoad, hub *poll.Hub, log *slog.Logger) *front.Front {
	f := &front.Front{
		VM: cfg.VM, Centre: cfg.Centre, State: s, Relay: r, Record: w, Meter: m, Guard: g, Egress: e, Log: log,
		Limit:   config.Limit{Request: config.SpanOf(defaultRequestTimeout)},
		Headers: p.Headers, BufferLimit: maxBufferedBody, MaxOwnerWait: maxOwnerWait, FormatRetryAfter: p.FormatRetryAfter, OnKeyRequest: c.countRequest, OnAnswer: c.countAnswer, OnLoadFault: faults.note, OnNotice: notices.hear, OnShed: shedders.hear, Fleet: &fl.collector,
		ServersAge: func() time.Duration { return hub.Age(poll.Servers) },
	}
	f.Intake = cfg.Intake
	f.Bodies.SetBound(cfg.Intake.Bodies)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { f.Start(); return nil },
		OnStop:  func(context.Context) error { return f.Close() },
	})
	return f
}

// maxOwnerWait is how long a request waits while its key has no owner. A planned move
// takes as long as the work that is running on the keys, usually a third of a second. A
// move after the loss of a server takes seconds; its requests are better told at once
// when to retry.
const maxOwnerWait = 400 * time.Millisecond

// defaultRequestTimeout applies to requests for which neither rule nor caller sets a
// timeout.
const defaultRequestTimeout = 30 * time.Second

// ready returns the reason why requests should not be sent to this VM, or nil. Once a VM
// has been ready it does not become unready for lack of key owners: a service that the
// operator has just added has none for a moment, and all VMs would turn away the callers
// of the other services at the same time.
func (l *listeners) ready() error {
	if l.parts.Front.IsClosing() {
		return kinds.New(kinds.Closing, "shutting down")
	}
	if l.parts.State.Rules.State() != revs.Serve {
		return kinds.New(kinds.Unavailable, "no rules yet")
	}
	if l.parts.Servers.lacksAll() {
		return kinds.New(kinds.Unavailable, "no servers known, the leader knows some")
	}
	if l.wasReady.Load() {
		return nil
	}
	for name, svc := range l.parts.State.Services() {
		if svc.Divided() && svc.Finder() == nil && l.parts.Servers.hasServers(name) {
			return kinds.New(kinds.NoOwner, "key owners not known yet: "+string(name))
		}
	}
	l.wasReady.Store(true)
	return nil
}
