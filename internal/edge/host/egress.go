package host

import (
	"log/slog"

	"hawthornfield.org/hawthornfield/internal/load/egress"
)

// newEgress returns the budget for response bytes, and logs whether there is one.
func newEgress(cfg Config, log *slog.Logger) *egress.Budget {
	b := egress.New(cfg.Link, cfg.Memory)
	log.Info("response budget", "link", cfg.Link, "memory", cfg.Memory, "on", b.Bounded())
	return b
}

// updateEgress sets the gauges of the budget for response bytes. It also takes over whether
// the rules in force have large responses, for a VM that gets no request after a change.
func (g *gauges) updateEgress() {
	b := g.parts.Egress
	if !b.Bounded() {
		return
	}
	b.SetOn(g.parts.State.Rules.Current().Set.HasLarge())
	s := b.Stats()
	on := 0.0
	if s.On {
		on = 1
	}
	g.set("egress_on", on)
	g.set("egress_held_bytes", float64(s.Held))
	g.set("egress_flight_bytes", float64(s.Flight))
	g.set("egress_waiting", float64(s.Waiting))
	g.set("egress_refused", float64(s.Refused))
	g.set("egress_readers_disconnected", float64(s.Disconnected))
}
