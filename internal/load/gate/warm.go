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
	// warmPreference is how much worse a warm server may look and still be taken. What a VM
	// knows of equal servers differs by up to that by chance, see pick.Clear.
	warmPreference = pick.BetterFactor
)

// preferWarm returns i, or a warm server to be taken in its place.
func (c *Core) preferWarm(now time.Time, i, skip int) int {
	choice := c.availableLocal.Len()
	if c.cfg.Centre == "" {
		choice = c.available.Len()
	}
	if !c.isCold(now, i) || c.recentStarts(now) >= float64(choice) {
		return i
	}
	for c.availableWarm.Len() > 0 {
		w := c.availableWarm.Choose(c.rng, skip, c.score)
		if c.isCold(now, w) {
			c.availableWarm.Put(w, false)
			continue
		}
		if w != skip && c.score(w) <= c.score(i)*warmPreference {
			return w
		}
		break
	}
	return i
}

// recentStarts is how many requests were sent lately, older ones for less: at a steady rate as
// many as in warmFor.
func (c *Core) recentStarts(now time.Time) float64 {
	return c.startCount * math.Exp(-now.Sub(c.startCountAt).Seconds()/warmFor.Seconds())
}

func (c *Core) isCold(now time.Time, i int) bool { return now.Sub(c.servers[i].lastStart) > warmFor }

// updateWarm notes whether a server that may be preferred was used a moment ago.
func (c *Core) updateWarm(now time.Time, s *server, room bool) {
	near := c.cfg.Centre == "" || s.info.Centre == c.cfg.Centre
	c.availableWarm.Put(s.idx, room && near && !c.isCold(now, s.idx))
}
