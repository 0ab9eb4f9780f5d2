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
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against withdrawing a stored crash by the answer of the server's next process, because the time at which the attempt was sent does not age in the store.
func TestTheSendingOfAnAttemptAgesInTheStore(t *testing.T) {
	gw := &gateway{memStore: newMemStore()}
	gw.write("quarantine", storedCases{At: time.Now().Add(-5 * time.Minute), Cases: []poison.Verdict{{
		Fingerprint: unansweredPrint,
		Crashes:     []poison.VerdictCrash{{Server: "s1", Age: time.Second, Sent: 2 * time.Second}},
	}}})
	q := quarantineObject{name: "quarantine", log: slog.New(slog.DiscardHandler)}
	all, ok := q.read(t.Context(), gw)
	assert.Assert(t, ok)
	crash := all[0].Crashes[0]
	assert.Check(t, crash.Sent-crash.Age == time.Second)

	tab, now := poison.NewTable(), clock.Now()
	tab.Merge(now, all)
	tab.Reconcile(now, func(poison.Crash) poison.Liveness { return poison.Unknown })
	assert.Assert(t, !tab.ServerAnswered(poison.Life{From: now.Add(-time.Minute), Until: now}, "s1"), "the connection is younger than the crash")
}

// Guards against taking a process for alive by a list from before the call whose answer is being applied, as after a VM was suspended.
func TestAListIsNotNewerThanTheAnswerThatIsApplied(t *testing.T) {
	tr, p := newProcessTracker()
	crash := poison.Crash{Process: p, At: clock.Now().Add(-time.Millisecond)}
	time.Sleep(2 * time.Millisecond)
	gw := &gateway{memStore: newMemStore()}
	seenBefore := time.Time{}
	w := &watcher{
		prefix: "servers/", hub: poll.NewHub("vm-1", "1"), fresh: gw, stale: gw, log: slog.New(slog.DiscardHandler),
		onUp: tr.storeUp,
		onList: func([]object.Object, object.Cursor) {
			seenBefore = tr.observe([]ident.Process{p}).asOf
		},
	}
	_, ok := w.list(t.Context(), gw)
	assert.Assert(t, ok)
	assert.Assert(t, seenBefore.Before(crash.At.Add(time.Millisecond)), "the list does not hold the answer yet")
}
