package host

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/dial"
	"hawthornfield.org/hawthornfield/internal/edge/front"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
	"hawthornfield.org/hawthornfield/internal/load/egress"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// gaugeInterval is how often the gauges are updated. It is shorter than usual scrape
// intervals, and an update is cheap.
const gaugeInterval = time.Second

// gauges exports the state of the other components as metrics. Request counters are kept
// in package meter, where requests end.
type gauges struct {
	group group.Group
	parts gaugeParts

	callers callerGauges
}

type gaugeParts struct {
	fx.In
	Platform    Platform
	Front       *front.Front
	Meter       *meter.Meter
	Coordinator *coordinator
	Hub         *poll.Hub
	State       *state.State
	Record      *record.Writer
	Poller      *poller
	Servers     *serverTracker
	Fetcher     *fetcher
	Rules       *ruleManager
	Quarantine  *quarantine
	Dialer      *dial.Dialer
	Tunnels     *tunnel.Server
	Egress      *egress.Budget
	Fleet       *fleetLoad
	Log         *slog.Logger
}

func newGauges(lc fx.Lifecycle, p gaugeParts) *gauges {
	g := &gauges{parts: p, callers: callerGauges{log: p.Log}}
	runWhileStarted(lc, &g.group, g.run)
	return g
}

func (g *gauges) run(ctx context.Context) error {
	for group.Sleep(ctx, gaugeInterval) {
		g.updateLeader(clock.Now())
		g.updateRules(time.Now())
		g.updateStoreCalls()
		g.updateControlBytes()
		for name, svc := range g.parts.State.Services() {
			g.updateGate(string(name), svc.Gate.Stats())
		}
		suspects, quarantined := g.parts.Quarantine.count()
		g.set("suspects", float64(suspects))
		g.set("quarantined", float64(quarantined))
		g.callers.update(time.Now(), g.parts.Front.Held(), g.set)
		g.set("decisions_left_out", float64(g.parts.Record.Lost()))
		g.updatePaths()
		g.updateEgress()
		g.updateEvacuations(time.Now())
		g.updateFleet(clock.Now())
	}
	return nil
}

func (g *gauges) set(name string, v float64) { g.parts.Meter.Gauge(name).Update(v) }

// updateLeader sets the gauges for leadership: whether this VM leads, how long it may
// lead without the store, and how many VMs there are.
func (g *gauges) updateLeader(now time.Time) {
	m := g.parts.Coordinator.model()
	leads, remaining := 0.0, 0.0
	if m.Role() == elect.Leader {
		leads, remaining = 1, m.Until().Sub(now).Seconds()
	}
	g.set("leads", leads)
	g.set("lead_left_seconds", remaining)
	g.set("lead_epoch", float64(m.Lease().Epoch))
	g.set("store_era", float64(g.parts.Coordinator.storeEra()))
	g.set("store_confirmed_seconds", max(g.parts.Hub.ConfirmedFor(now), 0).Seconds())
	g.set("vms", float64(g.parts.Hub.VMs(time.Now())))
	_, servers := g.parts.Hub.Revs()
	g.set("servers_rev", float64(object.Version(servers).Revision()))
	known, rejected := g.parts.Servers.counts()
	g.set("servers_known", float64(known))
	g.set("servers_rejected", float64(rejected))
}

// updateRules sets the gauges for the revision in force, the newest known revision, how
// long the first has been behind the second, and the number of refused revisions.
func (g *gauges) updateRules(now time.Time) {
	rules := &g.parts.State.Rules
	behind, refused := g.parts.Rules.lag(now)
	g.set("rules_rev", float64(rules.Current().Rev))
	g.set("rules_newest", float64(rules.Newest()))
	g.set("rules_behind_seconds", behind.Seconds())
	g.set("rules_refused", float64(refused))
}

// updateStoreCalls sets the gauges for calls to the store.
func (g *gauges) updateStoreCalls() {
	if g.parts.Platform.Calls == nil {
		return
	}
	for kind, n := range g.parts.Platform.Calls() {
		g.parts.Meter.Tagged(map[string]string{"call": kind}).Gauge("store_calls").Update(float64(n))
	}
}

