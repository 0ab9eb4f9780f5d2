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
	// pulseMemory is for how long the longest delay counts.
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
	var longest time.Duration
	var seen time.Time
	for began := time.Now(); group.Sleep(ctx, pulseInterval); began = time.Now() {
		now := time.Now()
		if late := now.Sub(began) - pulseInterval; late >= longest || now.Sub(seen) >= pulseMemory {
			longest, seen = late, now
			p.lateness.Store(int64(late))
		}
	}
	return nil
}
