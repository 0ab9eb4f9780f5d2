package poison

import (
	"slices"
	"time"
)

// savedJudge is the judge of a case that was read from the store and not from a leader.
const savedJudge = "store"

// Lead records that this VM leads. Its own list of servers decides on all cases.
func (t *Table) Lead() {
	t.leader = ""
	clear(t.proofs)
	for _, c := range t.cases {
		c.judge = ""
	}
}

// follow records that a leader has answered. By then it has sent its verdicts on all cases
// that it shares. The judges of all other cases no longer lead.
func (t *Table) follow(leader string) {
	if t.leader == leader {
		return
	}
	t.leader = leader
	for _, c := range t.cases {
		if c.judge != leader {
			c.judge = ""
		}
	}
}

// judgedBy records whose verdict a case follows. The leader is empty for the store, whose
// verdicts do not replace those of a leader.
func (c *Case) judgedBy(leader string) {
	switch {
	case leader != "":
		c.judge = leader
	case c.judge == "":
		c.judge = savedJudge
	}
}

// dropAlive drops the unconfirmed crashes that are older than LivenessGrace and whose servers
// are alive. A case with a judge is left to it: a leader shares a case only when it
// changes there, so it would not restore what another VM drops by an older list.
func (t *Table) dropAlive(now time.Time, c *Case, isAlive func(Crash) bool) {
	if c.judge != "" {
		return
	}
	t.drop(now, c, func(crash Crash) bool { return now.Sub(crash.At) >= LivenessGrace && isAlive(crash) })
}

// drop drops unconfirmed crashes of a case and reports whether there were any.
func (t *Table) drop(now time.Time, c *Case, match func(Crash) bool) bool {
	n := len(c.Crashes)
	c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool {
		dropped := !crash.Confirmed && match(crash)
		if dropped && t.OnDrop != nil {
			t.OnDrop(c.Fingerprint, crash)
		}
		return dropped
	})
	if len(c.Crashes) == n {
		return false
	}
	if c.shared && c.judge == "" {
		c.dropped = now
	}
	t.markChanged(c)
	return true
}
