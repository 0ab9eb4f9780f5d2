package host

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Guards against a quarantine that begins anew at each read of the store, because the last trial does not age there, or loses a crash because its attempt does not.
func TestTheLastTrialAgesInTheStore(t *testing.T) {
	gw := &gateway{memStore: newMemStore()}
	gw.write("quarantine", storedCases{At: time.Now().Add(-time.Hour), Cases: []poison.Verdict{{
		Fingerprint: unansweredPrint, Trials: 2, TriedAge: time.Minute,
		Crashes: []poison.VerdictCrash{{Server: "s1", Sent: 2 * time.Second, Age: time.Second}, {Server: "s2", Age: time.Second}},
	}}})
	object := quarantineObject{name: "quarantine", log: slog.New(slog.DiscardHandler)}
	all, ok := object.read(t.Context(), gw)
	assert.Assert(t, ok)
	assert.Assert(t, all[0].TriedAge >= time.Hour)
	crashes := all[0].Crashes
	assert.Equal(t, crashes[0].Sent-crashes[0].Age, time.Second)
	assert.Equal(t, crashes[1].Sent, time.Duration(0), "not known")
}
