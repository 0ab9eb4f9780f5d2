package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

// This file handles uploads for keys among lookups for keys. A key's request can only
// go to the key's owner, and ten VMs that each use half of the owner's slots for
// uploads leave nothing for lookups. So an upload starts at an owner only with the
// owner's token, which passes from VM to VM in windows of time (see [sizes.Token]), and
// only if the owner's last report showed a free slot, or after the upload has let
// the token pass maxSkippedWindows times.
//
// Reports without the token make it worse: all VMs see the same free slot and all take
// it.

// maxSkippedWindows is how many windows of the token a long request skips while the
// owner reports that all its slots are taken. Without a bound, uploads would wait for
// ever at an owner that is busy with lookups.
const maxSkippedWindows = 5

// tokenUse records this VM's use of the token at one server.
type tokenUse struct {
	usedWindow    int64 // the last window in which a long request was started
	skippedWindow int64 // the last window that was skipped
	skipped       int   // windows skipped in a row
}

// mayStartLongKeyed reports whether a long request may start at the owner of its key.
func (c *Core) mayStartLongKeyed(now time.Time, s *server) bool {
	if !c.classifier.Mixed(now) {
		return true
	}
	if s.runningLong >= max(s.info.Slots/2, 1) {
		return false
	}
	at, holds := c.longToken(s).Window(now, s.idx)
	if !holds || s.tokenUse.usedWindow == at {
		return false
	}
	if !s.reportedFull(now) || s.tokenUse.skipped >= maxSkippedWindows {
		return true
	}
	if s.tokenUse.skippedWindow != at {
		s.tokenUse.skippedWindow = at
		s.tokenUse.skipped++
	}
	return false
}

func (c *Core) longToken(s *server) sizes.Token {
	return sizes.NewToken(c.share, time.Duration(c.avgLatency[sizes.Long]*float64(time.Second)), s.info.Slots)
}

// reportedFull reports whether a recent report says that all slots are taken.
func (s *server) reportedFull(now time.Time) bool {
	return s.reportedLoad >= s.info.Slots && !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportLifetime
}

// reportLifetime is how long a report counts as current: the time between two reports.
const reportLifetime = time.Second

// useToken records that a long request starts with the token.
func (c *Core) useToken(now time.Time, s *server) {
	at, _ := c.longToken(s).Window(now, s.idx)
	s.tokenUse = tokenUse{usedWindow: at}
}
