package gossip

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// Only the watchers read the platform's list of VMs, once a second. Their
// heartbeats carry the sum of the list that they read and its age. A VM whose own
// list has the same sum need not read; one that hears of another sum reads for
// itself. So no VM relies on a list that another VM read, and a watcher that lies
// only causes reads. If every VM read the list each second, 520 VMs would use 520
// of the 2,000 calls a second that the platform allows for everything.

// listReadFresh is how long a watcher's report of the list is valid: two
// heartbeats may be late or lost. A VM that hears none for so long reads the list
// every second.
const listReadFresh = 2500 * time.Millisecond

// maxListAge limits the list age that a heartbeat may report, in milliseconds.
const maxListAge = int64(time.Hour / time.Millisecond)

// ListReadMsg reports that this VM read the platform's list. Sum identifies its
// content and is never 0; Asked is when the call was sent.
type ListReadMsg struct {
	Sum   uint32
	Asked time.Time
}

// ReadListCmd asks the caller to read the platform's list and to answer with
// [ListReadMsg]. Without an answer it is repeated.
type ReadListCmd struct{}

// listRead is one reading of the platform's list, by this VM or as a watcher
// reported it.
type listRead struct {
	sum uint32
	at  time.Time // when the platform was asked
}

// onListRead records what this VM read. The other VMs learn of it with the next
// heartbeat, up to a second later; the list itself lags by more than that.
func (m *Model) onListRead(msg ListReadMsg) { m.listRead = listRead{sum: msg.Sum, at: msg.Asked} }

// readList asks for the list, at most once a period.
func (m *Model) readList(now time.Time) []loop.Cmd {
	if now.Sub(m.listAskedAt) < Period || !m.watch && m.listConfirmed(now) {
		return nil
	}
	m.listAskedAt = now
	return []loop.Cmd{ReadListCmd{}}
}

// listConfirmed reports whether at least minConfirmations watchers lately read the
// list that this VM holds, and none read another.
func (m *Model) listConfirmed(now time.Time) bool {
	var same [Watchers]bool
	for vm, w := range m.watchers {
		if vm == m.self || w.listRead.sum == 0 || now.Sub(w.listRead.at) > listReadFresh {
			continue
		}
		if w.listRead.sum != m.listRead.sum {
			return false
		}
		same[w.treeIndex] = true
	}
	n := 0
	for _, yes := range same {
		if yes {
			n++
		}
	}
	return n >= minConfirmations
}
