package detect

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// member is one member with its witnesses.
type member[K ~string] struct {
	Member[K]
	born   time.Time
	inList bool
	listAt time.Time // when the list last showed it
	list   uint64    // and which that was

	heard  time.Time // directly, by any means
	proofs int       // direct answers since the last state or silence

	probeBad int       // probes in a row without an answer
	probed   time.Time // when we last asked
	probers  []ident.VM
	oddAt    time.Time // when another VM last found it odd
	health   server.Health
	denied   time.Time // since when neither witness says that it leaves

	callGood time.Time
	callBad  int
	badSince time.Time
	badLast  time.Time

	saidBad  int // other VMs that hold it frozen
	saidWell int // and those that do not

	rest  rest
	due   time.Time // when to look at it while it rests
	place int       // among those that rest

	lastFreeze time.Time
	strikes    int // freezes in short succession
}

func (x *member[K]) onBeat(now time.Time) {
	x.heard = now
	x.proofs++
}

// onProbe takes an answer, and reports whether the others should hear of it.
func (x *member[K]) onProbe(now time.Time, msg ProbeMsg[K]) (news bool) {
	was := x.odd()
	defer func() { news = x.odd() != was }()
	if msg.Failed {
		x.probeBad++
		return
	}
	x.probeBad = 0
	x.health = msg.Health
	x.Cold = msg.Health.Cold
	if msg.Health.Ready {
		x.onBeat(now)
	}
	return
}

// onWord takes a word that came unasked, in place of a probe's answer.
func (x *member[K]) onWord(now time.Time, h server.Health) (news bool) {
	x.probed = now
	return x.onProbe(now, ProbeMsg[K]{Health: h})
}

func (x *member[K]) onCalls(now time.Time, msg CallsMsg[K]) {
	if msg.Succeeded > 0 {
		x.callGood, x.callBad = now, 0
		x.onBeat(now)
		return
	}
	if msg.Failed == 0 {
		return
	}
	if x.callBad == 0 {
		x.badSince = now
	}
	x.callBad += msg.Failed
	x.badLast = now
	x.proofs = 0
}

// lastHeard is when the member was last heard, or became known.
func (x *member[K]) lastHeard() time.Time {
	if x.heard.After(x.born) {
		return x.heard
	}
	return x.born
}

// silentFor is the time since then.
func (x *member[K]) silentFor(now time.Time) time.Duration { return now.Sub(x.lastHeard()) }

// suspect reports whether the member looks frozen from here, before the others'
// views are asked.
func (x *member[K]) suspect(now time.Time, cfg Config) bool {
	if x.callBad < badCalls && now.Sub(x.callGood) < cfg.Silent {
		return false
	}
	return x.witnesses(now, cfg) > 0
}

// witnesses counts what speaks for a freeze. Callers who get answers outweigh
// everything else, and callers who get none outweigh a health endpoint.
func (x *member[K]) witnesses(now time.Time, cfg Config) int {
	n := 0
	if x.silentFor(now) >= cfg.Silent {
		n++
	}
	if x.probeBad >= badProbes {
		n++
	}
	if now.Sub(x.badLast) > cfg.Fresh {
		return n
	}
	if x.callBad >= badCalls {
		n++
	}
	if x.callBad >= manyCalls && now.Sub(x.badSince) >= cfg.Alone {
		n++
	}
	return n
}

// looksFrozen reports whether enough witnesses agree, other VMs among them.
func (x *member[K]) looksFrozen(now time.Time, cfg Config) bool {
	n := x.witnesses(now, cfg)
	if n > 0 && x.saidBad > 0 {
		n++
	}
	return n > 1 && x.suspect(now, cfg)
}

func (x *member[K]) fire(now time.Time, on chart.Trigger) bool {
	next, err := states.Fire(x.Is, on)
	if err != nil {
		return false
	}
	if next == Frozen {
		x.strike(now)
	}
	x.Is, x.Since, x.proofs = next, now, 0
	return true
}

// strike counts freezes that follow each other. A server whose health endpoint
// says "ready" while no caller gets an answer would otherwise be taken back and
// frozen again every few seconds, each time at the cost of some requests.
func (x *member[K]) strike(now time.Time) {
	if x.lastFreeze.IsZero() || now.Sub(x.lastFreeze) > forgiven {
		x.strikes = 0
	} else {
		x.strikes++
	}
	x.lastFreeze = now
}

// hold is how long a frozen member stays out at least.
func (x *member[K]) hold() time.Duration {
	if x.strikes == 0 {
		return 0
	}
	return min(firstHold<<(x.strikes-1), longHold)
}
