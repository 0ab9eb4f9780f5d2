package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/pick"
)

// The load pattern is a hundred entry VMs, each with a few requests a second, before a
// hundred servers. Taken in turn, every VM comes to every server once in half a minute,
// which is longer than a server keeps an idle connection: nearly each request opens a
// new one, a millisecond of the server's time each. So a VM prefers the servers that it
// used a moment ago. It still takes them in turn, so that some ten share its requests,
// and leaves them as soon as another looks clearly better.
//
// Grounds: what is used within warmFor stays well within the idle time of any server,
// whole seconds, and bounds the servers in use to what a VM asks in that time. With
// fewer requests than that nothing is warm, and with many all are: both are as without.

const (
	// warmFor is for how long after its last request a server counts as warm.
	warmFor = 2 * time.Second
	// warmGain is how much worse a warm server may look and still be taken. What a VM
	// knows of equal servers differs by up to that by chance, see pick.Clear.
	warmGain = pick.Clear
)

// warmer returns a warm server to be taken in place of i, or i.
func (c *Core) warmer(now time.Time, i, skip int) int {
	for c.warm.Len() > 0 {
		w := c.warm.Two(c.rng, skip, c.score)
		if now.Sub(c.servers[w].usedAt) > warmFor {
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

// setWarm notes whether a server that may be preferred was used a moment ago.
func (c *Core) setWarm(now time.Time, s *server, room bool) {
	near := c.cfg.Centre == "" || s.info.Centre == c.cfg.Centre
	c.warm.Put(s.idx, room && near && now.Sub(s.usedAt) <= warmFor)
}
