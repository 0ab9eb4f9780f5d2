package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/warmup"
)

// This file handles a cold server that tolerates a few requests a second from all VMs
// together (package warmup). Requests that may go anywhere are sent to other servers;
// those for its keys are refused at once with the time to come back, because a queue of
// them would only end with the cold.

// startCap bounds the requests that this VM starts on a cold server. The zero value sets no
// bound.
type startCap struct {
	capped    bool
	limit     int       // starts within a warmup.Window
	warmAt    time.Time // when the server is expected to be warm
	lentUntil time.Time // until then this VM may send requests there
	starts    warmup.Starts
}

func (p *startCap) set(now time.Time, info ServerInfo) {
	p.capped, p.limit, p.warmAt = info.Capped, info.StartCap, now.Add(info.CappedFor)
}

func (p *startCap) noteStart(now time.Time) {
	if p.capped {
		p.starts.Add(now)
	}
}

// closed reports whether this VM may send the server no requests at all.
func (p *startCap) closed(now time.Time) bool {
	return p.capped && (p.limit <= 0 || !now.Before(p.lentUntil))
}

// delay returns how long the next start must wait; zero if it need not.
func (p *startCap) delay(now time.Time) time.Duration {
	switch {
	case !p.capped:
		return 0
	case p.closed(now):
		return max(p.warmAt.Sub(now), minRetryAfter)
	default:
		return p.starts.Next(now, p.limit)
	}
}

// Lend lets this VM send requests to some cold servers until a time.
func (c *Core) Lend(now time.Time, names []ident.Server, until time.Time) {
	lent := false
	for _, name := range names {
		if s := c.byName[name]; s != nil {
			lent = lent || s.cap.closed(now)
			s.cap.lentUntil = until
		}
	}
	if lent {
		c.refresh(now)
	}
}

// capDelay returns how long it takes until some server that is closed only because it is
// cold may get a request; zero if there is none.
func (c *Core) capDelay(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, s := range c.servers {
		if s.info.Drain || !s.cap.closed(now) {
			continue
		}
		if d := s.cap.delay(now); shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}
