package host

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guards against a request that stays suspected although its server answers others, and against reading the clock for each request.
func TestAServerThatAnswersIsNotAccused(t *testing.T) {
	q := &quarantine{table: poison.NewTable(), logged: map[poison.Fingerprint]bool{}, parts: quarantineParts{Hub: poll.NewHub("vm-1", "1"), Log: slog.New(slog.DiscardHandler)}}
	assert.Assert(t, q.SendTime().IsZero())
	now := clock.Now()
	q.tick.Store(&now)
	assert.Equal(t, q.SendTime(), now)
	p := poison.HeadOf("GET", "a.example", "/x").Fingerprint("10.0.0.1", poison.BodyOf(nil))
	q.parts.Servers = newOrderTracker()
	q.update(func(now time.Time) { q.table.RecordCrash(now, p, ident.Process{Server: "s1"}) })
	q.reconcile(false)
	assert.Assert(t, q.isAccused("s1"))
	assert.Equal(t, q.SendTime(), now)
	before, after := now.Add(-time.Minute), now.Add(time.Minute)
	q.ServerAnswered(poison.Life{From: before, Until: q.SendTime()}, "s1")
	assert.Equal(t, q.table.Crashes(p), 1, "the answer may be older than the crash")
	q.ServerAnswered(poison.Life{From: now, Until: after}, "s1")
	assert.Equal(t, q.table.Crashes(p), 1, "the answer may be that of the next process")
	q.reconcile(false)
	q.ServerAnswered(poison.Life{From: before, Until: after}, "s2")
	assert.Equal(t, q.table.Crashes(p), 1)
	q.ServerAnswered(poison.Life{From: before, Until: after}, "s1")
	assert.Equal(t, q.table.Crashes(p), 0)
}
