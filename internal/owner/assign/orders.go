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

// orders gives what is due now: releases, grants, renewals.
func (m *Model) orders(now time.Time) []loop.Cmd {
	releases := map[ident.Server][]Order{}
	grants := map[ident.Server][]Order{}
	for i := range m.rows {
		r, s := &m.table.Rows[i], &m.rows[i]
		if s.phase == freeing && !now.Before(m.free(s)) && !m.flying(r.PrevOwner) {
			m.freed(r, s, "")
			m.soil(now)
		}
		switch s.phase {
		case freeing:
			if p := m.peers[r.PrevOwner]; p != nil && !r.Lost && !p.freeing && !now.Before(p.freeAt) {
				releases[r.PrevOwner] = append(releases[r.PrevOwner], Order{Span: r.Span, Fence: r.Fence, Release: true})
			}
		case granting, granted:
			// A later life of the server gets a fence of its own first: under this one
			// nobody would wait for what it was given.
			if p := m.peers[r.Owner]; p != nil && p.due(now, s.phase) && p.Incarnation == r.Incarnation {
				grants[r.Owner] = append(grants[r.Owner], m.grant(now, p, r, s))
			}
		}
	}
	var out []loop.Cmd
	// In a fixed order, so that the same messages always give the same commands.
	for _, name := range slices.Sorted(maps.Keys(releases)) {
		p := m.peers[name]
		p.freeing = true
		out = append(out, m.order(p, releases[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(grants)) {
		out = append(out, m.give(now, m.peers[name], grants[name]))
	}
	return out
}

// flying reports whether grants are on their way to a server: until it is known
// when they were sent, nobody can say when they have run out.
func (m *Model) flying(s ident.Server) bool {
	p := m.peers[s]
	return p != nil && p.busy && m.flaw != flawFlying
}

// due reports whether a grant in a phase should go out to the server now. Between
// renewals only rows that it does not have yet do.
func (p *peer) due(now time.Time, s phase) bool {
	if p.busy || now.Before(p.pauseTo) {
		return false
	}
	return s == granting || !now.Before(p.renewAt)
}

func (m *Model) grant(now time.Time, p *peer, r *ranges.Row, s *state) Order {
	o := Order{Span: r.Span, Fence: r.Fence, TTL: m.bounded(Hold), Token: s.token}
	if m.auth.LongGrants || now.Before(p.rough) || m.strained(now) {
		o.TTL = m.bounded(LongHold)
	}
	return o
}

// pause is the time until the next renewal of a server's grants.
func (m *Model) pause(now time.Time) time.Duration {
	if m.strained(now) {
		return min(RenewRare, m.bounded(LongHold)/rareRenewals)
	}
	return min(Renew, m.bounded(Hold)/renewals)
}

func (m *Model) order(p *peer, list []Order) OrderCmd {
	return OrderCmd{Server: p.Name, Incarnation: p.Incarnation, Addr: p.Addr, Until: m.auth.Until, Orders: list}
}

// give sends the grants that are due to one server. To a server that does not
// answer go a few at a time: each may be obeyed without an answer, and would keep its
// keys from others for a hold more.
func (m *Model) give(now time.Time, p *peer, list []Order) OrderCmd {
	if !p.silent.IsZero() {
		list = list[:min(len(list), probes)]
	}
	if !now.Before(p.renewAt) {
		p.renewAt = now.Add(m.pause(now))
	}
	p.busy = true
	return m.order(p, list)
}

// freed notes that a row's former owner has it no longer.
func (m *Model) freed(r *ranges.Row, s *state, token string) {
	s.phase, s.token, s.free, s.olderFree = granting, token, time.Time{}, false
	if r.Owner == "" {
		s.phase = vacant
	}
	r.PrevOwner, r.Lost = "", false
}

// ordered takes in what became of orders.
func (m *Model) ordered(now time.Time, msg OrderResultMsg) []loop.Cmd {
	p := m.peers[msg.Server]
	if p == nil {
		return nil
	}
	if len(msg.Results) == 0 || !msg.Results[0].Release {
		p.busy = false
	} else {
		p.freeing = false
	}
	var out []loop.Cmd
	answered, missed := 0, 0
	waited := time.Duration(0)
	for _, d := range msg.Results {
		if d.Release {
			m.released(now, p, d)
			continue
		}
		waited += d.Waited
		out = append(out, m.gave(p, msg.Incarnation, d)...)
		if d.Kind == kinds.None || d.Kind == kinds.Fenced {
			answered++
		} else {
			missed++
		}
	}
	out = append(out, m.waited(now, p, waited)...)
	return append(out, m.heard(now, p, answered, missed)...)
}

// waited takes in how long the grants of one server waited in this VM's own queue.
func (m *Model) waited(now time.Time, p *peer, d time.Duration) []loop.Cmd {
	if d < tardy {
		return nil
	}
	before := m.strained(now)
	m.strain = now.Add(strainFor)
	if before {
		return nil
	}
	return []loop.Cmd{LogCmd{Event: "grants go out late", Server: p.Name, Rows: len(m.rows), Reason: "they waited here for " + d.String()}}
}

// heard judges a server by how many of its grants were answered.
func (m *Model) heard(now time.Time, p *peer, answered, missed int) []loop.Cmd {
	switch {
	case answered > 0 && missed > 0:
		p.rough, p.pauseTo = now.Add(roughFor), now.Add(again/2)
	case missed > 0:
		p.pauseTo = now.Add(again)
	}
	switch {
	case answered > 0 && !p.silent.IsZero():
		p.silent, p.renewAt = time.Time{}, time.Time{}
		return []loop.Cmd{LogCmd{Event: "server answers again", Server: p.Name}}
	case answered == 0 && missed > 0 && p.silent.IsZero():
		p.silent = now
		return []loop.Cmd{LogCmd{Event: "server does not answer", Server: p.Name}}
	}
	return nil
}

// released takes in the answer to a release. A server whose address another one has
// has ended, and its keys with it.
func (m *Model) released(now time.Time, p *peer, d OrderResult) {
	r, s := m.row(d.Order)
	if d.Kind != kinds.None && d.Kind != kinds.Misrouted {
		p.freeAt = now.Add(again)
		return
	}
	if r == nil || s.phase != freeing || r.PrevOwner != p.Name || r.Lost {
		return
	}
	m.freed(r, s, d.Token)
	m.soil(now)
}

// soil notes that the table here says more than the stored one.
func (m *Model) soil(now time.Time) {
	if m.dirty.IsZero() {
		m.dirty = now
	}
}

// row finds the row that an order was for, if it is still the same.
func (m *Model) row(o Order) (*ranges.Row, *state) {
	i := m.table.Find(o.First)
	if i >= len(m.table.Rows) || m.table.Rows[i].Span != o.Span || m.table.Rows[i].Fence != o.Fence {
		return nil, nil
	}
	return &m.table.Rows[i], &m.rows[i]
}

// gave takes in the answer to a grant.
func (m *Model) gave(p *peer, born int64, d OrderResult) []loop.Cmd {
	if d.Kind != kinds.Unavailable && d.Kind != kinds.Misrouted {
		// Obeyed or not, it may be: whoever owns these keys next waits for it.
		m.mayHave(p, d)
	}
	r, s := m.row(d.Order)
	same := r != nil && r.Owner == p.Name && (s.phase == granting || s.phase == granted)
	switch d.Kind {
	case kinds.None:
		if same && born == r.Incarnation {
			s.phase, s.token = granted, ""
		}
	case kinds.Fenced, kinds.Malformed:
		if !same {
			return nil // its keys were taken back meanwhile
		}
		s.phase = vacant // the next plan gives it a fence above
		m.planAt = time.Time{}
		return []loop.Cmd{LogCmd{Event: "grant refused", Server: p.Name, Rows: 1, Reason: d.Kind.String()}}
	case kinds.Misrouted:
		m.planAt = time.Time{}
		if !p.gone {
			p.gone = true
			return []loop.Cmd{LogCmd{Event: "another server has the address", Server: p.Name}}
		}
	default:
		if same {
			s.phase = granting // tried again soon, and not only at the next renewal
		}
	}
	return nil
}

// mayHave notes a grant on every row that it covers and whose keys the server has,
// or has not given back.
func (m *Model) mayHave(p *peer, d OrderResult) {
	for i := m.table.Find(d.First); i < len(m.table.Rows) && m.table.Rows[i].First <= d.Last; i++ {
		r, s := &m.table.Rows[i], &m.rows[i]
		switch {
		case r.Owner == p.Name:
			s.until = later(s.until, lapse(d.Sent, d.TTL))
		case s.phase == freeing && (r.PrevOwner == p.Name || r.Lost):
			s.free = later(s.free, lapse(d.Sent, d.TTL))
		}
	}
}
