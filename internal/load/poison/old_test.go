package poison

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Guards against VMs of the version before that are told no crashes by a leader of this one.
func TestALeaderPassesOnFingerprintsOfTheVersionBefore(t *testing.T) {
	const request, caller = "000102030405060708090a0b0c0d0e0f", "1011121314151617"
	anyCaller := request + strings.Repeat("0", len(caller))
	leader := NewTable()
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		var r Report
		assert.NilError(t, json.Unmarshal([]byte(`{"print":"`+request+caller+`","server":"`+string(s)+`","ago":1}`), &r))
		leader.AddReports(t0, []Report{r})
	}
	told := map[string]int{}
	for _, v := range leader.ChangesSince(t0, 0) {
		told[v.Fingerprint.String()] = len(v.Crashes)
	}
	assert.DeepEqual(t, told, map[string]int{request + caller: 3, anyCaller: 3})
}
