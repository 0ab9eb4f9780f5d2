package host

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A VM that begins to lead asks the former leader, several times a second, whether it has
// ended. That one is on its way out or cut off, and sent all servers with each answer, as
// if the new leader knew none.
func TestAQuestionToAnyVMSaysWhatTheAskerKnows(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	w.within(patient, "the server is known", func() bool { _, servers := h.d.p.Board.Revs(); return servers > 0 })
	rules, servers := h.d.p.Board.Revs()
	a := h.d.p.Courier.hello()
	assert.Equal(t, a.RulesRev, rules)
	assert.Equal(t, a.ServersRev, servers)
	assert.NilError(t, h.Close())
}
