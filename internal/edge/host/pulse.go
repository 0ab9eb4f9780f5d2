package host

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

const (
	// pulseInterval is how often the delay of this VM's own timers is measured.
	pulseInterval = 50 * time.Millisecond
	// pulseMemory is for how long a delay counts at least.
	pulseMemory = 2 * time.Second
)

// pulse measures by how much this VM's timers are late. They are when goroutines wait for
// processor time, and so are the answers of others.
type pulse struct {
	group    group.Group
	lateness atomic.Int64 // the longest recent delay, in nanoseconds
}

func newPulse(lc fx.Lifecycle) *pulse {
	p := &pulse{}
	runWhileStarted(lc, &p.group, p.run)
	return p
}

// Lateness returns the longest recent delay.
func (p *pulse) Lateness() time.Duration { return time.Duration(p.lateness.Load()) }

func (p *pulse) run(ctx context.Context) error {
	var delays recentDelays
	for began := time.Now(); group.Sleep(ctx, pulseInterval); began = time.Now() {
		now := time.Now()
		p.lateness.Store(int64(delays.add(now, now.Sub(began)-pulseInterval)))
	}
	return nil
}

// recentDelays holds the longest delay of the present span of pulseMemory, and of the one before.
type recentDelays struct {
	since           time.Time
	present, before time.Duration
}

// add adds a delay and returns the longest recent one.
func (d *recentDelays) add(now time.Time, late time.Duration) time.Duration {
	if now.Sub(d.since) >= pulseMemory {
		d.since, d.present, d.before = now, 0, d.present
	}
	d.present = max(d.present, late)
	return max(d.present, d.before)
}
