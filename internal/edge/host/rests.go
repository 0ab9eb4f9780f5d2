package host

import (
	"log/slog"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// rests holds the servers that want no requests from this VM for a time.
type rests struct {
	log *slog.Logger

	mu  sync.Mutex
	own map[ident.Process]time.Time // until when, on the boot clock
}

func newRests(log *slog.Logger) *rests { return &rests{log: log, own: map[ident.Process]time.Time{}} }

// hear records that a server wants no requests for a time.
func (r *rests) hear(p ident.Process, rest time.Duration, via string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if !now.Before(r.own[p]) {
		r.log.Info("server wants rest", "server", p.Server, "born", p.Incarnation, "for", rest, "via", via)
	}
	if until := now.Add(rest); until.After(r.own[p]) {
		r.own[p] = until
	}
}
