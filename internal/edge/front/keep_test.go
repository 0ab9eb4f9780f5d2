package front

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// An operator's rule keeps submissions and failures, another one a key in 16.
// Each decision must carry what its rule says, whatever way it left the line: a
// failure that was taken for a plain lookup would be missing when somebody asks
// for it.
func TestEachDecisionCarriesWhatItsRuleKeeps(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		send := func(method, path string) record.Decision {
			_, _, err := w.do(w.request(method, path, nil))
			assert.NilError(t, err)
			w.log.mu.Lock()
			defer w.log.mu.Unlock()
			return w.log.all[len(w.log.all)-1]
		}
		for _, c := range []struct {
			method, path string
			skip         bool
		}{
			{"GET", "/sparse/9", true},
			{"GET", "/sparse/9?status=404", true},
			{"GET", "/sparse/9?status=500", false},
			{"POST", "/sparse/9", false},
			{"DELETE", "/sparse/9", false},
			{"GET", "/lab/9", false},
			{"GET", "/closed", false},
			{"GET", "/nowhere", false},
		} {
			d := send(c.method, c.path)
			assert.Equal(t, d.Skip, c.skip, "%s %s", c.method, c.path)
		}
		in := 0
		for i := range 64 {
			key := ident.Key(fmt.Sprint("ward-", i))
			first, second := send("GET", "/sampled/"+string(key)), send("POST", "/sampled/"+string(key)+"?status=500")
			assert.Equal(t, first.Skip, second.Skip, "a key's history has a hole")
			assert.Equal(t, first.Skip, !retain.Sample(16).RetainsKey(key))
			assert.Equal(t, first.Keep, retain.Sample(16))
			if !first.Skip {
				in++
			}
		}
		assert.Assert(t, in > 0 && in < 64, "%d", in)
	})
}
