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

// A server that drains, freezes or is gone gets no new work; one that is only
// not proved yet does, or a VM that has just started would refuse everything.
func TestWhoGetsNewWork(t *testing.T) {
	for is, out := range map[chart.State]bool{
		"": false, detect.Joining: false, detect.Live: false,
		detect.Draining: true, detect.Frozen: true, detect.Gone: true,
	} {
		assert.Equal(t, serverState{is: is}.out(), out, string(is))
	}
}

func TestThisVMIsNoneOfTheOthers(t *testing.T) {
	rows := rowsOf([]vmlist.VM{{ID: "a", State: vmlist.Live}, {ID: "b", State: vmlist.Leaving}}, "a")
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].ID, ident.VM("b"))
	assert.Equal(t, rows[0].State, vmlist.Leaving)
}

// FuzzOpen feeds the decoder of notes anything at all: what it takes has exactly
// one part, and is read back the same.
func FuzzOpen(f *testing.F) {
	for _, n := range []note{{Ping: true}, {Pong: true}, {Ping: true, Pong: true}, {}} {
		b, err := wire.Encode(n)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := open(b)
		if err != nil {
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
			return
		}
		assert.Assert(t, n.Ping != n.Pong)
		again, err := wire.Encode(n)
		assert.NilError(t, err)
		back, err := open(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, n)
	})
}
