package host

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guards against a quarantine that begins anew at each read of the store, because the last trial does not age there.
func TestTheLastTrialAgesInTheStore(t *testing.T) {
	gw := &gateway{memStore: newMemStore()}
	gw.write("quarantine", storedCases{At: time.Now().Add(-time.Hour), Cases: []poison.Verdict{{
		Fingerprint: unansweredPrint, Trials: 2, TriedAge: time.Minute,
	}}})
	object := quarantineObject{name: "quarantine", log: slog.New(slog.DiscardHandler)}
	all, ok := object.read(t.Context(), gw)
	assert.Assert(t, ok)
	assert.Assert(t, all[0].TriedAge >= time.Hour)
}
