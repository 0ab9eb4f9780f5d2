package host

import (
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/front"
)

// turnedAwayInterval is the shortest time between two log lines about callers who were turned
// away for what they make this VM hold.
const turnedAwayInterval = 10 * time.Second

// callerGauges export what callers make this VM hold, and log who is turned away for that.
type callerGauges struct {
	log    *slog.Logger
	logged front.Held
	nextAt time.Time
}

// update sets the gauges, and logs what has changed since the last line.
func (c *callerGauges) update(now time.Time, h front.Held, set func(name string, v float64)) {
	set("callers_conns", float64(h.Conns))
	set("callers_head_bytes", float64(h.HeadBytes))
	set("callers_body_bytes", float64(h.BodyBytes))
	set("callers_dropped", float64(h.Dropped))
	set("callers_evicted", float64(h.ConnsEvicted))
	set("callers_conns_refused", float64(h.ConnsRefused))
	set("callers_heads_refused", float64(h.HeadsRefused))
	set("callers_long_heads", float64(h.LongHeads))
	set("callers_bodies_refused", float64(h.BodiesRefused))
	set("callers_bodies_gave_way", float64(h.BodiesGaveWay))
	if h.TurnedAway() == c.logged.TurnedAway() || now.Before(c.nextAt) {
		return
	}
	c.log.Warn("callers turned away for what they make this VM hold",
		"conns", h.Conns, "heads", h.HeadBytes, "bodies", h.BodyBytes,
		"evicted", h.ConnsEvicted-c.logged.ConnsEvicted, "unread", h.ConnsRefused-c.logged.ConnsRefused,
		"headsrefused", h.HeadsRefused-c.logged.HeadsRefused, "longheads", h.LongHeads-c.logged.LongHeads,
		"bodiesrefused", h.BodiesRefused-c.logged.BodiesRefused, "gaveway", h.BodiesGaveWay-c.logged.BodiesGaveWay)
	c.logged, c.nextAt = h, now.Add(turnedAwayInterval)
}
