package poison

import (
	"maps"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Liveness is what is known about the process of a server whose connection broke.
type Liveness uint8

// The liveness states of a process.
const (
	Unknown  Liveness = iota // for example while the store is unreachable
	Alive                    // the same process is still listed
	Unlisted                 // it has ended, or the store cannot be reached by it
	Gone                     // a later process of the server is listed
)

// Crash is an attempt that got no answer from a process of a server, and after which the
// process was not seen to go on.
type Crash struct {
	Process    ident.Process
	SentAt     time.Time // when the attempt was sent, or shortly before; zero if not known
	At         time.Time // when it ended
	Confirmed  bool      // the process has ended
	Announced  bool      // it had announced that it leaves, so it may have ended for that reason
	reportedTo string    // process of the leader that has received it
}

// Processes lists the processes of all crashes.
func (t *Table) Processes() []ident.Process {
	found := map[ident.Process]bool{}
	for _, c := range t.cases {
		for _, crash := range c.Crashes {
			found[crash.Process] = true
		}
	}
	return slices.Collect(maps.Keys(found))
}

// NoteAnnounced records which of the processes that crashed have announced that they leave.
// The announcement may become known after the crash.
func (t *Table) NoteAnnounced(announced func(ident.Process) bool) {
	for _, c := range t.cases {
		changed := false
		for i := range c.Crashes {
			crash := &c.Crashes[i]
			if !crash.Announced && announced(crash.Process) {
				crash.Announced, changed = true, true
			}
		}
		if changed {
			t.markChanged(c)
		}
	}
}

// repeat merges another report of a crash of the same process into this one. It reports
// whether more than the time changed.
func (crash *Crash) repeat(other Crash) (news bool) {
	before := *crash
	if crash.Process.Incarnation == 0 {
		crash.Process = other.Process
	}
	crash.Announced = crash.Announced || other.Announced
	if !crash.Confirmed && other.At.After(crash.At) {
		crash.SentAt, crash.At = other.SentAt, other.At
		crash.reportedTo = other.reportedTo
	}
	crash.Confirmed = crash.Confirmed || other.Confirmed
	return crash.Process != before.Process || crash.Announced != before.Announced
}
