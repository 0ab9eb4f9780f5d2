package poison

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

const (
	// CrashThreshold is the number of different servers whose crashes quarantine a request.
	CrashThreshold = 3
	// LivenessGrace is how long a process must be listed after its connection broke to count
	// as alive. The entry of one that has ended expires after three heartbeats or is replaced
	// by that of the next process, and the list may be late by several seconds.
	LivenessGrace = 15 * time.Second
	// retention is how long crashes are remembered after the last one and after the end of
	// a quarantine.
	retention = 10 * time.Minute
	// maxCases bounds the requests under suspicion, and maxCrashes the crashes kept for
	// each.
	maxCases   = 2048
	maxCrashes = 8
)

// quarantineTimes are the durations of a quarantine after the third crash, the fourth, and
// each later one. Afterwards the request may be tried: the servers may have been fixed.
var quarantineTimes = []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour}

// maxTieCrashes is the number of crashes from which a request gets its full quarantine
// although another request has crashes of exactly the same servers.
const maxTieCrashes = CrashThreshold + 2

// Case is a request under suspicion.
type Case struct {
	Fingerprint     Fingerprint
	Crashes         []Crash   // of different processes, oldest first
	cleared         time.Time // when it was last answered or released
	dropped         time.Time // when crashes of a shared case were last dropped here
	clearReportedTo string    // process of the leader that has received cleared
	trials          int       // granted since the last crash or answer
	triedAt         time.Time // when the last trial was granted
	seq             uint64    // number of its last shared change
	shared          bool      // other VMs are sent this case
	judge           string    // process of the leader that decides on the case; empty if this VM does
	merged          bool      // holds the crashes of several callers, see callers
}

// lastEvent returns the time of the last crash or, without a crash, when the case was
// cleared or the last crash was dropped. The other VMs have yet to be told of that.
func (c *Case) lastEvent() time.Time {
	if n := len(c.Crashes); n > 0 {
		return c.Crashes[n-1].At
	}
	if c.dropped.After(c.cleared) {
		return c.dropped
	}
	return c.cleared
}

// quarantineTime returns how long a quarantine the crashes of the case call for.
func (c *Case) quarantineTime() time.Duration {
	n := len(c.Crashes) - CrashThreshold
	if n < 0 {
		return 0
	}
	return quarantineTimes[min(n, len(quarantineTimes)-1)]
}

// forgetAt returns when the case is out of date.
func (c *Case) forgetAt() time.Time {
	last := c.lastEvent()
	if c.triedAt.After(last) {
		last = c.triedAt
	}
	return last.Add(c.quarantineTime() + retention)
}

// covers reports whether every process that crashed under the other request also crashed
// under this one.
func (c *Case) covers(other *Case) bool {
	for _, crash := range other.Crashes {
		if !c.has(crash.Process) {
			return false
		}
	}
	return true
}

// has reports whether a process crashed under the request.
func (c *Case) has(p ident.Process) bool {
	return slices.ContainsFunc(c.Crashes, func(crash Crash) bool { return crash.Process.Is(p) })
}

// Table holds the requests under suspicion. All times passed to it must come from the same
// clock. Create it with NewTable; it is not safe for concurrent use.
type Table struct {
	// OnDrop, if set, is called for each crash that is dropped because its server is alive.
	OnDrop func(Fingerprint, Crash)

	cases      map[Fingerprint]*Case
	callers    callers
	pathCounts map[pathDigest]int // number of cases for each path
	seq        uint64             // number of the last shared change
	leader     string             // process of the last leader that received reports
	accused    map[ident.Server]Crash
	proofs     map[ident.Server]proof // not yet reported to a leader
	client     trialClient
	granter    trialGranter
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		cases: map[Fingerprint]*Case{}, callers: callers{}, pathCounts: map[pathDigest]int{},
		accused: map[ident.Server]Crash{}, proofs: map[ident.Server]proof{},
	}
}

// Len returns the number of cases.
func (t *Table) Len() int { return len(t.cases) }

// Seq returns the number of the last shared change.
func (t *Table) Seq() uint64 { return t.seq }

// Suspected reports whether any request for the path of this head is under suspicion.
func (t *Table) Suspected(h Head) bool { return t.pathCounts[h.path] > 0 }

