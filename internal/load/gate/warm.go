package gate

import (
	"math"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/pick"
)

// The load pattern is a hundred entry VMs, each with a few requests a second, before a
// hundred servers. Taken in turn, every VM comes to every server once in half a minute,
// which is longer than a server keeps an idle connection: nearly each request opens a
// new one, a millisecond of the server's time each. So where the turn comes to a server
// that this VM has not used for a while, it takes one that it has. It still takes those
// in turn, so that some ten share its requests, and leaves them as soon as another looks
// clearly better. Where it has requests enough to keep all warm, turns decide alone: a VM
// that never tries a server does not learn that it is the better one.

const (
	// warmFor is for how long after its last request a server counts as warm. Servers
	// keep an idle connection for whole seconds, and the relay uses none that was idle
	// for longer than 4 s where they do not say; the rest is for the request's way.
	warmFor = 3 * time.Second
	// warmGain is how much worse a warm server may look and still be taken. What a VM
	// knows of equal servers differs by up to that by chance, see pick.Clear.
	warmGain = pick.BetterFactor
)

// warmer returns i, or a warm server to be taken in its place.
func (c *Core) warmer(now time.Time, i, skip int) int {
	choice := c.near.Len()
	if c.cfg.Centre == "" {
		choice = c.open.Len()
	}
	if !c.isCold(now, i) || c.recent(now) >= float64(choice) {
		return i
	}
	for c.warm.Len() > 0 {
		w := c.warm.Choose(c.rng, skip, c.score)
		if c.isCold(now, w) {
			c.warm.Put(w, false)
			continue
		}
		if w != skip && c.score(w) <= c.score(i)*warmGain {
			return w
		}
		break
	}
	return i
}

// recent is how many requests were sent lately, older ones for less: at a steady rate as
// many as in warmFor.
func (c *Core) recent(now time.Time) float64 {
	return c.sent * math.Exp(-now.Sub(c.sentAt).Seconds()/warmFor.Seconds())
}

func (c *Core) isCold(now time.Time, i int) bool { return now.Sub(c.servers[i].usedAt) > warmFor }

// setWarm notes whether a server that may be preferred was used a moment ago.
func (c *Core) setWarm(now time.Time, s *server, room bool) {
	near := c.cfg.Centre == "" || s.info.Centre == c.cfg.Centre
	c.warm.Put(s.idx, room && near && !c.isCold(now, s.idx))
}
