package host

import (
	"log/slog"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
)

// loadFaultInterval is the least time between two log lines about load reports. A faulty
// release of a service would otherwise cause one for each answer.
const loadFaultInterval = 10 * time.Second

// loadFaults counts and logs load reports of backend servers that could not be read whole.
type loadFaults struct {
	meter *meter.Meter
	log   *slog.Logger

	mu     sync.Mutex
	count  int64     // since the last log line
	nextAt time.Time // when the next log line may be written
}

func newLoadFaults(m *meter.Meter, log *slog.Logger) *loadFaults {
	return &loadFaults{meter: m, log: log}
}

// note records a report of which a part could not be read.
func (f *loadFaults) note(s ident.Server, fault string) {
	f.meter.Counter("load_report_faults").Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	now := time.Now()
	if now.Before(f.nextAt) {
		return
	}
	f.log.Warn("load report could not be read whole", "server", s, "fault", fault, "count", f.count)
	f.count, f.nextAt = 0, now.Add(loadFaultInterval)
}
