package poll

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

type peer struct {
	addr     string
	centre   ident.Centre
	cpus     float64
	since    time.Time // start of its uninterrupted polling
	lastSeen time.Time // last poll, or when it should have read the response to it
}

// VMs returns the number of VMs that polled lately, this one included.
func (h *Hub) VMs(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 1
	for vm, p := range h.peers {
		if now.Sub(p.lastSeen) > PeerTimeout {
			delete(h.peers, vm)
			h.peerLostAt = now
			continue
		}
		n++
	}
	return n
}

// PeerAddrs returns the addresses of the VMs that polled lately, without this one.
func (h *Hub) PeerAddrs(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for _, p := range h.peers {
		if now.Sub(p.lastSeen) <= PeerTimeout {
			all = append(all, p.addr)
		}
	}
	return all
}

// Centres returns the data centres of the VMs that polled lately, without this one.
func (h *Hub) Centres(now time.Time) map[ident.VM]ident.Centre {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[ident.VM]ident.Centre, len(h.peers))
	for vm, p := range h.peers {
		if now.Sub(p.lastSeen) <= PeerTimeout {
			all[vm] = p.centre
		}
	}
	return all
}

// HasStronger reports whether a VM that may use more processors than cpus has been
// polling for at least tenure.
func (h *Hub) HasStronger(now time.Time, cpus float64, tenure time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.cpus > cpus && now.Sub(p.lastSeen) <= PeerTimeout && now.Sub(p.since) >= tenure {
			return true
		}
	}
	return false
}

const (
	// lostPeerMemory is how long a VM that no longer polls counts for HearsAll, longer than
	// an outage of the store that a leader outlasts and the time to take over before it.
	lostPeerMemory = 20 * time.Second
	// maxPollGap is the longest time between two polls of a VM that does not take the leader
	// for lost. It is below the time after which VMs take over from a silent leader.
	maxPollGap = 800 * time.Millisecond
)

// HearsAll reports whether all VMs that polled lately still do. One that does not may have
// taken another VM, or itself, for the leader.
func (h *Hub) HearsAll(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.peerLostAt) < lostPeerMemory {
		return false
	}
	for _, p := range h.peers {
		if now.Sub(p.lastSeen) > maxPollGap {
			return false
		}
	}
	return true
}

// notePeer records a poll by another VM.
func (h *Hub) notePeer(now time.Time, req *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := now
	if old, known := h.peers[req.VM]; known && now.Sub(old.lastSeen) <= PeerTimeout {
		since = old.since
	}
	h.peers[req.VM] = peer{addr: req.Addr, centre: req.Centre, cpus: req.CPUs, since: since, lastSeen: now}
}

// extendPeer records that a VM may be reading its response until a time. It does not poll
// meanwhile but still counts: with a lower count, each VM would take more of the
// connections that a server allows to all of them.
func (h *Hub) extendPeer(until time.Time, vm ident.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, known := h.peers[vm]; known {
		p.lastSeen = until
		h.peers[vm] = p
	}
}

// addPeers adds the number of VMs that poll, addresses of some of them, which differ from
// response to response, and the receiver's rank. The caller holds mu.
func (h *Hub) addPeers(now time.Time, req *Request, resp *Response) {
	for vm, other := range h.peers {
		if now.Sub(other.lastSeen) > PeerTimeout {
			continue
		}
		resp.VMCount++
		if vm != req.VM && len(resp.VMs) < maxListedPeers {
			resp.VMs = append(resp.VMs, other.addr)
		}
		if other.cpus > req.CPUs || other.cpus == req.CPUs && vm < req.VM {
			resp.ClaimRank++
		}
	}
}
