package front

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// Guards against a log that does not tell whose word a promise of "not run" was.
func TestADecisionSaysOnWhatItsPromiseRests(t *testing.T) {
	for want, answer := range map[record.Promise]func(w http.ResponseWriter, id string){
		record.PromiseRefused: func(w http.ResponseWriter, id string) {
			w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			w.Header().Set(relay.HeaderID, id)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		record.PromiseUnnamed: func(w http.ResponseWriter, _ string) {
			w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		record.PromisePassedOn: func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusServiceUnavailable) },
		"":                     func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusBadGateway) },
	} {
		runWithTestbed(t, func(t *testing.T, tb *testbed) {
			tb.replaceServer(l1Addr, answer)
			_, _, err := tb.do(tb.request("GET", "/scales/north", nil))
			assert.NilError(t, err)
			assert.Equal(t, tb.decisions.last().Promise, want)
			_, _, err = tb.do(tb.request("GET", "/closed", nil))
			assert.NilError(t, err)
			assert.Equal(t, tb.decisions.last().Promise, record.PromiseUnsent)
		})
	}
}
