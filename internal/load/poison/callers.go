package poison

import (
	"iter"
	"time"
)

// callers holds the cases of single callers, by the AnyCaller fingerprint of their request.
//
// A caller that is known by several addresses has its crashes on record in several cases,
// and answers to other callers clear the case of any caller. So the crashes of all callers
// that were not answered since also count together.
type callers map[Fingerprint][]*Case

func (m callers) add(c *Case) {
	if key := c.Fingerprint.AnyCaller(); key != c.Fingerprint {
		m[key] = append(m[key], c)
	}
}

func (m callers) remove(c *Case) {
	key := c.Fingerprint.AnyCaller()
	var left []*Case
	for _, other := range m[key] {
		if other != c {
			left = append(left, other)
		}
	}
	m[key] = left
	if len(left) == 0 {
		delete(m, key)
	}
}

// merged returns a case with the crashes of all callers of a request, nil unless at least
// two callers have any.
func (m callers) merged(key Fingerprint) *Case {
	if len(m[key]) < 2 {
		return nil
	}
	all, accused := &Case{Fingerprint: key, merged: true}, 0
	for _, c := range m[key] {
		if len(c.Crashes) > 0 {
			accused++
		}
		if n := c.unresolvedTrials(); n > all.trials {
			all.trials, all.triedAt = n, c.triedAt
		}
		for _, crash := range c.Crashes {
			if len(all.Crashes) < maxCrashes || crash.At.After(all.Crashes[0].At) {
				all.add(crash)
			}
		}
	}
	if accused < 2 {
		return nil
	}
	all.Crashes = withoutSimultaneous(all.Crashes)
	return all
}

// simultaneousTime is the time within which crashes under different callers are taken for
// one event, such as the loss of a rack.
const simultaneousTime = time.Second

// mayBeLostTogether reports whether the crashes of a case of any caller are too few events to
// tell a crashing request from a popular one whose servers were lost together.
func (c *Case) mayBeLostTogether() bool {
	anyCaller := c.Fingerprint == c.Fingerprint.AnyCaller() && !c.merged
	return anyCaller && len(withoutSimultaneous(c.Crashes)) < CrashThreshold
}

// mayBeCutOff reports whether too few processes ended without an announcement to tell a
// crashing request from one that lasts long and was cut off by servers that leave.
func (c *Case) mayBeCutOff() bool {
	unannounced := 0
	for _, crash := range c.Crashes {
		if !crash.Announced {
			unannounced++
		}
	}
	return unannounced < CrashThreshold && len(c.Crashes) < maxTieCrashes
}

// withoutSimultaneous returns the first crash of each event. The crashes are ordered by time.
func withoutSimultaneous(all []Crash) []Crash {
	var kept []Crash
	for _, crash := range all {
		if n := len(kept); n == 0 || crash.At.Sub(kept[n-1].At) >= simultaneousTime {
			kept = append(kept, crash)
		}
	}
	return kept
}

// mergedWith returns the crashes of all callers of a case's request, nil unless the case
// is that of a caller with a crash and there is another one.
func (t *Table) mergedWith(c *Case) *Case {
	key := c.Fingerprint.AnyCaller()
	if key == c.Fingerprint || len(c.Crashes) == 0 {
		return nil
	}
	return t.callers.merged(key)
}

// frees reports whether a case that covers another one shows that the other's request is
// harmless. Some caller of a popular request is on record for nearly every server that
// crashed, so a merged case frees none, and any other case frees it.
func (c *Case) frees(other *Case) bool {
	if c.merged || other.merged {
		return other.merged && !c.merged
	}
	return len(c.Crashes) > len(other.Crashes)
}

// allCases iterates over all cases and the merged cases of several callers.
func (t *Table) allCases() iter.Seq[*Case] {
	return func(yield func(*Case) bool) {
		for _, c := range t.cases {
			if !yield(c) {
				return
			}
		}
		for key, all := range t.callers {
			if len(all) < 2 {
				continue
			}
			if c := t.callers.merged(key); c != nil && !yield(c) {
				return
			}
		}
	}
}

// judged lists the cases by which a request is refused: its own and the merged ones. For a
// common part it lists those of all callers and queries.
func (t *Table) judged(fp Fingerprint) []*Case {
	if fp == fp.Common() {
		return t.judgedForPath(fp)
	}
	all := t.casesOf(fp)
	for _, c := range all {
		if merged := t.mergedWith(c); merged != nil {
			all = append(all, merged)
		}
	}
	return all
}

func (t *Table) judgedForPath(common Fingerprint) []*Case {
	var all []*Case
	for c := range t.allCases() {
		if c.Fingerprint.Common() == common {
			all = append(all, c)
		}
	}
	return all
}

// shareCallers shares the cases of all callers of a request that has crashed two servers
// under them, because every VM must be able to count them together.
func (t *Table) shareCallers(fp Fingerprint) {
	key := fp.AnyCaller()
	merged := t.callers.merged(key)
	if merged == nil || len(merged.Crashes) < 2 {
		return
	}
	for _, c := range t.callers[key] {
		if len(c.Crashes) > 0 && !c.shared {
			c.shared = true
			t.markChanged(c)
		}
	}
}

// outOfDate reports whether a case and its merged case are so old that it is forgotten.
func (t *Table) outOfDate(now time.Time, c *Case) bool {
	if now.Before(c.forgetAt()) {
		return false
	}
	merged := t.mergedWith(c)
	return merged == nil || !now.Before(merged.forgetAt())
}

// evict removes the case with the fewest crashes, the oldest one among these. The crashes
// of other callers of the same request count for it too.
func (t *Table) evict() {
	crashes := map[Fingerprint]int{}
	for key := range t.callers {
		if merged := t.callers.merged(key); merged != nil {
			crashes[key] = len(merged.Crashes)
		}
	}
	var least *Case
	fewest := 0
	for _, c := range t.cases {
		n := len(c.Crashes)
		if n > 0 {
			n = max(n, crashes[c.Fingerprint.AnyCaller()])
		}
		older := least != nil && n == fewest && c.lastEvent().Before(least.lastEvent())
		if least == nil || n < fewest || older {
			least, fewest = c, n
		}
	}
	if least != nil {
		t.remove(least.Fingerprint)
	}
}
