package host

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

const (
	// defaultEvacuation is how long servers of an evacuated data centre may get requests, if
	// the platform sets no bound.
	defaultEvacuation = 5 * time.Second
	// evacuationShare is the fraction of that time in which they may get requests for keys
	// that they still own, from when it was accepted. The rest covers the transit of the requests.
	evacuationShare = 0.5
)

// evacuationWatcher follows the evacuations in the store. A VM that is up to date with the
// leader makes no calls for it: evacuations are rare, and each call is paid for.
func (t *serverTracker) evacuationWatcher() *watcher {
	relies := reliesOnLeader(t.hub, poll.Evacuations, t.evacuation)
	return &watcher{
		prefix: t.plat.Evacuations, hub: t.hub, fresh: t.plat.Store, stale: t.plat.StaleStore, log: t.log,
		receivedFromPeer: func() bool { return t.hub.EvacuatedRev() > 0 },
		peersCover: func(now time.Time) (object.Cursor, bool) {
			rev := t.hub.EvacuatedRev()
			return object.Cursor(rev), rev > 0 && t.hub.Synced(now) && relies(clock.Now()) > 0
		},
		confirmed: relies,
		freshWait: freshWait(reliance(t.evacuation)),
		onList: func(all []object.Object, cursor object.Cursor) {
			l := evac.List{Rev: uint64(cursor)}
			for _, o := range all {
				if c, ok := t.decodeEvacuation(o); ok {
					l.Centres = append(l.Centres, c)
				}
			}
			t.applyEvacuations(l, "store", 0)
		},
		onChange:  t.changeEvacuations,
		onCurrent: func(at time.Time, _ object.Cursor) { t.hub.NoteAsOf(poll.Evacuations, at) },
	}
}

// decodeEvacuation decodes an evacuation. It returns false for one that cannot be read,
// which is logged once.
func (t *serverTracker) decodeEvacuation(o object.Object) (ident.Centre, bool) {
	name := strings.TrimPrefix(o.Name, t.plat.Evacuations)
	c, err := t.plat.Decode.Evacuation(name, o.Value)
	if err == nil {
		return c, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loggedEvacs[name] {
		if t.loggedEvacs == nil {
			t.loggedEvacs = map[string]bool{}
		}
		t.loggedEvacs[name] = true
		t.log.Warn("evacuation has a fault and is ignored", "name", name, "rev", o.Version.Revision(), "fault", err)
	}
	return "", false
}

// changeEvacuations applies changes of evacuations. As in a list, one that can no longer be
// read evacuates nothing.
func (t *serverTracker) changeEvacuations(all []object.Change, cursor object.Cursor) {
	evacuated := map[ident.Centre]bool{} // the last change of each data centre counts
	for _, ch := range all {
		c := ident.Centre(strings.TrimPrefix(ch.Name, t.plat.Evacuations))
		evacuated[c] = false
		if ch.Version != 0 {
			_, evacuated[c] = t.decodeEvacuation(ch.Object)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var changed []ident.Centre
	for _, c := range slices.Sorted(maps.Keys(evacuated)) {
		if t.evacuated.Set(now, c, uint64(cursor), evacuated[c]) {
			changed = append(changed, c)
			t.evacuated.Began(c, now.Add(-t.unknownEvacuationAge()))
		}
	}
	t.evacuationsChanged(changed, "store")
}

// unknownEvacuationAge returns how long ago an evacuation may have been accepted of which this
// VM has just heard. The caller holds mu.
func (t *serverTracker) unknownEvacuationAge() time.Duration {
	age := t.hub.Age(poll.Evacuations)
	if age == 0 || age > t.evacuation {
		return t.evacuation
	}
	return age
}

// applyEvacuations applies a complete list of evacuated data centres. The argument from
// says where it comes from, for the log; one of another VM was made at most the given time ago.
func (t *serverTracker) applyEvacuations(l evac.List, from string, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	changed := t.evacuated.Apply(now, l)
	if l.Known == nil {
		for _, c := range changed {
			t.evacuated.Began(c, now.Add(-t.unknownEvacuationAge()))
		}
	}
	for c, known := range l.Known {
		t.evacuated.Began(c, now.Add(-known-age))
	}
	t.evacuationsChanged(changed, from)
}

// evacuationsChanged logs which data centres have been evacuated or taken back, and passes
// it on. The caller holds mu.
func (t *serverTracker) evacuationsChanged(changed []ident.Centre, from string) {
	l := t.evacuated.List()
	l.Since = t.evacuated.Since()
	t.hub.SetEvacuated(l)
	if len(changed) == 0 {
		return
	}
	servers := t.list()
	for _, c := range changed {
		n := 0
		for _, s := range servers {
			if s.Centre == c {
				n++
			}
		}
		if _, evacuated := t.evacuated.Evacuated(c); evacuated {
			t.log.Warn("data centre evacuated", "centre", c, "rev", object.Version(l.Rev).Revision(), "from", from, "servers", n, "grace", t.evacuationGrace())
			continue
		}
		t.log.Info("evacuation of data centre ended", "centre", c, "rev", object.Version(l.Rev).Revision(), "from", from, "servers", n)
	}
	t.distribute(servers)
}

// evacuationDue reports whether the servers of an evacuated data centre must get no more
// requests, not even for keys that they still own. The caller holds mu.
func (t *serverTracker) evacuationDue(now time.Time, c ident.Centre) bool {
	since, evacuated := t.evacuated.Evacuated(c)
	return evacuated && now.Sub(since) >= t.evacuationGrace()
}

// evacuationGrace returns how long after this VM has heard of an evacuation the servers may
// get requests for keys that they still own.
func (t *serverTracker) evacuationGrace() time.Duration {
	return time.Duration(evacuationShare * float64(t.evacuation))
}

// markEvacuated marks the data centres whose evacuation has become due since the last call
// and reports whether there are any. The caller holds mu.
func (t *serverTracker) markEvacuated(now time.Time) bool {
	due := map[ident.Centre]bool{}
	found := false
	for _, c := range t.evacuated.List().Centres {
		if t.evacuationDue(now, c) {
			due[c] = true
			found = found || !t.droppedEvacs[c]
		}
	}
	t.droppedEvacs = due
	return found
}

// annotate returns the servers with those marked that are in an evacuated data centre or
// capped, shed requests, or have given a notice. The caller holds mu.
func (t *serverTracker) annotate(list []feed.Server) []feed.Server {
	if len(t.capped) == 0 && len(t.evacuated.List().Centres) == 0 && !t.notices.any.Load() && len(t.shedding) == 0 {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		_, list[i].Evacuated = t.evacuated.Evacuated(list[i].Centre)
		list[i].Capped = t.capped[list[i].Name]
		list[i].Shedding = t.shedding[list[i].Process()]
		list[i].Leaving = t.isLeaving(list[i])
		list[i].Notice = t.notices.of(list[i].Process())
	}
	return list
}

// evacuatedFor returns how long this VM has known of the evacuation of each data centre;
// zero for one that has been taken back.
func (t *serverTracker) evacuatedFor(now time.Time) map[ident.Centre]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[ident.Centre]time.Duration{}
	for _, c := range t.evacuated.Known() {
		all[c] = 0
		if since, ok := t.evacuated.Evacuated(c); ok {
			all[c] = now.Sub(since)
		}
	}
	return all
}
