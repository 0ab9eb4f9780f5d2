package gossip

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// The platform's list of VMs is read by the watchers alone, once a second. Their
// pulses name what they read and how old it is; a VM whose own list is the same
// need not read, and one that hears of another list reads for itself. So nobody
// believes a list that another VM read, and a watcher that lies costs reads. Read
// by every VM each second, the list was 520 calls a second of the two thousand
// that the platform allows for everything.

// listFor is how long a watcher's word on the list counts: two pulses may be late
// or lost. A VM that hears nothing for so long reads each second as before.
const listFor = 2500 * time.Millisecond

// longAgo bounds the age that a pulse may name, in milliseconds.
const longAgo = int64(time.Hour / time.Millisecond)

// ListReadMsg tells what this VM read itself. Sum names the list as the platform
// showed it, never 0; Asked is when it was asked for.
type ListReadMsg struct {
	Sum   uint32
	Asked time.Time
}

// ReadListCmd asks for the platform's list to be read. Answer with ListedMsg; if
// there is no answer, it is asked for again.
type ReadListCmd struct{}

// listed is what a VM read, or a watcher says to have read.
type listed struct {
	sum uint32
	at  time.Time // when the platform was asked
}

// onListed takes what was read. News of it waits for the next pulse: the list
// itself lags by more than that second.
func (m *Model) onListed(msg ListReadMsg) { m.listed = listed{sum: msg.Sum, at: msg.Asked} }

// readList asks for the list, at most once a period.
func (m *Model) readList(now time.Time) []loop.Cmd {
	if now.Sub(m.asksList) < Period || !m.watch && m.sameList(now) {
		return nil
	}
	m.asksList = now
	return []loop.Cmd{ReadListCmd{}}
}

// sameList reports whether enough watchers read the list that is held here, and
// none another.
func (m *Model) sameList(now time.Time) bool {
	var same [Watchers]bool
	for vm, r := range m.roots {
		if vm == m.self || r.listed.sum == 0 || now.Sub(r.listed.at) > listFor {
			continue
		}
		if r.listed.sum != m.listed.sum {
			return false
		}
		same[r.turn] = true
	}
	n := 0
	for _, yes := range same {
		if yes {
			n++
		}
	}
	return n >= vouchers
}
