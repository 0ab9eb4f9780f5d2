package detect

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// member is one member with the observations about it.
type member[K ~string] struct {
	Member[K]
	knownSince time.Time
	inList     bool
	listedAt   time.Time // when the list last showed it
	listSeq    uint64    // number of that list

	heardAt time.Time // when it last answered or another VM heard it
	answers int       // direct answers since the last change of state or failed call

	failedProbes int       // probes in a row without an answer
	probedAt     time.Time // when this VM last probed it
	// probers are the VMs that probe it, once computed.
	probers         []ident.VM
	suspectAt       time.Time // when another VM last reported it as suspect
	health          server.Health
	notLeavingSince time.Time // since when neither the list nor its health says that it leaves

	// callAnsweredAt is when a caller last got an answer. failedCalls counts the
	// failures since then, from callsFailingSince to lastFailedCall.
	callAnsweredAt    time.Time
	failedCalls       int
	callsFailingSince time.Time
	lastFailedCall    time.Time

	frozenViews   int // other VMs that report it as frozen
	contraryViews int // other VMs that do not

	activity   activity
	checkAt    time.Time // when to evaluate it next while it is not active
	queueIndex int       // in schedule.queue

	lastFreeze      time.Time
	repeatedFreezes int // freezes in short succession, after the first
}

func (x *member[K]) onAnswer(now time.Time) {
	x.heardAt = now
	x.answers++
}

// onProbe handles the result of a probe, and reports whether the member became
// suspect or stopped being so, which is sent to the other VMs at once.
func (x *member[K]) onProbe(now time.Time, msg ProbeMsg[K]) (changed bool) {
	before := x.isSuspect()
	defer func() { changed = x.isSuspect() != before }()
	if msg.Failed {
		x.failedProbes++
		return
	}
	x.failedProbes = 0
	x.health = msg.Health
	x.Cold = msg.Health.Cold
	if msg.Health.Ready {
		x.onAnswer(now)
	}
	return
}

// onHealth handles a health report that came with another answer; it replaces a
// probe.
func (x *member[K]) onHealth(now time.Time, h server.Health) (changed bool) {
	x.probedAt = now
	return x.onProbe(now, ProbeMsg[K]{Health: h})
}

func (x *member[K]) onCalls(now time.Time, msg CallsMsg[K]) {
	if msg.Succeeded > 0 {
		x.callAnsweredAt, x.failedCalls = now, 0
		x.onAnswer(now)
		return
	}
	if msg.Failed == 0 {
		return
	}
	if x.failedCalls == 0 {
		x.callsFailingSince = now
	}
	x.failedCalls += msg.Failed
	x.lastFailedCall = now
	x.answers = 0
}

// lastHeard returns when the member was last heard, or became known.
func (x *member[K]) lastHeard() time.Time {
	if x.heardAt.After(x.knownSince) {
		return x.heardAt
	}
	return x.knownSince
}

// silentFor returns the time since lastHeard.
func (x *member[K]) silentFor(now time.Time) time.Duration { return now.Sub(x.lastHeard()) }

// frozenLocally reports whether the member looks frozen to this VM alone, without
// the views of others.
func (x *member[K]) frozenLocally(now time.Time, cfg Config) bool {
	if x.failedCalls < minFailedCalls && now.Sub(x.callAnsweredAt) < cfg.SilentAfter {
		return false
	}
	return x.observations(now, cfg) > 0
}

// observations counts this VM's indications of a freeze. Recent failed calls add
// to silence and failed probes, and those that last for CallsAlone count as two.
func (x *member[K]) observations(now time.Time, cfg Config) int {
	n := 0
	if x.silentFor(now) >= cfg.SilentAfter {
		n++
	}
	if x.failedProbes >= minFailedProbes {
		n++
	}
	if now.Sub(x.lastFailedCall) > cfg.ViewFresh {
		return n
	}
	if x.failedCalls >= minFailedCalls {
		n++
	}
	if x.failedCalls >= minFailedCallsAlone && now.Sub(x.callsFailingSince) >= cfg.CallsAlone {
		n++
	}
	return n
}

// looksFrozen reports whether at least two observations indicate a freeze; the
// views of other VMs count as one.
func (x *member[K]) looksFrozen(now time.Time, cfg Config) bool {
	n := x.observations(now, cfg)
	if n > 0 && x.frozenViews > 0 {
		n++
	}
	return n > 1 && x.frozenLocally(now, cfg)
}

func (x *member[K]) fire(now time.Time, on chart.Trigger) bool {
	next, err := states.Fire(x.Is, on)
	if err != nil {
		return false
	}
	if next == Frozen {
		x.countFreeze(now)
	}
	x.Is, x.Since, x.answers = next, now, 0
	return true
}

// countFreeze counts freezes in short succession. Otherwise a server whose health
// endpoint reports ready while no caller gets an answer would be taken back and
// frozen again every few seconds, each time at the cost of some requests.
func (x *member[K]) countFreeze(now time.Time) {
	if x.lastFreeze.IsZero() || now.Sub(x.lastFreeze) > freezeMemory {
		x.repeatedFreezes = 0
	} else {
		x.repeatedFreezes++
	}
	x.lastFreeze = now
}

// freezeHold returns how long a frozen member stays out of use at least.
func (x *member[K]) freezeHold() time.Duration {
	if x.repeatedFreezes == 0 {
		return 0
	}
	return min(minFreezeHold<<(x.repeatedFreezes-1), maxFreezeHold)
}
