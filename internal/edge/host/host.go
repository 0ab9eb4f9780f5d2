// Package host is one entry VM on a platform that lists backend servers and rules
// in its store: the callers' front end, the exchange with other VMs, and, on the
// VM that leads, the orders for keys. It wires decisions to their effects; what
// the platform calls things is its adapter's.
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
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Config is what a VM learns from its settings.
type Config struct {
	VM            ident.VM
	Centre        ident.Centre
	Callers       netip.AddrPort // requests
	Operators     netip.AddrPort // readiness
	Peers         netip.AddrPort // other entry VMs
	Metrics       netip.AddrPort
	Store         netip.AddrPort
	Seeds         []netip.AddrPort // some other VMs, which may be gone
	History       time.Duration    // how far back the store's watches reach
	Bounds        Bounds
	CPUs          float64       // processors that this VM may use, in parts of one; zero: not known
	UnknownFields []string      // fields of the settings that were passed over
	Notice        time.Duration // how long the balancer needs to see that a VM leaves; zero is DefaultNotice
}

// Bounds are what the platform promises and demands.
type Bounds struct {
	Drain       time.Duration // a server that leaves gets nothing later than this after it said so
	Grace       time.Duration // from the signal to stop until the process is killed
	RulesApply  time.Duration // rules are in force everywhere within this
	MaxGrant    time.Duration // longest grant
	RetryWindow time.Duration
	RetryRatio  float64 // repeats allowed in a window, as a part of the requests
	RetrySlack  float64 // and beside them
}

// Platform is what the adapter brings.
type Platform struct {
	Store            object.Store // linearizable
	StaleStore       object.Store // cheaper; lists and watches may be seconds behind
	Decode           feed.Decoder
	Orders           feed.Orders
	Headers          relay.Headers
	FormatRetryAfter func(time.Duration) string
	Servers          string // kind of the servers' entries, with its slash
	Rules            string // object that holds the rules
	OwnPrefix        string // kind of the system's own objects, with its slash
	// Calls counts the calls to the store by kind; nil when nobody counts.
	Calls func() map[string]int64
	// Bytes are what goes to the store and to backend servers for control, by cause.
	Bytes map[string]*flow.Counter
}

// Host is one entry VM. Make one with New.
type Host struct {
	cfg  Config
	plat Platform
	base plain
	log  *slog.Logger
	app  *fx.App
	d    *doors
}

// New prepares a VM. It opens nothing before Start.
func New(cfg Config, p Platform, log *slog.Logger) *Host {
	return &Host{cfg: cfg, plat: p, base: plain{log}, log: log.With("vm", cfg.VM)}
}

// plain is the log without the VM's name, for decisions, which name it themselves.
type plain struct{ *slog.Logger }

// Times of starting and stopping.
const (
	startWait = 15 * time.Second
	// stopReserve is what is left of the grace for the process's own end.
	stopReserve = 500 * time.Millisecond
)

// Start wires the parts, opens the listeners and starts all duties.
func (h *Host) Start(ctx context.Context) error {
	h.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return httpd.ErrorLogger{Log: h.log} }),
		fx.Supply(h.cfg, h.plat, h.base, h.log),
		fx.StartTimeout(startWait), fx.StopTimeout(h.stopWait()),
		fx.Provide(newCounts, newMeter, newRecord, newState, newRelay, newFront, newBoard, newFleet, newQuarantine, newBook, newReign, newFetcher, newCourier, newGauges, newDoors),
		fx.Invoke(func(d *doors) { h.d = d }),
	)
	if err := h.app.Err(); err != nil {
		return err
	}
	if len(h.cfg.UnknownFields) > 0 {
		h.log.Info("settings passed over", "fields", h.cfg.UnknownFields)
	}
	h.log.Info("start", "centre", h.cfg.Centre, "callers", h.cfg.Callers, "peers", h.cfg.Peers)
	return h.app.Start(ctx)
}

func (h *Host) stopWait() time.Duration { return max(h.cfg.Bounds.Grace-stopReserve, time.Second) }

