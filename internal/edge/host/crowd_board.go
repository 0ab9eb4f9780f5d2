package host

import (
	"maps"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/crowd"
)

// crowdBoard collects, on the leader, the loads that servers reported to any VM.
type crowdBoard struct {
	hub     *poll.Hub
	servers *serverTracker

	mu    sync.Mutex
	board crowd.Board
}

func newCrowdBoard(hub *poll.Hub, servers *serverTracker) *crowdBoard {
	b := &crowdBoard{hub: hub, servers: servers}
	hub.SetCrowd(b)
	return b
}

// note records the loads that servers reported to a VM.
func (b *crowdBoard) note(loads map[ident.Server]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for s, load := range loads {
		b.board.Note(now, s, load)
	}
}

// Crowded implements [poll.CrowdSource].
func (b *crowdBoard) Crowded(now time.Time) map[ident.Server]int {
	slots := b.servers.serverSlots()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.board.Crowded(now, slots)
}

// serverSlots returns the slots of the servers by name. The map is not changed later.
func (t *serverTracker) serverSlots() map[ident.Server]int {
	if slots := t.slots.Load(); slots != nil {
		return *slots
	}
	return nil
}

// applyCrowded passes the loads of crowded servers to the gates.
func (t *serverTracker) applyCrowded(loads map[ident.Server]int) {
	t.mu.Lock()
	same := len(loads) == 0 && len(t.crowded) == 0
	t.crowded = maps.Clone(loads)
	t.mu.Unlock()
	if same {
		return
	}
	for _, svc := range t.state.Services() {
		svc.Gate.SetCrowded(loads)
	}
}