// Crashes returns the number of servers that crashed under a request.
func (t *Table) Crashes(fp Fingerprint) int { return len(t.CrashedServers(fp)) }

// CrashedServers lists the servers that crashed under a request, oldest crash first.
func (t *Table) CrashedServers(fp Fingerprint) []ident.Server {
	var most []Crash
	for _, c := range t.judged(fp) {
		if len(c.Crashes) > len(most) {
			most = c.Crashes
		}
	}
	var all []ident.Server
	for _, crash := range most {
		all = append(all, crash.Process.Server)
	}
	return all
}

// QuarantineLeft returns how much longer a request must not reach any server, at least as
// far as is known; zero if it may, which for a request that needs a trial is so while this
// VM holds a grant that is not used.
func (t *Table) QuarantineLeft(now time.Time, fp Fingerprint) time.Duration {
	var left time.Duration
	for _, c := range t.judged(fp) {
		if t.caseBlocked(now, c) && !t.client.mayStart(now, c, fp) {
			left = max(left, t.quarantineEnd(c).Sub(now), trialRetryAfter)
		}
	}
	return left
}

// casesOf lists the cases of a request: that of its caller, that of any caller, and that of
// its caller with any query.
func (t *Table) casesOf(fp Fingerprint) []*Case {
	var all []*Case
	for _, q := range withSharedForms(fp) {
		if c := t.cases[q]; c != nil {
			all = append(all, c)
		}
	}
	return all
}

// quarantineEnd returns when the quarantine of a request ends, so that it may be tried; zero
// for a request that is free. Requests that ran on a server together with a crashing one
// get the same crashes on record. So a request is free if another one has all its crashes
// and more. If two have exactly the same crashes, a trial of either shows which one is
// harmless, and need not wait for the end of the full quarantine. The same holds for a
// request whose servers may have ended for another reason.
func (t *Table) quarantineEnd(c *Case) time.Time {
	duration := c.quarantineTime()
	if duration == 0 {
		return time.Time{}
	}
	tied := false
	for other := range t.allCases() {
		if len(other.Crashes) < len(c.Crashes) || !other.covers(c) {
			continue
		}
		sameRequest := t.sameRequest(c, other)
		if sameRequest && other.explains(c) {
			return time.Time{}
		}
		if sameRequest {
			continue
		}
		if other.frees(c) {
			return time.Time{}
		}
		tied = len(c.Crashes) < maxTieCrashes
	}
	switch {
	case c.unresolvedTrials() >= maxUnresolvedTrials:
		return c.triedAt.Add(duration)
	case tied, c.mayBeLostTogether(), c.mayBeCutOff():
		return c.lastEvent().Add(tieWait)
	}
	return c.lastEvent().Add(duration)
}