// Close shuts down gracefully and waits.
func (h *Host) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), h.stopWait())
	defer cancel()
	err := h.app.Stop(ctx)
	h.log.Info("stop")
	return err
}

// Ready returns nil when requests can be served, and why not otherwise.
func (h *Host) Ready() error { return h.d.ready() }

// closer is a part that is closed when the VM stops.
type closer interface{ Close() error }

func closes(lc fx.Lifecycle, c closer) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
}

// duties starts goroutines when the VM starts and ends them when it stops.
func duties(lc fx.Lifecycle, g *group.Group, all ...func(context.Context) error) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, duty := range all {
				g.Go(duty)
			}
			return nil
		},
		OnStop: func(context.Context) error { return g.Close() },
	})
}

func newMeter(lc fx.Lifecycle, cfg Config) *meter.Meter {
	m := meter.New(cfg.VM)
	closes(lc, m)
	return m
}

// plainLines is how many plain decisions a second get a line of their own: all of a
// usual day, a few in a hundred of the busiest.
const plainLines = 60

func newRecord(lc fx.Lifecycle, cfg Config, log plain) *record.Writer {
	w := record.New(cfg.VM, log.Logger, record.WithRate(plainLines))
	closes(lc, w)
	return w
}

func newState() *state.State { return state.New(nil) }

func newBoard(cfg Config) *poll.Hub {
	return poll.NewHub(cfg.VM, string(cfg.VM)+"-"+strconv.FormatUint(rand.Uint64(), 36))
}

// dial is the longest wait for a connection to a backend server within a region.
const dial = 400 * time.Millisecond

// idle closes connections that nobody has used for long; whether one that was idle
// is used again follows from what its server says.
const idle = 30 * time.Second

func newRelay(lc fx.Lifecycle, p Platform) *relay.Relay {
	r := relay.New(relay.Config{Headers: p.Headers, Dial: dial, Idle: idle})
	closes(lc, r)
	return r
}

// mostHeld is up to where a body is read whole before its request asks for a place:
// it can then be sent elsewhere after a refusal, and a caller that sends slowly
// holds no server's slot.
const mostHeld = 1 << 20

func newFront(lc fx.Lifecycle, cfg Config, p Platform, s *state.State, r *relay.Relay, w *record.Writer, m *meter.Meter, c *counts, g *quarantine) *front.Front {
	f := &front.Front{
		VM: cfg.VM, Centre: cfg.Centre, State: s, Relay: r, Record: w, Meter: m, Guard: g,
		Limit:   config.Limit{Request: config.SpanOf(defaultRequest)},
		Headers: p.Headers, BufferLimit: mostHeld, MaxOwnerWait: patience, FormatRetryAfter: p.FormatRetryAfter, OnKeyRequest: c.asked, OnAnswer: c.answered,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { f.Start(); return nil },
		OnStop:  func(context.Context) error { return f.Close() },
	})
	return f
}

// patience is how long a request waits for its key to get an owner. A planned move
// takes as long as the work that runs on the keys, a third of a second at most times;
// the move after a loss takes seconds, and its requests are better told at once when
// to come back.
const patience = 400 * time.Millisecond

// defaultRequest bounds a request whose rule and caller name no time.
const defaultRequest = 30 * time.Second

// ready says why requests should not be sent here, or nil. A VM that was ready once
// stays so: a service that the operator adds has no owners of keys for a moment, and
// all VMs at once would turn callers of the others away.
func (d *doors) ready() error {
	if d.p.Front.IsClosing() {
		return kinds.New(kinds.Closing, "shutting down")
	}
	if d.p.State.Rules.State() != revs.Serve {
		return kinds.New(kinds.Unavailable, "no rules yet")
	}
	if d.been.Load() {
		return nil
	}
	for name, svc := range d.p.State.Services() {
		if svc.Divided() && svc.Finder() == nil && d.p.Fleet.lists(name) {
			return kinds.New(kinds.NoOwner, "owners of keys not known yet: "+string(name))
		}
	}
	d.been.Store(true)
	return nil
}
