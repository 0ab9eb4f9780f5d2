package poll

import "time"

// Only the leader watches the linearizable store. It confirms to the other VMs for how long
// they may rely on it to hear what the store holds. A VM without that confirmation must ask
// the linearizable store itself.

// SetConfirmed records that until a time of the boot clock this VM knows what the store
// holds, or hears it from the leader. An earlier time than the one recorded has no effect.
func (h *Hub) SetConfirmed(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.confirmedUntil) {
		h.confirmedUntil = until
	}
}

// ConfirmedFor returns for how long that still holds; it is not positive if it does not.
func (h *Hub) ConfirmedFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedUntil.Sub(now)
}

// SetHeard records that a leader has answered this VM, at a time of the boot clock.
func (h *Hub) SetHeard(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = at
}

// HeardAt returns when a leader last answered this VM, zero if none has.
func (h *Hub) HeardAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heardAt
}
