package assign

import (
	"math"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/place"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// Settings of planning.
const (
	// planEvery is the pause between two plans. Loads are reported three times a second.
	planEvery = 300 * time.Millisecond
	// evenEvery is the pause between two plans that move keys only to even loads out.
	// Each costs two writes to the store, and nobody waits for them.
	evenEvery = 1500 * time.Millisecond
	// hotTimes is how many times the mean load a server has when it cannot wait.
	hotTimes = 1.9
	// budgetShare is the part of the rows that one plan may move for balance.
	budgetShare = 1.0 / 16
	// bandHigh and bandLow are how far above the mean a server's load may be before
	// keys move, and how far below it before it gets some.
	bandHigh, bandLow = 0.15, 0.3
	// chance is how many deviations from the mean a server's count of requests must
	// be before it is more than chance. With ten requests remembered for each server,
	// bands of a sixth moved all keys three times in half a minute for nothing.
	chance = 2.5
	// bandMost keeps a server that is nearly idle, or has twice its share, worth a move.
	bandMost = 0.9
	// splitAt is the part of a server's fair load from which a row is cut further: a
	// server with a few such rows cannot be relieved by moving the others.
	splitAt = 0.25
	// splitCount is how many requests remembered make a row busy. Fewer are chance:
	// cut at two, a thousand rows were used up by it before a hot key came.
	splitCount = 5
	// enough is how many requests a second make loads worth planning by.
	enough = 20.0
	// coldRamp is the part of its capacity that a server which has just started is
	// taken to have.
	coldRamp = 0.6
)

// plan drafts the next table, or returns nil when nothing should change.
func (m *Model) plan(now time.Time) *draft {
	if now.Before(m.settleAt) || now.Before(m.planAt) || !m.known {
		return m.tidied(now)
	}
	m.planAt = now.Add(planEvery)
	d := &draft{table: m.table.Clone(), rows: append([]state(nil), m.rows...)}
	if m.fresh && m.version == 0 {
		d.table.Rows = ranges.NewTable(len(m.peers)).Rows
		d.rows = make([]state, len(d.table.Rows))
	}
	changed := m.cut(now, d)
	changed = m.renew(now, d) || changed
	changed = m.move(now, d) || changed
	m.crowd(now, d)
	if !changed {
		return m.tidied(now)
	}
	return d
}

// takers counts the servers that may be given keys.
func (m *Model) takers(now time.Time) int {
	n := 0
	for _, p := range m.peers {
		if p.takes(now) {
			n++
		}
	}
	return n
}

// crowd notes when there are more servers than stripes. Those beyond get no request of
// this service, however busy the others are, and nothing else shows it.
func (m *Model) crowd(now time.Time, d *draft) {
	idle := max(m.takers(now)-len(d.table.Rows), 0)
	if idle > 0 && m.idle == 0 {
		m.notes = append(m.notes, LogCmd{Event: "servers without keys", Rows: len(d.table.Rows), Reason: strconv.Itoa(idle) + " servers more than stripes"})
	}
	m.idle = idle
}

// tidied writes down moves that are finished.
func (m *Model) tidied(now time.Time) *draft {
	if m.dirty.IsZero() || now.Sub(m.dirty) < tidy {
		return nil
	}
	return &draft{table: m.table.Clone(), rows: append([]state(nil), m.rows...)}
}

// cut splits rows that are busy by themselves. Their pieces keep owner and fence,
// so nothing is taken back or given anew.
func (m *Model) cut(now time.Time, d *draft) bool {
	total := m.loads.total(now)
	if total < enough || m.strained(now) {
		return false
	}
	takers := m.takers(now)
	most := max(total/float64(max(takers, 1))*splitAt, splitCount*perSecond)
	changed := false
	for i := 0; i < len(d.table.Rows); i++ {
		for m.loads.of(now, d.table.Rows[i].Span) > most && d.table.Split(i) {
			pieces := []state{d.rows[i]}
			for len(d.rows)+len(pieces)-1 < len(d.table.Rows) {
				pieces = append(pieces, d.rows[i])
			}
			d.rows = append(d.rows[:i:i], append(pieces, d.rows[i+1:]...)...)
			changed = true
		}
	}
	if changed {
		d.notes = append(d.notes, LogCmd{Event: "busy keys cut", Rows: len(d.table.Rows)})
	}
	return changed
}

// renew gives a higher fence to rows whose owner has started again since, and to
// those whose grant was refused because of their fence.
func (m *Model) renew(now time.Time, d *draft) bool {
	changed := false
	for i := range d.table.Rows {
		r, s := &d.table.Rows[i], &d.rows[i]
		p := m.peers[r.Owner]
		if p == nil || !p.takes(now) || s.phase == freeing {
			continue
		}
		if r.Incarnation == p.Incarnation && s.phase != vacant {
			continue
		}
		r.Incarnation, r.Fence = p.Incarnation, d.table.NextFence()
		s.phase, s.token = granting, ""
		changed = true
	}
	return changed
}

// move gives rows other owners: those of servers that are gone, leave or are
// silent, and those that balance the load.
func (m *Model) move(now time.Time, d *draft) bool {
	in := m.input(now, d)
	moves := place.Plan(in)
	notes := map[[2]string]*LogCmd{} // by former owner and reason
	changed := false
	for _, mv := range moves {
		if mv.Reason == place.Excess || mv.Reason == place.Fill {
			m.evenAt = now.Add(evenEvery)
		}
		i := int(mv.Slice)
		r, s := &d.table.Rows[i], &d.rows[i]
		to := m.peers[mv.To]
		if s.phase == freeing || to == nil {
			continue // it is on its way already
		}
		m.hand(r, s, to, d.table.NextFence())
		changed = true
		key := [2]string{string(mv.From), string(mv.Reason)}
		if notes[key] == nil {
			notes[key] = &LogCmd{Event: "keys move", PrevOwner: mv.From, Reason: string(mv.Reason)}
		}
		notes[key].Rows++
	}
	for _, n := range notes {
		d.notes = append(d.notes, *n)
	}
	return changed
}

// hand makes a server the owner of a row.
func (m *Model) hand(r *ranges.Row, s *state, to *peer, fence uint64) {
	if r.Owner == "" {
		*s = state{phase: granting, told: s.told}
	} else {
		*s = state{phase: freeing, free: s.until, olderFree: s.older, told: s.told}
		r.PrevOwner = r.Owner
	}
	if m.flaw == flawFence {
		fence = r.Fence
	}
	r.Owner, r.Incarnation, r.Fence = to.Name, to.Incarnation, fence
}

// input is what the planner needs to know.
func (m *Model) input(now time.Time, d *draft) place.Input {
	m.speeds()
	in := place.Input{
		Owners: make([]ident.Server, len(d.table.Rows)),
		Band:   m.band(now, len(d.table.Rows)),
	}
	for i, r := range d.table.Rows {
		in.Owners[i] = r.Owner
	}
	for _, p := range m.peers {
		s := place.Server{ID: p.Name, Weight: m.weight(p), Accepting: p.takes(now), Ramp: 1}
		if p.Cold > 0 && now.Sub(p.listedAt) < p.Cold {
			s.Ramp = coldRamp
		}
		in.Servers = append(in.Servers, s)
	}
	sortServers(in.Servers)
	if total := m.loads.total(now); total >= enough {
		in.Loads = make([]float64, len(d.table.Rows))
		for i, r := range d.table.Rows {
			in.Loads[i] = m.loads.of(now, r.Span) + total*idleShare*float64(r.Len())/ranges.KeySpace
		}
		if now.Before(m.evenAt) && !m.hot(in) {
			in.Band.Budget = 0
		}
	} else {
		// Nobody asks, so nobody waits for keys that move: all may, and then lie
		// evenly when somebody does.
		in.Band.Budget = len(d.table.Rows)
	}
	return in
}

// hot reports whether some server has so much more than its part of the load that
// its keys should move now.
func (m *Model) hot(in place.Input) bool {
	loads := make(map[ident.Server]float64, len(in.Servers))
	total, capacity := 0.0, 0.0
	for i, owner := range in.Owners {
		loads[owner] += in.Loads[i]
		total += in.Loads[i]
	}
	for _, s := range in.Servers {
		if s.Accepting {
			capacity += s.Weight * s.Ramp
		}
	}
	for _, s := range in.Servers {
		if loads[s.ID] > hotTimes*total*s.Weight*s.Ramp/max(capacity, 1) {
			return true
		}
	}
	return false
}

// band is how uneven loads may be: as much as chance makes them.
func (m *Model) band(now time.Time, rows int) place.Band {
	takers := m.takers(now)
	each := m.loads.total(now) / perSecond / float64(max(takers, 1))
	noise := chance / math.Sqrt(max(each, 1))
	return place.Band{
		High: min(max(bandHigh, noise), bandMost), Low: min(max(bandLow, noise), bandMost),
		Budget: int(float64(rows) * budgetShare),
	}
}

// idleShare is the part of the load that is taken to lie evenly on all keys, so
// that rows which nobody asked for lately still spread.
const idleShare = 0.05

// served says what changed in who serves what.
func (m *Model) served() []loop.Cmd {
	var changes []ranges.Assignment
	for i := range m.rows {
		r, s := &m.table.Rows[i], &m.rows[i]
		to := m.serves(r, s)
		if m.told && s.told == to {
			continue
		}
		s.told = to
		if n := len(changes); n > 0 && changes[n-1].Server == to && changes[n-1].Last+1 == r.First {
			changes[n-1].Last = r.Last
			continue
		}
		changes = append(changes, ranges.Assignment{Span: r.Span, Server: to})
	}
	if len(changes) == 0 {
		return nil
	}
	m.seq++
	full := !m.told
	m.told = true
	return []loop.Cmd{PublishCmd{Epoch: m.auth.Epoch, Seq: m.seq, Full: full, Changes: changes}}
}

// serves is who serves a row now: nobody while it is taken back or not given yet. A
// row that a leader before gave out is taken to be served while it is renewed.
func (m *Model) serves(r *ranges.Row, s *state) ident.Server {
	switch {
	case s.phase == granted:
		return r.Owner
	case s.phase == granting && (s.older || !s.until.IsZero()):
		return r.Owner
	default:
		return ""
	}
}
