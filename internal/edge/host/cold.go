package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/load/warmup"
)

const (
	// coldGrace is how much longer than stated a server counts as cold, unless its entry says
	// that it is warm: its entry arrives late.
	coldGrace = time.Second
	// returnedColdTime is how long the servers of a data centre count as cold after its
	// evacuation has ended. They may be, and their entries say so two heartbeats later.
	returnedColdTime = 2500 * time.Millisecond
)

// coldEntry is when this VM first saw an entry whose server is cold.
type coldEntry struct {
	rev uint64
	at  time.Time
}

// trackCold records which servers are cold by their entries. The caller holds mu.
func (t *serverTracker) trackCold(now time.Time, list []feed.Server) {
	next := make(map[ident.Server]coldEntry)
	for _, s := range list {
		if s.Cold <= 0 {
			continue
		}
		next[s.Name] = coldEntry{rev: s.Rev, at: now}
		if seen, ok := t.coldEntries[s.Name]; ok && seen.rev == s.Rev {
			next[s.Name] = seen
		}
	}
	t.coldEntries = next
}

// coldFor returns how much longer a server is expected to be cold; zero if it is warm. The
// caller holds mu.
func (t *serverTracker) coldFor(now time.Time, s feed.Server) time.Duration {
	left := time.Duration(0)
	if seen, ok := t.coldEntries[s.Name]; ok {
		left = seen.at.Add(s.Cold + coldGrace).Sub(now)
	}
	if at := t.evacuated.ReturnedAt(s.Centre); !at.IsZero() {
		left = max(left, at.Add(returnedColdTime).Sub(now))
	}
	return max(left, 0)
}

// cappedFor returns how much longer a server must get only few requests. The caller holds
// mu.
func (t *serverTracker) cappedFor(now time.Time, s feed.Server) time.Duration {
	if t.services[s.Service].ColdRate <= 0 {
		return 0
	}
	return t.coldFor(now, s)
}

// gateInfo returns what the gate needs to know of a server. The caller holds mu.
func (t *serverTracker) gateInfo(now time.Time, s feed.Server) gate.ServerInfo {
	svc := t.services[s.Service]
	_, evacuated := t.evacuated.Evacuated(s.Centre)
	info := gate.ServerInfo{
		Name: s.Name, Centre: s.Centre, Incarnation: s.Incarnation, Slots: s.Slots, Conns: svc.Conns, Cold: s.Cold > 0, Drain: t.isLeaving(s) || evacuated,
		Limited: t.notices.of(s.Process()).Limited,
	}
	if left := t.cappedFor(now, s); left > 0 {
		info.Cold, info.Capped, info.CappedFor = true, true, left
		info.StartCap = warmup.Allowance(svc.ColdRate, t.coldOverrun, t.coldSlack)
	}
	return info
}

// markCapped updates which servers are capped. The caller holds mu.
func (t *serverTracker) markCapped(now time.Time, list []feed.Server) {
	next := map[ident.Server]bool{}
	t.warmAt = time.Time{}
	for _, s := range list {
		left := t.cappedFor(now, s)
		if left == 0 {
			continue
		}
		next[s.Name] = true
		if at := now.Add(left); t.warmAt.IsZero() || at.Before(t.warmAt) {
			t.warmAt = at
		}
	}
	if !maps.Equal(next, t.capped) {
		t.log.Info("cold servers", "rev", t.rev, "cold", len(next), "before", len(t.capped))
	}
	t.capped = next
}

// warmDue reports whether a capped server should be warm by now. The caller holds mu.
func (t *serverTracker) warmDue(now time.Time) bool {
	return !t.warmAt.IsZero() && !now.Before(t.warmAt)
}

// cappedServers returns the cold servers whose requests are limited.
func (t *serverTracker) cappedServers() []warmup.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.capped) == 0 {
		return nil
	}
	var all []warmup.Server
	for _, s := range t.list() {
		if t.capped[s.Name] {
			all = append(all, warmup.Server{Name: s.Name, Centre: s.Centre})
		}
	}
	return all
}

// borrow lets this VM use cold servers that the leader lent to it in response to a poll.
func (t *serverTracker) borrow(asked time.Time, lent []ident.Server) {
	t.logBorrowed(lent)
	if len(lent) == 0 {
		return
	}
	until := time.Now().Add(asked.Add(warmup.LoanTime).Sub(clock.Now()))
	for _, svc := range t.state.Services() {
		svc.Gate.Lend(lent, until)
	}
}

// logBorrowed logs a change of the cold servers that are lent to this VM.
func (t *serverTracker) logBorrowed(lent []ident.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(lent, t.borrowed) {
		t.borrowed = lent
		t.log.Info("cold servers lent to this VM", "rev", t.rev, "servers", lent)
	}
}

// coldBounds returns the bounds of cold servers; a platform without them allows the stated
// rate.
func coldBounds(b Bounds) (overrun, slack float64) { return cmp.Or(b.ColdOverrun, 1), b.ColdSlack }
