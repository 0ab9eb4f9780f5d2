package poll

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a message that cannot be decoded because a VM of another version encodes
// one item differently.
func TestUndecodableItemLeavesMessageReadable(t *testing.T) {
	for text, want := range map[string]int{
		`{"vm":"v","cases":{"seq":3,"list":[{"print":"00"},{"print":"000102030405060708090a0b0c0d0e0f1011121314151617","crashes":[{"server":"s","ago":5}]}]}}`: 1,
		`{"vm":"v","cases":{"seq":3,"list":{"print":7}}}`: 0,
	} {
		var n Response
		assert.NilError(t, json.Unmarshal([]byte(text), &n))
		assert.Equal(t, string(n.VM), "v")
		assert.Equal(t, n.Cases.Seq, uint64(3))
		assert.Equal(t, len(n.Cases.List), want)
	}
	var a Request
	assert.NilError(t, json.Unmarshal([]byte(`{"vm":"v","reports":[{"print":1}]}`), &a))
	assert.Equal(t, string(a.VM), "v")
	assert.Equal(t, len(a.Reports), 0)
}
