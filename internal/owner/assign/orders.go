package assign

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// dueOrders returns the releases, grants and renewals that are due now.
func (m *Model) dueOrders(now time.Time) []loop.Cmd {
	releases := map[ident.Server][]Order{}
	grants := map[ident.Server][]Order{}
	for i := range m.rows {
		r, s := &m.table.Rows[i], &m.rows[i]
		if s.phase == releasing && !now.Before(m.prevOwnerExpiry(s)) && !m.grantsInFlight(r.PrevOwner) {
			unverified := r.Kept
			m.markReleased(r, s, "")
			m.markDirty(now)
			if unverified {
				s.phase, m.nextPlan = vacant, time.Time{} // the next plan raises its fence
			}
		}
		switch s.phase {
		case releasing:
			if b := m.backends[r.Owner]; b != nil && b.keepDue(now, s) && b.Incarnation == r.Incarnation {
				grants[r.Owner] = append(grants[r.Owner], m.newKeepGrant(now, b, r, s))
			}
			if b := m.backends[r.PrevOwner]; b != nil && !r.Lost && !b.releasesPending && !now.Before(b.releaseAt) {
				releases[r.PrevOwner] = append(releases[r.PrevOwner], Order{Span: r.Span, Fence: r.Fence, Release: true})
			}
		case granting, granted:
			// A restarted server first gets a new fence: nobody would wait for the expiry
			// of what a new incarnation was granted under the old one.
			if b := m.backends[r.Owner]; b != nil && b.grantDue(now, s.phase) && b.Incarnation == r.Incarnation {
				grants[r.Owner] = append(grants[r.Owner], m.newGrant(now, b, r, s))
			}
		}
	}
	m.addRevivals(now, releases, grants)
	var out []loop.Cmd
	// Send in sorted order, so that the same messages always give the same commands.
	for _, name := range slices.Sorted(maps.Keys(releases)) {
		b := m.backends[name]
		b.releasesPending = true
		out = append(out, m.newOrderCmd(b, releases[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(grants)) {
		out = append(out, m.grantCmd(now, m.backends[name], grants[name]))
	}
	return out
}

// addRevivals adds a release to each silent server that has nothing else to answer. Without
// it, a server that lost all its keys would count as silent for good. A release changes
// nothing at a server without keys.
func (m *Model) addRevivals(now time.Time, releases, grants map[ident.Server][]Order) {
	if len(m.table.Rows) == 0 {
		return
	}
	for name, b := range m.backends {
		busy := b.grantsPending || b.releasesPending || len(releases[name]) > 0 || len(grants[name]) > 0
		if !b.listed || b.replaced || b.silentSince.IsZero() || busy || now.Before(b.reviveAt) {
			continue
		}
		if i := m.rowWithout(name); i >= 0 {
			b.reviveAt = now.Add(reviveInterval)
			r := &m.table.Rows[i]
			releases[name] = []Order{{Span: r.Span, Fence: r.Fence, Release: true}}
		}
	}
}

// rowWithout returns a row that a server neither owns nor has to release, or -1.
func (m *Model) rowWithout(s ident.Server) int {
	return slices.IndexFunc(m.table.Rows, func(r ranges.Row) bool { return r.Owner != s && r.PrevOwner != s && !r.Lost })
}

// grantsInFlight reports whether grants to a server are unanswered. Their expiry is unknown
// until it is known when they were sent.
func (m *Model) grantsInFlight(s ident.Server) bool {
	b := m.backends[s]
	return b != nil && b.grantsPending && m.flaw != flawIgnoreInFlight
}

// grantDue reports whether a grant in the given phase should be sent now. Between renewals,
// only rows that the server does not have yet are due.
func (b *backend) grantDue(now time.Time, s phase) bool {
	if b.grantsPending || now.Before(b.pausedUntil) {
		return false
	}
	return s == granting || !now.Before(b.renewAt)
}

func (m *Model) newGrant(now time.Time, b *backend, r *ranges.Row, s *rowState) Order {
	o := Order{Span: r.Span, Fence: r.Fence, TTL: m.capGrant(GrantTTL), Token: s.token}
	if m.auth.LongGrants || now.Before(b.lossyUntil) || m.overloaded(now) {
		o.TTL = m.capGrant(LongGrantTTL)
	}
	return o
}

// renewInterval returns the time until the next renewal of a server's grants.
func (m *Model) renewInterval(now time.Time) time.Duration {
	if m.overloaded(now) {
		return min(SlowRenewInterval, m.capGrant(LongGrantTTL)/minSlowRenewals)
	}
	return min(RenewInterval, m.capGrant(GrantTTL)/minRenewals)
}

func (m *Model) newOrderCmd(b *backend, list []Order) OrderCmd {
	return OrderCmd{Server: b.Name, Incarnation: b.Incarnation, Addr: b.Addr, Until: m.auth.Until, Orders: list}
}

// grantCmd returns the due grants for one server. A silent server gets only a few at a
// time: it may execute each without an answer, and would then block its keys for another
// GrantTTL.
func (m *Model) grantCmd(now time.Time, b *backend, list []Order) OrderCmd {
	if !b.silentSince.IsZero() {
		list = list[:min(len(list), silentProbes)]
	}
	if !now.Before(b.renewAt) {
		b.renewAt = now.Add(m.renewInterval(now))
	}
	b.grantsPending = true
	return m.newOrderCmd(b, list)
}

// markReleased records that a row's previous owner no longer has it.
func (m *Model) markReleased(r *ranges.Row, s *rowState, token string) {
	s.phase, s.token, s.prevExpiry, s.prevInherited = granting, token, time.Time{}, false
	s.keepFence, s.keptAt = 0, time.Time{}
	if r.Owner == "" {
		s.phase = vacant
	}
	r.PrevOwner, r.Lost, r.Kept = "", false, false
}

// ordersDone handles the results of orders.
func (m *Model) ordersDone(now time.Time, msg OrderResultMsg) []loop.Cmd {
	b := m.backends[msg.Server]
	if b == nil {
		return nil
	}
	if len(msg.Results) == 0 || !msg.Results[0].Release {
		b.grantsPending = false
	} else {
		b.releasesPending = false
	}
	var out []loop.Cmd
	answered, missed := 0, 0
	waited := time.Duration(0)
	for _, d := range msg.Results {
		if d.Release {
			m.releaseDone(now, b, d)
			if d.Kind == kinds.None {
				answered++
			}
			continue
		}
		waited += d.Waited
		out = append(out, m.grantDone(b, msg.Incarnation, d)...)
		if d.Kind == kinds.None || d.Kind == kinds.Fenced {
			answered++
		} else {
			missed++
		}
	}
	out = append(out, m.noteQueueWait(now, b, waited)...)
	return append(out, m.updateHealth(now, b, answered, missed)...)
}

// noteQueueWait starts the overload period if the grants of one server waited too long in
// this VM's own queue.
func (m *Model) noteQueueWait(now time.Time, b *backend, d time.Duration) []loop.Cmd {
	if d < maxQueueWait {
		return nil
	}
	before := m.overloaded(now)
	m.overloadedUntil = now.Add(overloadPeriod)
	if before {
		return nil
	}
	return []loop.Cmd{LogCmd{Event: "grants go out late", Server: b.Name, Rows: len(m.rows), Reason: "they waited here for " + d.String()}}
}

// updateHealth judges a server by how many of its grants were answered.
func (m *Model) updateHealth(now time.Time, b *backend, answered, missed int) []loop.Cmd {
	switch {
	case answered > 0 && missed > 0:
		b.lossyUntil, b.pausedUntil = now.Add(lossyPeriod), now.Add(retryDelay/2)
	case missed > 0:
		b.pausedUntil = now.Add(retryDelay)
	}
	switch {
	case answered > 0 && !b.silentSince.IsZero():
		b.silentSince, b.renewAt = time.Time{}, time.Time{}
		return []loop.Cmd{LogCmd{Event: "server answers again", Server: b.Name}}
	case answered == 0 && missed > 0 && b.silentSince.IsZero():
		b.silentSince = now
		return []loop.Cmd{LogCmd{Event: "server does not answer", Server: b.Name, Reason: b.lastHeard(now)}}
	}
	return nil
}

// lastHeard says when the server last answered requests of any VM.
func (b *backend) lastHeard(now time.Time) string {
	if b.heardAt.IsZero() {
		return "no VM has reported answers of it"
	}
	return "it last answered requests " + now.Sub(b.heardAt).Round(time.Millisecond).String() + " ago"
}

// releaseDone handles the answer to a release. A server whose address now belongs to another
// one has ended, and holds no keys any more.
func (m *Model) releaseDone(now time.Time, b *backend, d OrderResult) {
	r, s := m.findRow(d.Order)
	if d.Kind != kinds.None && d.Kind != kinds.Misrouted {
		b.releaseAt = now.Add(retryDelay)
		return
	}
	if r == nil || s.phase != releasing || r.PrevOwner != b.Name || r.Lost {
		return
	}
	m.markReleased(r, s, d.Token)
	m.markDirty(now)
}

// markDirty records that the table here is newer than the stored one.
func (m *Model) markDirty(now time.Time) {
	if m.dirtySince.IsZero() {
		m.dirtySince = now
	}
}

// findRow returns the row that an order was for, or nil if it has changed since.
func (m *Model) findRow(o Order) (*ranges.Row, *rowState) {
	i := m.table.Find(o.First)
	if i >= len(m.table.Rows) || m.table.Rows[i].Span != o.Span || m.table.Rows[i].Fence != o.Fence {
		return nil, nil
	}
	return &m.table.Rows[i], &m.rows[i]
}

// grantDone handles the answer to a grant.
func (m *Model) grantDone(b *backend, incarnation int64, d OrderResult) []loop.Cmd {
	if d.Kind != kinds.Unavailable && d.Kind != kinds.Misrouted {
		// It may have been executed even without an answer: the next owner waits for its expiry.
		m.extendExpiry(b, d)
	}
	if r, s := m.findKept(d.Order); r != nil && r.Owner == b.Name && incarnation == r.Incarnation {
		return m.keepDone(b, r, s, d)
	}
	r, s := m.findRow(d.Order)
	same := r != nil && r.Owner == b.Name && (s.phase == granting || s.phase == granted)
	switch d.Kind {
	case kinds.None:
		if same && incarnation == r.Incarnation {
			s.phase, s.token = granted, ""
		}
	case kinds.Fenced, kinds.Malformed:
		if !same {
			return nil // its keys have been reassigned meanwhile
		}
		if d.Kind == kinds.Fenced && (m.returned || m.era > 1) && d.Sent.Before(m.auth.OldTermEnd) {
			// A leader of whom the store has lost everything may have moved the keys.
			s.phase, s.prevInherited, s.oldTermEnd = releasing, true, time.Time{}
			r.PrevOwner, r.Lost, r.Kept = "", true, true
			m.markDirty(d.Sent)
			return []loop.Cmd{LogCmd{Event: "grant refused", Server: b.Name, Rows: 1, Reason: "the keys may have been moved in the time that the store has lost"}}
		}
		s.phase = vacant // the next plan raises its fence
		m.nextPlan = time.Time{}
		return []loop.Cmd{LogCmd{Event: "grant refused", Server: b.Name, Rows: 1, Reason: d.Kind.String()}}
	case kinds.Misrouted:
		m.nextPlan = time.Time{}
		if !b.replaced {
			b.replaced = true
			return []loop.Cmd{LogCmd{Event: "another server has the address", Server: b.Name}}
		}
	default:
		if same {
			s.phase = granting // retried soon, and not only at the next renewal
		}
	}
	return nil
}

// extendExpiry records a grant on every row that it covers and that the server owns or has
// not released.
func (m *Model) extendExpiry(b *backend, d OrderResult) {
	latest := d.Sent.Add(d.Delay)
	if m.flaw == flawIgnoreDelay {
		latest = d.Sent
	}
	for i := m.table.Find(d.First); i < len(m.table.Rows) && m.table.Rows[i].First <= d.Last; i++ {
		r, s := &m.table.Rows[i], &m.rows[i]
		switch {
		case r.Owner == b.Name:
			s.expiry = later(s.expiry, grantExpiry(latest, d.TTL))
		case s.phase == releasing && (r.PrevOwner == b.Name || r.Lost):
			s.prevExpiry = later(s.prevExpiry, grantExpiry(latest, d.TTL))
		}
	}
}
