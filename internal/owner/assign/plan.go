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

// Parameters of planning.
const (
	// planInterval is the pause between two plans. Loads are reported three times a second.
	planInterval = 300 * time.Millisecond
	// balanceInterval is the pause between two plans that move keys only to balance loads.
	// Each costs two writes to the store, and no request waits for them.
	balanceInterval = 1500 * time.Millisecond
	// hotFactor is the multiple of its fair load at which a server needs relief at once.
	hotFactor = 1.9
	// moveBudgetShare is the share of the rows that one plan may move for balance.
	moveBudgetShare = 1.0 / 16
	// bandHigh and bandLow are how far, as a share, a server's load may be above the mean
	// before keys are moved away, and below it before keys are moved to it.
	bandHigh, bandLow = 0.15, 0.3
	// noiseDeviations is how many standard deviations from the mean a server's request count
	// must be to count as real imbalance. With ten recent requests for each server, bands of a
	// sixth moved all keys three times in half a minute for nothing.
	noiseDeviations = 2.5
	// maxBand makes sure that a nearly idle server, or one with twice its share, is rebalanced.
	maxBand = 0.9
	// splitShare is the share of a server's fair load above which a row is split further: a
	// server with a few such rows cannot be relieved by moving the others.
	splitShare = 0.25
	// minSplitRequests is how many recent requests make a row busy. Fewer are noise: when two
	// were enough, all of the thousand rows were used up before a hot key came.
	minSplitRequests = 5
	// minPlanRate is how many requests a second are needed to plan by loads.
	minPlanRate = 20.0
	// warmupCapacity is the share of its capacity that a server is assumed to have while it
	// warms up.
	warmupCapacity = 0.6
)

// plan drafts the next table, or returns nil if nothing should change.
func (m *Model) plan(now time.Time) *draft {
	if now.Before(m.settledAt) || now.Before(m.nextPlan) || !m.serversKnown {
		return m.flushDraft(now)
	}
	m.nextPlan = now.Add(planInterval)
	m.updateAllAvoided(now)
	d := &draft{table: m.table.Clone(), rows: append([]rowState(nil), m.rows...)}
	if m.unassigned && m.version == 0 {
		d.table.Rows = ranges.NewTable(len(m.backends)).Rows
		d.rows = make([]rowState, len(d.table.Rows))
	}
	changed := m.splitBusyRows(now, d)
	changed = m.raiseFences(now, d) || changed
	changed = m.moveRows(now, d) || changed
	m.logIdleServers(now, d)
	if !changed {
		return m.flushDraft(now)
	}
	return d
}

// countAccepting returns the number of servers that may be given keys.
func (m *Model) countAccepting(now time.Time) int {
	n := 0
	for _, b := range m.backends {
		if m.accepts(now, b) {
			n++
		}
	}
	return n
}

// logIdleServers logs once when there are more servers than rows. The excess servers get no
// requests of this service, however busy the others are, and nothing else shows it.
func (m *Model) logIdleServers(now time.Time, d *draft) {
	idle := max(m.countAccepting(now)-len(d.table.Rows), 0)
	if idle > 0 && m.idleServers == 0 {
		m.logs = append(m.logs, LogCmd{Event: "servers without keys", Rows: len(d.table.Rows), Reason: strconv.Itoa(idle) + " more servers than key ranges"})
	}
	m.idleServers = idle
}

// flushDraft returns a draft that stores completed moves, once they have waited long enough.
func (m *Model) flushDraft(now time.Time) *draft {
	if m.dirtySince.IsZero() || now.Sub(m.dirtySince) < flushDelay {
		return nil
	}
	return &draft{table: m.table.Clone(), rows: append([]rowState(nil), m.rows...)}
}

// splitBusyRows splits rows that are busy by themselves. The pieces keep owner and fence,
// so nothing has to be released or granted again.
func (m *Model) splitBusyRows(now time.Time, d *draft) bool {
	total := m.loads.totalRate(now)
	if total < minPlanRate || m.overloaded(now) {
		return false
	}
	accepting := m.countAccepting(now)
	maxRate := max(total/float64(max(accepting, 1))*splitShare, minSplitRequests*ratePerCount)
	changed := false
	for i := 0; i < len(d.table.Rows); i++ {
		for m.loads.rate(now, d.table.Rows[i].Span) > maxRate && d.table.Split(i) {
			pieces := []rowState{d.rows[i]}
			for len(d.rows)+len(pieces)-1 < len(d.table.Rows) {
				pieces = append(pieces, d.rows[i])
			}
			d.rows = append(d.rows[:i:i], append(pieces, d.rows[i+1:]...)...)
			changed = true
		}
	}
	if changed {
		d.logs = append(d.logs, LogCmd{Event: "busy key ranges split", Rows: len(d.table.Rows)})
	}
	return changed
}

// raiseFences gives a higher fence to rows whose owner has restarted, and to rows whose
// grant was refused because of its fence.
func (m *Model) raiseFences(now time.Time, d *draft) bool {
	changed := false
	for i := range d.table.Rows {
		r, s := &d.table.Rows[i], &d.rows[i]
		b := m.backends[r.Owner]
		if b == nil || !m.accepts(now, b) || s.phase == releasing {
			continue
		}
		if r.Incarnation == b.Incarnation && s.phase != vacant {
			continue
		}
		r.Incarnation, r.Fence = b.Incarnation, d.table.NextFence()
		s.phase, s.token = granting, ""
		changed = true
	}
	return changed
}

