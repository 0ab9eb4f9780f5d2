package host

import (
	"context"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// gaugeEvery is how often the gauges are brought up to date: more often than anybody
// reads them, and cheap.
const gaugeEvery = time.Second

// gauges brings what the parts know of themselves to the metrics. Counters of requests
// are kept where requests end, see package meter.
type gauges struct {
	group group.Group
	p     gaugeParts
}

type gaugeParts struct {
	fx.In
	Platform Platform
	Meter    *meter.Meter
	Reign    *reign
	Board    *poll.Hub
	State    *state.State
	Record   *record.Writer
	Courier  *courier
	Fetch    *fetcher
	Book     *book
	Guard    *quarantine
}

func newGauges(lc fx.Lifecycle, p gaugeParts) *gauges {
	g := &gauges{p: p}
	duties(lc, &g.group, g.run)
	return g
}

func (g *gauges) run(ctx context.Context) error {
	for group.Sleep(ctx, gaugeEvery) {
		g.lead(clock.Now())
		g.rules(time.Now())
		g.calls()
		g.bytes()
		for name, svc := range g.p.State.Services() {
			g.gate(string(name), svc.Gate.Stats())
		}
		suspects, quarantined := g.p.Guard.count()
		g.set("suspects", float64(suspects))
		g.set("quarantined", float64(quarantined))
		g.set("decisions_left_out", float64(g.p.Record.Lost()))
	}
	return nil
}

func (g *gauges) set(name string, v float64) { g.p.Meter.Gauge(name).Update(v) }

// lead tells whether this VM leads, for how long it may without the store, and how
// many VMs there are.
func (g *gauges) lead(now time.Time) {
	m := g.p.Reign.model()
	leads, left := 0.0, 0.0
	if m.Role() == elect.Leader {
		leads, left = 1, m.Until().Sub(now).Seconds()
	}
	g.set("leads", leads)
	g.set("lead_left_seconds", left)
	g.set("lead_epoch", float64(m.Lease().Epoch))
	g.set("vms", float64(g.p.Board.VMs(time.Now())))
	_, servers := g.p.Board.Revs()
	g.set("servers_rev", float64(servers))
}

// rules tells which revision this VM decides by, which it knows to exist, for how long
// the second has been above the first, and how many could not be put in force.
func (g *gauges) rules(now time.Time) {
	book := &g.p.State.Rules
	behind, refused := g.p.Book.behind(now)
	g.set("rules_rev", float64(book.Current().Rev))
	g.set("rules_newest", float64(book.Newest()))
	g.set("rules_behind_seconds", behind.Seconds())
	g.set("rules_refused", float64(refused))
}

// calls counts what was asked of the store.
func (g *gauges) calls() {
	if g.p.Platform.Calls == nil {
		return
	}
	for kind, n := range g.p.Platform.Calls() {
		g.p.Meter.Tagged(map[string]string{"call": kind}).Gauge("store_calls").Update(float64(n))
	}
}

// bytes tells what control sends and receives, by cause.
func (g *gauges) bytes() {
	tell := func(cause string, f *flow.Counter) {
		g.p.Meter.Tagged(map[string]string{"cause": cause}).Gauge("control_bytes").Update(float64(f.Bytes()))
	}
	tell("exchange", &g.p.Courier.client.Counter)
	tell("rules", &g.p.Fetch.client.Counter)
	for cause, f := range g.p.Platform.Bytes {
		tell(cause, f)
	}
}

// gate tells how full a service is, and what its gate did.
func (g *gauges) gate(svc string, s gate.Stats) {
	scope := g.p.Meter.Tagged(map[string]string{"service": svc})
	scope.Gauge("gate_waiting").Update(float64(s.Waiting))
	scope.Gauge("gate_held").Update(float64(s.Held))
	scope.Gauge("gate_running").Update(float64(s.Running))
	scope.Gauge("gate_ejected").Update(float64(s.Ejected))
	scope.Gauge("gate_retries").Update(float64(s.Retries))
	scope.Gauge("gate_budget").Update(s.Budget)
	for k, n := range s.Refused {
		g.p.Meter.Tagged(map[string]string{"service": svc, "kind": k.String()}).Gauge("gate_refused").Update(float64(n))
	}
}
