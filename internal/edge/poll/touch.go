package poll

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/node/member"
)

// touch is for how long the store has answered this VM without a break. Other VMs take
// it as the proof that they were cut off from the store and the store was not away, so
// it must not claim the time of an outage that this VM has not noticed: it counts from
// one answer to the next, and not until now.
type touch struct{ since, last time.Time }

// answered notes an answer of the store.
func (t *touch) answered(now time.Time) {
	if now.Sub(t.last) >= member.OutageGrace {
		t.since = now
	}
	t.last = now
}

// steady is the time from the first answer to the last, zero when that is too long ago.
func (t *touch) steady(now time.Time) time.Duration {
	if now.Sub(t.last) >= member.OutageGrace {
		return 0
	}
	return t.last.Sub(t.since)
}

// SetStoreContact notes that the store answered this VM.
func (b *Hub) SetStoreContact(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch.answered(now)
}
