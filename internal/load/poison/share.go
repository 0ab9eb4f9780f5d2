package poison

import (
	"cmp"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Verdict is a case as one VM tells it to others. Times are told as ages, since VMs'
// clocks differ.
type Verdict struct {
	Fingerprint Fingerprint   `json:"print"`
	Crashes     []VerdictCrash     `json:"crashes,omitempty"`
	ClearedAge     time.Duration `json:"cleared,omitempty"` // so long ago, zero for never
}

// VerdictCrash is a crash so long ago.
type VerdictCrash struct {
	Server ident.Server  `json:"server"`
	Age    time.Duration `json:"ago"`
	Sure   bool          `json:"sure,omitempty"`
}

// Report is what one VM has seen of a request: that a server broke off under it, or,
// without a server, that it was answered.
type Report struct {
	Print  Fingerprint   `json:"print"`
	Server ident.Server  `json:"server,omitempty"`
	Age    time.Duration `json:"ago"`
}

// mostReports bounds what one question to the leader carries.
const mostReports = 64

// Reports lists what this VM knows and the process of a leader has not been told: what it
// has seen itself and, after the lead changed, what the leader before had told.
func (t *Table) Reports(now time.Time, leader string) []Report {
	var all []Report
	for _, c := range t.cases {
		if !c.cleared.IsZero() && c.told != leader {
			all = append(all, Report{Print: c.Fingerprint, Age: now.Sub(c.cleared)})
		}
		for _, crash := range c.Crashes {
			if crash.told != leader {
				all = append(all, Report{Print: c.Fingerprint, Server: crash.Server, Age: now.Sub(crash.At)})
			}
		}
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
	return all[:min(len(all), mostReports)]
}

// MarkReported notes that a leader has got reports.
func (t *Table) MarkReported(leader string, all []Report) {
	for _, r := range all {
		c := t.cases[r.Print]
		if c == nil {
			continue
		}
		if r.Server == "" {
			c.told = leader
		}
		for i := range c.Crashes {
			if c.Crashes[i].Server == r.Server {
				c.Crashes[i].told = leader
			}
		}
	}
}

// AddReports takes in what another VM has seen, on the VM that leads.
func (t *Table) AddReports(now time.Time, all []Report) {
	for _, r := range all {
		if r.Server == "" {
			t.Clear(now.Add(-r.Age), r.Print)
			continue
		}
		t.accuse(r.Print, Crash{Server: r.Server, At: now.Add(-r.Age)})
	}
}

// ChangesSince lists what changed after a number, for other VMs.
func (t *Table) ChangesSince(now time.Time, seq uint64) []Verdict {
	var all []Verdict
	for _, c := range t.cases {
		if c.shared && c.seq > seq {
			all = append(all, c.verdict(now))
		}
	}
	return all
}

// verdict renders a case for others.
func (c *Case) verdict(now time.Time) Verdict {
	v := Verdict{Fingerprint: c.Fingerprint}
	if !c.cleared.IsZero() {
		v.ClearedAge = max(now.Sub(c.cleared), 1)
	}
	for _, crash := range c.Crashes {
		v.Crashes = append(v.Crashes, VerdictCrash{Server: crash.Server, Age: now.Sub(crash.At), Sure: crash.Sure})
	}
	return v
}

// ApplyVerdicts takes in the leader's verdicts. They stand in place of what is known here, but
// for what the leader has not been told yet.
func (t *Table) ApplyVerdicts(now time.Time, leader string, all []Verdict) {
	for _, v := range all {
		c := t.open(v.Fingerprint)
		before := slices.Clone(c.Crashes)
		c.Crashes = slices.DeleteFunc(c.Crashes, func(crash Crash) bool { return crash.told == leader })
		t.merge(now, c, v, leader)
		t.compare(c, before)
	}
}

// Merge adds verdicts to what is known, as a leader does with what the store kept.
func (t *Table) Merge(now time.Time, all []Verdict) {
	for _, v := range all {
		c := t.open(v.Fingerprint)
		before := slices.Clone(c.Crashes)
		t.merge(now, c, v, "")
		t.compare(c, before)
	}
}

// merge adds a verdict that a leader told, or that the store kept.
func (t *Table) merge(now time.Time, c *Case, v Verdict, leader string) {
	if v.ClearedAge > 0 {
		c.clear(now.Add(-v.ClearedAge))
		c.told = leader
	}
	for _, told := range v.Crashes {
		c.add(Crash{Server: told.Server, At: now.Add(-told.Age), Sure: told.Sure, told: leader})
	}
}

// compare numbers the change of a case that others know, if there is one.
func (t *Table) compare(c *Case, before []Crash) {
	same := func(a, b Crash) bool { return a.Server == b.Server }
	if !c.shared || !slices.EqualFunc(before, c.Crashes, same) {
		c.shared = true
		t.changed(c)
	}
}

// Quarantine lists the verdicts by which requests may reach no server, to be kept.
func (t *Table) Quarantine(now time.Time) []Verdict {
	var all []Verdict
	for _, c := range t.Quarantined(now) {
		all = append(all, c.verdict(now))
	}
	return all
}
