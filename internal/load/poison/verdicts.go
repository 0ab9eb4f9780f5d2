package poison

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Verdict is a case in the form in which the leader shares it with other VMs. Times are
// sent as ages, because the clocks of VMs differ.
type Verdict struct {
	Fingerprint Fingerprint    `json:"print"`
	Crashes     []VerdictCrash `json:"crashes,omitempty"`
	ClearedAge  time.Duration  `json:"cleared,omitempty"` // time since the request was cleared; zero for never
	Trials      int            `json:"trials,omitempty"`  // granted since the last crash or answer
	TriedAge    time.Duration  `json:"tried,omitempty"`   // time since the last trial was granted; zero for never
}

// VerdictCrash is one crash of a verdict, with the time since it happened.
type VerdictCrash struct {
	Server      ident.Server  `json:"server"`
	Incarnation int64         `json:"born,omitempty"` // zero from a VM of an earlier version
	Sent        time.Duration `json:"sent,omitempty"` // age of the attempt; zero if not known
	Age         time.Duration `json:"ago"`
	Confirmed   bool          `json:"sure,omitempty"`
	Announced   bool          `json:"left,omitempty"`
}

func (v VerdictCrash) process() ident.Process {
	return ident.Process{Server: v.Server, Incarnation: v.Incarnation}
}

// Report is one observation of a VM that it sends to the leader: a process crashed while it
// ran the request or, when Server is empty, the request was answered. When Alive is set, it
// withdraws a crash: the server answered a request that was sent to it that long ago, on a
// connection that was opened Opened ago. VMs of an earlier version do not send Opened, and
// may have been answered by the server's next process.
type Report struct {
	Fingerprint Fingerprint   `json:"print"`
	Server      ident.Server  `json:"server,omitempty"`
	Incarnation int64         `json:"born,omitempty"` // zero from a VM of an earlier version
	Announced   bool          `json:"left,omitempty"`
	Sent        time.Duration `json:"sent,omitempty"` // age of the attempt; zero if not known
	Age         time.Duration `json:"ago"`
	Alive       time.Duration `json:"alive,omitempty"`
	Opened      time.Duration `json:"opened,omitempty"`
	sentAt      time.Time     // when that request was sent, by the clock of the reporting VM
	cleared     time.Time     // when the request was answered, by that clock
	crashAt     time.Time     // when the attempt ended, by that clock
}

// timeOf returns the time of an age; the zero time if the age is zero, which stands for none.
func timeOf(now time.Time, age time.Duration) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// ageOf is the inverse of timeOf.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(now.Sub(at), 1)
}

func (r Report) process() ident.Process {
	return ident.Process{Server: r.Server, Incarnation: r.Incarnation}
}

// maxReports bounds the number of reports in one request to the leader.
const maxReports = 64

