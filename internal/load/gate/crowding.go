package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// This file handles servers that all VMs together have crowded (package crowd). The limits
// of each VM cannot prevent it: a VM has no less than one request at a server, and seventy
// VMs with one each are more than its slots and its queue. Every answer then comes late,
// because it waited behind requests whose answers come late. So a request that would wait
// too long in the server's own queue to be answered within its latency target is not sent
// there: it goes to another server, or is refused at once if only that server can serve it.

const (
	// crowdNewsMaxAge is how long this VM believes what it was told of the servers' loads.
	crowdNewsMaxAge = time.Second
	// maxWorkSamples is the number of answers that the average work is taken over. Single
	// ones differ tenfold.
	maxWorkSamples = 50
	// workMargin is how many average works must fit between the wait at the server and the
	// latency target: they vary by as much as their mean.
	workMargin = 2
)

// crowding is what other VMs know of a server's load. The zero value knows nothing.
type crowding struct {
	load int       // requests running and queued there
	at   time.Time // when this VM was told
}

// SetCrowded records the loads of the servers that have more requests than slots.
func (c *Core) SetCrowded(now time.Time, loads map[ident.Server]int) {
	for _, s := range c.servers {
		s.crowding = crowding{load: loads[s.info.Name], at: now}
	}
	c.refresh(now)
}

// queueTime returns how long a request is expected to wait in the server's own queue.
func (c *Core) queueTime(now time.Time, s *server) time.Duration {
	if s.crowding.load == 0 || now.Sub(s.crowding.at) > crowdNewsMaxAge {
		return 0
	}
	slots := max(s.info.Slots, 1)
	ahead := max(s.crowding.load-slots+1, 0)
	return c.avgWork * time.Duration(ahead) / time.Duration(slots)
}

// crowdingExcess returns the part of the requests that must not be sent to a server, 0 to 1,
// for its answers to come within target. It rises with the wait there: all VMs hear of the
// same load and would otherwise all send, or all stop, until they hear of the next.
func (c *Core) crowdingExcess(now time.Time, s *server, target time.Duration) float64 {
	wait := c.queueTime(now, s)
	if wait == 0 {
		return 0
	}
	longest := max(target-workMargin*c.avgWork, c.avgWork)
	return min(float64(wait)/float64(longest), 1)
}

// isTooCrowded reports whether an answer of the server is expected later than target from
// now.
func (c *Core) isTooCrowded(now time.Time, s *server, target time.Duration) bool {
	wait := c.queueTime(now, s)
	return wait > 0 && wait+workMargin*c.avgWork > target
}

// observeAvgWork updates the average processing time of the service's requests.
func (c *Core) observeAvgWork(work time.Duration) {
	c.workSamples = min(c.workSamples+1, maxWorkSamples)
	c.avgWork += (work - c.avgWork) / time.Duration(c.workSamples)
}

// isCrowdedFor reports whether the owner of the request's key is too crowded to answer it
// within its latency target.
func (c *Core) isCrowdedFor(now time.Time, owner *server, t *Ticket) bool {
	if owner == nil || t.Job.LatencyTarget <= 0 {
		return false
	}
	left := t.Job.LatencyTarget - now.Sub(t.Job.arrivedAt)
	excess := c.crowdingExcess(now, owner, left)
	return excess > 0 && c.rng.Float64() < excess
}