// updateControlBytes sets the gauges for control traffic, by cause.
func (g *gauges) updateControlBytes() {
	set := func(cause string, f *flow.Counter) {
		g.parts.Meter.Tagged(map[string]string{"cause": cause}).Gauge("control_bytes").Update(float64(f.Bytes()))
	}
	set("exchange", &g.parts.Poller.client.Counter)
	set("rules", &g.parts.Fetcher.client.Counter)
	for cause, f := range g.parts.Platform.Bytes {
		set(cause, f)
	}
}

// updatePaths sets the gauges for the paths to backend servers.
func (g *gauges) updatePaths() {
	cutOff := 0.0
	if g.parts.Dialer.CutOff() {
		cutOff = 1
	}
	g.set("cut_off", cutOff)
	g.set("paths_lost", float64(g.parts.Dialer.LostPaths()))
	g.set("tunnels_open", float64(g.parts.Tunnels.Open()))
	g.set("tunnels_total", float64(g.parts.Tunnels.Total()))
}

// updateEvacuations sets a gauge for each data centre that is or was evacuated: for how long
// this VM has known of it, or zero.
func (g *gauges) updateEvacuations(now time.Time) {
	for centre, d := range g.parts.Servers.evacuatedFor(now) {
		g.parts.Meter.Tagged(map[string]string{"centre": string(centre)}).Gauge("evacuated_seconds").Update(d.Seconds())
	}
}

// updateFleet sets the gauges for what is known of the load of all servers.
func (g *gauges) updateFleet(now time.Time) {
	s := g.parts.Fleet.stats(now)
	g.set("fleet_entries", float64(s.entries))
	g.set("fleet_entry_age_seconds", s.meanAge.Seconds())
	g.set("fleet_samples_sent", float64(s.samplesSent))
	for svc, silent := range s.silent {
		v := 0.0
		if silent {
			v = 1
		}
		g.parts.Meter.Tagged(map[string]string{"service": string(svc)}).Gauge("full_servers_silent").Update(v)
	}
}

// updateGate sets the gauges of one service's gate.
func (g *gauges) updateGate(svc string, s gate.Stats) {
	scope := g.parts.Meter.Tagged(map[string]string{"service": svc})
	scope.Gauge("gate_waiting").Update(float64(s.Waiting))
	scope.Gauge("gate_held").Update(float64(s.Held))
	scope.Gauge("gate_running").Update(float64(s.Running))
	scope.Gauge("gate_ejected").Update(float64(s.Ejected))
	scope.Gauge("gate_cold").Update(float64(s.Cold))
	scope.Gauge("gate_refused_cold").Update(float64(s.RefusedCold))
	scope.Gauge("gate_limited").Update(float64(s.Limited))
	scope.Gauge("gate_refused_limited").Update(float64(s.RefusedLimited))
	scope.Gauge("gate_shedding").Update(float64(s.Shedding))
	scope.Gauge("gate_refused_shedding").Update(float64(s.RefusedShedding))
	scope.Gauge("gate_stalled").Update(float64(s.Stalled))
	scope.Gauge("gate_stalled_retried").Update(float64(s.StalledRetried))
	scope.Gauge("gate_stalled_left").Update(float64(s.StalledLeft))
	scope.Gauge("gate_places_delayed").Update(float64(s.PlacesDelayed))
	scope.Gauge("gate_refused_places").Update(float64(s.RefusedPlaces))
	scope.Gauge("gate_retries").Update(float64(s.Retries))
	scope.Gauge("gate_budget").Update(s.Budget)
	for _, e := range s.Costs {
		rule := g.parts.Meter.Tagged(map[string]string{"service": svc, "rule": e.Rule})
		rule.Gauge("cost_mean_seconds").Update(e.Mean.Seconds())
		rule.Gauge("cost_high_seconds").Update(e.High.Seconds())
	}
	for k, n := range s.Refused {
		g.parts.Meter.Tagged(map[string]string{"service": svc, "kind": k.String()}).Gauge("gate_refused").Update(float64(n))
	}
}