// Reports lists the most recent observations that the given leader has not received yet.
// After a change of leader these include what the previous leader had sent here. The leader
// is identified by its process, so that a restarted leader receives everything again.
func (t *Table) Reports(now time.Time, leader string) []Report {
	var all []Report
	for _, c := range t.cases {
		if !c.cleared.IsZero() && c.clearReportedTo != leader {
			all = append(all, Report{Fingerprint: c.Fingerprint, Age: now.Sub(c.cleared), cleared: c.cleared})
		}
		for _, crash := range c.Crashes {
			if crash.reportedTo != leader {
				all = append(all, crash.report(now, c.Fingerprint))
			}
		}
	}
	for s, p := range t.proofs {
		all = append(all, p.report(now, s))
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
	return firstReports(all)
}

// firstReports returns the reports to send first. Up to half of them are answers, since each
// may free a request, but none that would arrive before the crashes that it clears.
func firstReports(all []Report) []Report {
	var answers, batch []Report
	for _, r := range all {
		if r.isAnswer() {
			answers = append(answers, r)
		} else {
			batch = append(batch, r)
		}
	}
	n := min(len(batch), maxReports-min(len(answers), maxReports/2))
	waiting := map[Fingerprint]bool{}
	for _, r := range batch[n:] {
		waiting[r.Fingerprint.Common()] = true
	}
	batch = batch[:n]
	for _, r := range answers {
		if len(batch) < maxReports && !waiting[r.Fingerprint.Common()] {
			batch = append(batch, r)
		}
	}
	return batch
}

func (r Report) isAnswer() bool { return r.Server == "" }

// report returns the crash in the form for the leader.
func (crash Crash) report(now time.Time, fp Fingerprint) Report {
	return Report{
		Fingerprint: fp, Server: crash.Process.Server, Incarnation: crash.Process.Incarnation,
		Announced: crash.Announced, Sent: ageOf(now, crash.SentAt), Age: now.Sub(crash.At), crashAt: crash.At,
	}
}

// MarkReported records that a leader has received the reports.
func (t *Table) MarkReported(leader string, all []Report) {
	t.follow(leader)
	for _, r := range all {
		if r.Alive > 0 {
			t.markProofReported(r)
			continue
		}
		c := t.cases[r.Fingerprint]
		if c == nil {
			continue
		}
		if r.isAnswer() && c.cleared.Equal(r.cleared) {
			c.clearReportedTo = leader
		}
		for i := range c.Crashes {
			if c.Crashes[i].Process.Is(r.process()) && c.Crashes[i].At.Equal(r.crashAt) {
				c.Crashes[i].reportedTo = leader
			}
		}
	}
}

// AddReports adds the reports of another VM to the leader's table, the oldest first: an answer
// clears only the crashes on record.
func (t *Table) AddReports(now time.Time, all []Report) {
	byTime := slices.SortedStableFunc(slices.Values(all), func(a, b Report) int { return cmp.Compare(b.Age, a.Age) })
	for _, r := range byTime {
		if r.Alive > 0 {
			t.addProof(r.life(now), now.Add(-r.Age), r.Server)
			continue
		}
		if r.isAnswer() {
			t.Clear(now.Add(-r.Age), r.Fingerprint)
			continue
		}
		t.addCrash(r.Fingerprint, Crash{Process: r.process(), SentAt: timeOf(now, r.Sent), At: now.Add(-r.Age), Announced: r.Announced})
	}
}

// ChangesSince lists the shared cases that changed after the change with number seq.
func (t *Table) ChangesSince(now time.Time, seq uint64) []Verdict {
	var all []Verdict
	for _, c := range t.cases {
		if c.shared && c.seq > seq {
			all = append(all, c.verdict(now))
		}
	}
	return all
}

// verdict returns the case in its shared form.
func (c *Case) verdict(now time.Time) Verdict {
	v := Verdict{Fingerprint: c.Fingerprint}
	v.ClearedAge = ageOf(now, c.cleared)
	if !c.triedAt.IsZero() {
		v.Trials, v.TriedAge = c.unresolvedTrials(), ageOf(now, c.triedAt)
	}
	for _, crash := range c.Crashes {
		v.Crashes = append(v.Crashes, VerdictCrash{
			Server: crash.Process.Server, Incarnation: crash.Process.Incarnation,
			Sent: ageOf(now, crash.SentAt), Age: now.Sub(crash.At), Confirmed: crash.Confirmed, Announced: crash.Announced,
		})
	}
	return v
}

// ApplyVerdicts applies the leader's verdicts. They replace the crashes known here, except
// those that the leader has not received yet.
func (t *Table) ApplyVerdicts(now time.Time, leader string, all []Verdict) {
	for _, v := range all {
		c := t.getOrCreate(v.Fingerprint)
		before := slices.Clone(c.Crashes)
		c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool { return crash.reportedTo == leader })
		t.merge(now, c, v, leader)
		t.markIfChanged(c, before)
	}
}

// Merge adds verdicts to the crashes known here. A new leader uses it for the verdicts that
// were saved in the store.
func (t *Table) Merge(now time.Time, all []Verdict) {
	for _, v := range all {
		c := t.getOrCreate(v.Fingerprint)
		before := slices.Clone(c.Crashes)
		t.merge(now, c, v, "")
		t.markIfChanged(c, before)
	}
}

// merge adds a verdict to a case. The leader is the process that sent the verdict, empty
// for the store.
func (t *Table) merge(now time.Time, c *Case, v Verdict, leader string) {
	c.judgedBy(leader)
	if v.ClearedAge > 0 {
		at := now.Add(-v.ClearedAge)
		if !c.cleared.After(at) {
			c.clearReportedTo = leader
		}
		c.clearUntil(at)
	}
	switch {
	case v.TriedAge > 0:
		c.trials, c.triedAt = v.Trials, now.Add(-v.TriedAge)
	case leader != "":
		c.trials, c.triedAt = 0, time.Time{}
	}
	for _, reported := range v.Crashes {
		c.add(Crash{
			Process: reported.process(), SentAt: timeOf(now, reported.Sent), At: now.Add(-reported.Age), Confirmed: reported.Confirmed,
			Announced: reported.Announced, reportedTo: leader,
		})
	}
}

// markIfChanged shares a case that was not shared before, and assigns a new change number
// when its set of crashed processes differs from before.
func (t *Table) markIfChanged(c *Case, before []Crash) {
	same := func(a, b Crash) bool { return a.Process == b.Process && a.Announced == b.Announced }
	if !c.shared || !slices.EqualFunc(before, c.Crashes, same) {
		c.shared = true
		t.markChanged(c)
	}
	t.shareCallers(c.Fingerprint)
}

// Quarantine lists the verdicts on requests in quarantine, to be saved in the store.
func (t *Table) Quarantine(now time.Time) []Verdict {
	var all []Verdict
	for _, c := range t.Quarantined(now) {
		all = append(all, c.verdict(now))
	}
	return all
}
