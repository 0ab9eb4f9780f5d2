package gate

import (
	"math"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/pick"
)

// This file handles a hundred entry VMs, each with a few requests a second, in front of
// a hundred servers. With plain round robin, every VM reaches every server once in half
// a minute, which is longer than a server keeps an idle connection: nearly each request
// opens a new one, which costs the server a millisecond. So if round robin comes to a
// server that this VM has not used for a while, it chooses a warm one instead: one that
// it used recently. It uses round robin among those too, so that some ten servers share
// its requests, and leaves them as soon as another looks clearly better. A VM with
// enough requests to keep all connections warm uses plain round robin: if it never tries
// a server it does not learn that it is the better one.

const (
	// warmFor is how long after its last request a server counts as warm. Servers keep
	// an idle connection for whole seconds, and the relay uses none that was idle for
	// longer than 4 s unless the server states its timeout; the difference allows for
	// the request's way there.
	warmFor = 3 * time.Second
	// warmPreference is the factor by which a warm server's score may be worse. Scores
	// of equal servers differ by up to that by chance, see [pick.BetterFactor].
	warmPreference = pick.BetterFactor
)

// preferWarm returns i, or the index of a warm server to use instead.
func (c *Core) preferWarm(now time.Time, i, skip int) int {
	candidates := c.availableLocal.Len()
	if c.cfg.Centre == "" {
		candidates = c.available.Len()
	}
	if !c.isCold(now, i) || c.recentStarts(now) >= float64(candidates) {
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

// recentStarts returns a decaying count of the requests sent: at a steady rate, as many
// as are sent within warmFor.
func (c *Core) recentStarts(now time.Time) float64 {
	return c.startCount * math.Exp(-now.Sub(c.startCountAt).Seconds()/warmFor.Seconds())
}

// isCold reports whether this VM has not used a server recently, as opposed to
// ServerInfo.Cold, a server that has just started.
func (c *Core) isCold(now time.Time, i int) bool { return now.Sub(c.servers[i].lastStart) > warmFor }

// updateWarm records whether a server that may be preferred was used recently.
func (c *Core) updateWarm(now time.Time, s *server, room bool) {
	near := c.cfg.Centre == "" || s.info.Centre == c.cfg.Centre
	c.availableWarm.Put(s.idx, room && near && !c.isCold(now, s.idx))
}
