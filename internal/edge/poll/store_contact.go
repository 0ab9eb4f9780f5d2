package poll

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/node/member"
)

// storeContact tracks for how long the store has answered this VM's linearizable calls without
// interruption, whatever was asked. It is proof that the store was up while other VMs could not reach it,
// or while calls of one kind failed on this VM. It must not cover an outage that this VM has
// not noticed yet, so it ends at the last answer and not at the current time.
type storeContact struct{ since, last time.Time }

// answered records that the store answered.
func (c *storeContact) answered(now time.Time) {
	if now.Sub(c.last) >= member.OutageGrace {
		c.since = now
	}
	c.last = now
}

// upFor returns the time from the first answer to the last, or zero if the last is too
// long ago.
func (c *storeContact) upFor(now time.Time) time.Duration {
	if now.Sub(c.last) >= member.OutageGrace {
		return 0
	}
	return c.last.Sub(c.since)
}

// SetStoreContact records that the store answered a linearizable call of this VM. A copy may
// answer while the store does not.
func (h *Hub) SetStoreContact(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contact.answered(now)
}

// SinceStoreAnswer returns how long ago the store last answered this VM, whatever was asked, and
// false if that is so long ago that there may be an outage.
func (h *Hub) SinceStoreAnswer(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := now.Sub(h.contact.last)
	return since, since < member.OutageGrace
}

// StoreUpFor returns for how long the store has answered this VM without interruption, zero if
// it does not.
func (h *Hub) StoreUpFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contact.upFor(now)
}
