package monit

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// A server that is draining, frozen or gone gets no new work; one that is only joining
// does, or a VM that has just started would refuse everything.
func TestExcludedStates(t *testing.T) {
	for state, excluded := range map[chart.State]bool{
		"": false, detect.Joining: false, detect.Live: false,
		detect.Draining: true, detect.Frozen: true, detect.Gone: true,
	} {
		assert.Equal(t, serverState{state: state}.excluded(), excluded, string(state))
	}
}

func TestOtherVMsOmitsSelf(t *testing.T) {
	rows := otherVMs([]vmlist.VM{{ID: "a", State: vmlist.Live}, {ID: "b", State: vmlist.Leaving}}, "a")
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].ID, ident.VM("b"))
	assert.Equal(t, rows[0].State, vmlist.Leaving)
}

// FuzzDecodePing feeds arbitrary bytes to decodePing: what it accepts is exactly one of
// ping and answer, and is the same after encoding and decoding again.
func FuzzDecodePing(f *testing.F) {
	for _, msg := range []pingMsg{{Ping: true}, {Pong: true}, {Ping: true, Pong: true}, {}} {
		b, err := wire.Encode(msg)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, err := decodePing(b)
		if err != nil {
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
			return
		}
		assert.Assert(t, msg.Ping != msg.Pong)
		again, err := wire.Encode(msg)
		assert.NilError(t, err)
		back, err := decodePing(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, msg)
	})
}