// moveRows gives rows a new owner: those of servers that are gone, leaving or silent, and
// those that balance the load.
func (m *Model) moveRows(now time.Time, d *draft) bool {
	in := m.planInput(now, d)
	moves := place.Plan(in)
	moveLogs := map[[2]string]*LogCmd{} // by previous owner and reason
	changed := false
	for _, mv := range moves {
		if mv.Reason == place.Excess || mv.Reason == place.Fill {
			m.nextBalance = now.Add(balanceInterval)
		}
		i := int(mv.Slice)
		r, s := &d.table.Rows[i], &d.rows[i]
		to := m.backends[mv.To]
		if s.phase == releasing || to == nil {
			continue // it is already being moved
		}
		if from := m.backends[mv.From]; from != nil && from.waitsToEvacuate(now) {
			continue
		}
		m.reassign(r, s, to, d.table.NextFence())
		changed = true
		key := [2]string{string(mv.From), string(mv.Reason)}
		if moveLogs[key] == nil {
			moveLogs[key] = &LogCmd{Event: "keys move", PrevOwner: mv.From, Reason: string(mv.Reason)}
		}
		moveLogs[key].Rows++
	}
	for _, n := range moveLogs {
		d.logs = append(d.logs, *n)
	}
	return changed
}

// reassign makes a server the owner of a row.
func (m *Model) reassign(r *ranges.Row, s *rowState, to *backend, fence uint64) {
	if r.Owner == "" {
		*s = rowState{phase: granting, published: s.published}
	} else {
		*s = rowState{phase: releasing, prevExpiry: s.expiry, prevInherited: s.inherited, published: s.published}
		r.PrevOwner = r.Owner
	}
	if m.flaw == flawKeepFence {
		fence = r.Fence
	}
	r.Owner, r.Incarnation, r.Fence = to.Name, to.Incarnation, fence
}

// planInput returns the input of the placement planner.
func (m *Model) planInput(now time.Time, d *draft) place.Input {
	m.updateSpeeds()
	in := place.Input{
		Owners: make([]ident.Server, len(d.table.Rows)),
		Band:   m.band(now, len(d.table.Rows)),
	}
	for i, r := range d.table.Rows {
		in.Owners[i] = r.Owner
	}
	for _, b := range m.backends {
		s := place.Server{ID: b.Name, Weight: m.weight(b), Accepting: m.accepts(now, b), Ramp: 1}
		if b.Cold > 0 && now.Sub(b.listedAt) < b.Cold {
			s.Ramp = warmupCapacity
		}
		in.Servers = append(in.Servers, s)
	}
	m.limitWeights(now, in.Servers)
	sortServers(in.Servers)
	if total := m.loads.totalRate(now); total >= minPlanRate {
		in.Loads = make([]float64, len(d.table.Rows))
		for i, r := range d.table.Rows {
			in.Loads[i] = m.loads.rate(now, r.Span) + total*baseLoadShare*float64(r.Len())/ranges.KeySpace
		}
		if now.Before(m.nextBalance) && !m.hasHotServer(in) {
			in.Band.Budget = 0
		}
	} else {
		// There are hardly any requests, so none waits for keys that move: all rows may
		// move, and are then evenly placed when requests come.
		in.Band.Budget = len(d.table.Rows)
	}
	return in
}

// hasHotServer reports whether some server's load is so far above its fair share that its
// keys should move now.
func (m *Model) hasHotServer(in place.Input) bool {
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
		if loads[s.ID] > hotFactor*total*s.Weight*s.Ramp/max(capacity, 1) {
			return true
		}
	}
	return false
}

// band returns how uneven loads may be: at least as much as random variation makes them.
func (m *Model) band(now time.Time, rows int) place.Band {
	accepting := m.countAccepting(now)
	each := m.loads.totalRate(now) / ratePerCount / float64(max(accepting, 1))
	noise := noiseDeviations / math.Sqrt(max(each, 1))
	return place.Band{
		High: min(max(bandHigh, noise), maxBand), Low: min(max(bandLow, noise), maxBand),
		Budget: int(float64(rows) * moveBudgetShare),
	}
}

// baseLoadShare is the share of the load that is assumed to be uniform over all keys, so
// that rows without recent requests are spread as well.
const baseLoadShare = 0.05

// publishChanges returns which rows have another server since the last publication.
func (m *Model) publishChanges() []loop.Cmd {
	var changes []ranges.Assignment
	for i := range m.rows {
		r, s := &m.table.Rows[i], &m.rows[i]
		to := m.currentServer(r, s)
		if m.publishedFull && s.published == to {
			continue
		}
		s.published = to
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
	full := !m.publishedFull
	m.publishedFull = true
	return []loop.Cmd{PublishCmd{Epoch: m.auth.Epoch, Seq: m.seq, Full: full, Changes: changes}}
}

// currentServer returns the server that serves a row now, or none while it is being released
// or not granted yet. A row granted by an earlier leader counts as served while it is renewed.
func (m *Model) currentServer(r *ranges.Row, s *rowState) ident.Server {
	switch {
	case s.phase == granted, s.phase == releasing && s.keepFence != 0:
		return r.Owner
	case s.phase == granting && (s.inherited || !s.expiry.IsZero()):
		return r.Owner
	default:
		return ""
	}
}