// Quarantined lists the requests that are in quarantine now, by fingerprint. They include
// those that wait for a trial.
func (t *Table) Quarantined(now time.Time) []Case {
	blocked := map[Fingerprint]bool{} // by the fingerprint of a merged case
	for key := range t.callers {
		merged := t.callers.merged(key)
		blocked[key] = merged != nil && t.caseBlocked(now, merged)
	}
	var all []Case
	for _, c := range t.cases {
		asCaller := len(c.Crashes) > 0 && c.Fingerprint != c.Fingerprint.AnyCaller() && blocked[c.Fingerprint.AnyCaller()]
		if asCaller || t.caseBlocked(now, c) {
			all = append(all, *c)
		}
	}
	slices.SortFunc(all, func(a, b Case) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return all
}

// Record records that an attempt of this VM ended without an answer, and that its process
// was not seen to go on. It returns the number of processes that did so to the request.
func (t *Table) Record(a Attempt) int {
	t.addCrash(a.Fingerprint, Crash{Process: a.Process, SentAt: a.SentAt, At: a.At, Announced: a.Announced})
	if c := t.cases[a.Fingerprint.AnyCaller()]; c != nil && !a.OthersAnsweredAt.IsZero() {
		t.clearCase(a.OthersAnsweredAt, c)
	}
	return t.Crashes(a.Fingerprint)
}

// RecordCrash is Record for an attempt that was sent and ended at once.
func (t *Table) RecordCrash(now time.Time, fp Fingerprint, p ident.Process) int {
	return t.Record(Attempt{Fingerprint: fp, Process: p, SentAt: now, At: now})
}

func (t *Table) addCrash(fp Fingerprint, crash Crash) {
	for _, q := range withSharedForms(fp) {
		if c := t.getOrCreate(q); c.add(crash) {
			t.markChanged(c)
		}
	}
	for _, q := range withSharedForms(fp) {
		t.shareCallers(q)
	}
}

// Clear records that a request was answered: earlier crashes were not caused by it, or
// their cause has been fixed.
func (t *Table) Clear(now time.Time, fp Fingerprint) {
	for _, c := range t.casesOf(fp) {
		t.clearCase(now, c)
	}
}

// Release clears a request for all its callers and queries, at an operator's command.
func (t *Table) Release(now time.Time, fp Fingerprint) {
	for _, c := range t.cases {
		if c.Fingerprint.Common() == fp.Common() {
			t.clearCase(now, c)
		}
	}
}

func (t *Table) clearCase(now time.Time, c *Case) {
	if len(c.Crashes) == 0 {
		return
	}
	c.clearUntil(now)
	c.clearReportedTo = ""
	t.markChanged(c)
}

// Reconcile drops the crashes of processes that are alive, unless a leader decides on the
// case, and cases that are out of date. liveness returns what is known about the process of
// a crash since then. Reconcile reports whether any shared case changed.
func (t *Table) Reconcile(now time.Time, liveness func(Crash) Liveness) bool {
	before := t.seq
	clear(t.accused)
	t.forgetOldProofs(now)
	for fp, c := range t.cases {
		t.dropAlive(now, c, func(crash Crash) bool { return liveness(crash) == Alive })
		for i := range c.Crashes {
			c.Crashes[i].Confirmed = c.Crashes[i].Confirmed || liveness(c.Crashes[i]) == Gone
		}
		settled := len(c.Crashes) == 0 && !c.shared && !t.awaitsReport(c)
		if settled || t.outOfDate(now, c) {
			t.remove(fp)
			continue
		}
		t.accuse(c)
	}
	return t.seq != before
}

// awaitsReport reports whether the leader has yet to be told that a case was cleared. It may
// have received the crashes before.
func (t *Table) awaitsReport(c *Case) bool {
	return t.leader != "" && !c.cleared.IsZero() && c.clearReportedTo != t.leader
}

// getOrCreate returns the case of a request and creates it if there is none.
func (t *Table) getOrCreate(fp Fingerprint) *Case {
	if c := t.cases[fp]; c != nil {
		return c
	}
	if len(t.cases) >= maxCases {
		t.evict()
	}
	c := &Case{Fingerprint: fp}
	t.cases[fp] = c
	t.callers.add(c)
	t.pathCounts[fp.path()]++
	return c
}

func (t *Table) remove(fp Fingerprint) {
	t.callers.remove(t.cases[fp])
	delete(t.cases, fp)
	if t.pathCounts[fp.path()]--; t.pathCounts[fp.path()] <= 0 {
		delete(t.pathCounts, fp.path())
	}
}

// clearUntil drops the crashes up to a time and ignores those reported later for that
// period.
func (c *Case) clearUntil(at time.Time) {
	if at.After(c.cleared) {
		c.cleared = at
	}
	c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool { return !crash.At.After(c.cleared) })
}

// add adds a crash and reports whether other VMs must be told. A crash is ignored if the
// request was cleared after it. If its process is already on record, the later time counts:
// it may have been alive after the first broken connection.
func (c *Case) add(crash Crash) bool {
	if !crash.At.After(c.cleared) {
		return false
	}
	if i := slices.IndexFunc(c.Crashes, func(o Crash) bool { return o.Process.Is(crash.Process) }); i >= 0 {
		news := c.Crashes[i].repeat(crash)
		c.sort()
		return news
	}
	c.Crashes = append(c.Crashes, crash)
	c.sort()
	if len(c.Crashes) > maxCrashes {
		c.Crashes = c.Crashes[len(c.Crashes)-maxCrashes:]
	}
	return true
}

func (c *Case) sort() {
	slices.SortFunc(c.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// markChanged assigns the next change number to a case that is shared with other VMs. A
// case with a single crash is not shared yet, because connections break all the time.
func (t *Table) markChanged(c *Case) {
	if len(c.Crashes) > 1 {
		c.shared = true
	}
	if c.shared {
		t.seq++
		c.seq = t.seq
	}
}
