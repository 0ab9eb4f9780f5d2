package lessor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// During an update of the fleet a newer program has written a seat's record. Who
// may act by it is not known here: read half, it would make this VM give orders
// beside the true holder.
func TestARecordOfANewerFormatIsRefused(t *testing.T) {
	newer, err := wire.Encode(map[string]any{"v": lessor.RecordVersion + 1, "epoch": 9, "holder": "vm-1", "term": time.Minute})
	assert.NilError(t, err)
	_, err = lessor.DecodeRecord(newer)
	assert.Equal(t, kinds.Of(err), kinds.NewerVersion)
}

// FuzzRecord feeds the decoder of seats' records anything at all: what it takes
// is within bounds and is read back the same.
func FuzzRecord(f *testing.F) {
	good, err := lessor.Record{
		Epoch: 4, Holder: "vm-1", Deputy: "vm-2", Term: time.Minute, Token: "vm-1/x/3",
		Past: []lessor.Member{{VM: "vm-3", Epoch: 3, Deputy: true}},
	}.Encode()
	assert.NilError(f, err)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{0xa1, 0x61, 0x76, 0x18, 0x63})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := lessor.DecodeRecord(b)
		if err != nil {
			k := kinds.Of(err)
			assert.Assert(t, k == kinds.Malformed || k == kinds.NewerVersion, "%v", err)
			return
		}
		assert.Assert(t, r.Term >= 0)
		again, err := r.Encode()
		assert.NilError(t, err)
		back, err := lessor.DecodeRecord(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, r)
	})
}
