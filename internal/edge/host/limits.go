package host

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/quota"
)

// limits holds the limits that backend servers state, as this VM knows them.
type limits struct {
	log   *slog.Logger
	known atomic.Int64 // number of limits in force

	mu   sync.Mutex
	book quota.Book
}

func newLimits(log *slog.Logger) *limits { return &limits{log: log} }

// hear records what a server said with an answer to a request that was sent at a time of the
// boot clock.
func (l *limits) hear(p ident.Process, limit quota.Limit, sent time.Time) {
	if !limit.Stated && l.known.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book.Hear(clock.Now(), p, limit, sent) {
		l.log.Info("server's limit", "server", p.Server, "born", p.Incarnation, "stated", limit.Stated, "rate", limit.Rate, "from", "answer")
	}
	l.known.Store(int64(l.book.Len()))
}
