package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// The load pattern is uploads for keys among lookups for keys. A key's request
// has only its owner to go to; ten VMs that each use half of the owner's slots
// for uploads leave nothing for lookups. So an upload starts at an owner only
// with the owner's token, which goes round among the VMs, and only when the
// owner's last report showed a free slot, or its turn was passed over too often.
//
// Reports alone were tried and made it worse: all VMs see the same free slot and
// all take it.

// passes is how many turns of the token a long request lets go by while the
// owner reports that all its slots are taken. Without an end, uploads would wait
// for ever at an owner that is busy with lookups.
const passes = 5

// turns of the token at one server.
type turn struct {
	used   int64 // the last window in which a long request was started
	seen   int64 // the last window that was passed over
	passed int   // in a row
}

// longRoom reports whether a long request may start at the owner of its key.
func (c *Core) longRoom(now time.Time, s *server) bool {
	if !c.mix.Mixed(now) {
		return true
	}
	if s.long >= max(s.info.Slots/2, 1) {
		return false
	}
	at, holds := c.token(s).Window(now, s.idx)
	if !holds || s.turn.used == at {
		return false
	}
	if !s.crowded(now) || s.turn.passed >= passes {
		return true
	}
	if s.turn.seen != at {
		s.turn.seen = at
		s.turn.passed++
	}
	return false
}

func (c *Core) token(s *server) sizes.Token {
	return sizes.NewToken(c.share, time.Duration(c.pace[sizes.Long]*float64(time.Second)), s.info.Slots)
}

// crowded reports whether the last report says that all slots are taken.
func (s *server) crowded(now time.Time) bool {
	return s.told >= s.info.Slots && !s.toldAt.IsZero() && now.Sub(s.toldAt) < toldFresh
}

// toldFresh is how long a report is taken for what is: the time between two.
const toldFresh = time.Second

// useTurn notes that a long request starts with the token.
func (c *Core) useTurn(now time.Time, s *server) {
	at, _ := c.token(s).Window(now, s.idx)
	s.turn = turn{used: at}
}
