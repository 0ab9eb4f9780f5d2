package assign

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// evacuationSpread is the time over which the servers of an evacuated data centre hand over
// their keys. All at once, a third of all keys would wait for the work that is running on
// them, and their requests would reach the other servers in one moment.
const evacuationSpread = 1200 * time.Millisecond

// waitsToEvacuate reports whether the keys of an evacuated server do not move yet. The
// servers' turns follow from their names, so that a new leader continues in the same order.
func (b *backend) waitsToEvacuate(now time.Time) bool {
	if b.evacuatedAt.IsZero() || !b.listed || b.Leaving || b.replaced || b.isLost(now) {
		return false
	}
	const steps = 1 << 16
	turn := time.Duration(xxhash.Sum64String(string(b.Name))%steps) * evacuationSpread / steps
	return now.Sub(b.evacuatedAt) < turn
}
