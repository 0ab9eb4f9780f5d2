package lessor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// During an upgrade of the fleet a newer program has written a record. An older
// program cannot know from it who may act; half understood, it would make this
// VM send orders beside the true holder.
func TestARecordOfANewerFormatIsRefused(t *testing.T) {
	newer, err := wire.Encode(map[string]any{"v": lessor.RecordVersion + 1, "epoch": 9, "holder": "vm-1", "term": time.Minute})
	assert.NilError(t, err)
	_, err = lessor.DecodeRecord(newer)
	assert.Equal(t, kinds.Of(err), kinds.NewerVersion)
}

// FuzzRecord checks that whatever the record decoder accepts is within bounds
// and survives encoding and decoding.
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
