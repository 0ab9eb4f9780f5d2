package host

import (
	"log/slog"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/meter"
)

// faultInterval is the least time between two log lines about faults of one kind. A faulty
// release of a service would otherwise cause one for each answer.
const faultInterval = 10 * time.Second

// serverFaults counts and logs faults of one kind in what backend servers send.
type serverFaults struct {
	meter   *meter.Meter
	log     *slog.Logger
	counter string // name of the metric
	message string // of the log line

	mu     sync.Mutex
	count  int64     // since the last log line
	nextAt time.Time // when the next log line may be written
}

// loadFaults are load reports that could not be read whole.
type loadFaults struct{ serverFaults }

func newLoadFaults(m *meter.Meter, log *slog.Logger) *loadFaults {
	return &loadFaults{serverFaults{meter: m, log: log, counter: "load_report_faults", message: "load report could not be read whole"}}
}

// answerFaults are responses that are no answers to their requests.
type answerFaults struct{ serverFaults }

func newAnswerFaults(m *meter.Meter, log *slog.Logger) *answerFaults {
	return &answerFaults{serverFaults{meter: m, log: log, counter: "answers_rejected", message: "response is no answer to its request"}}
}

func (f *answerFaults) note(s ident.Server, reason error) { f.serverFaults.note(s, reason.Error()) }

// note records a fault.
func (f *serverFaults) note(s ident.Server, fault string) {
	f.meter.Counter(f.counter).Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	now := time.Now()
	if now.Before(f.nextAt) {
		return
	}
	f.log.Warn(f.message, "server", s, "fault", fault, "count", f.count)
	f.count, f.nextAt = 0, now.Add(faultInterval)
}
