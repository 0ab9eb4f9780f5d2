package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func isGone(ident.Server) Liveness { return Gone }

// Guards against counting a crash that was followed by an answer, because the VM forgets the answer before its next poll.
func TestAnAnswerIsKeptUntilTheLeaderHasIt(t *testing.T) {
	vm, leader := NewTable(), NewTable()
	vm.RecordCrash(t0, crashing, "s1")
	pollOnce(t0, vm, leader, "leader")
	now := t0.Add(time.Second)
	vm.Clear(now, crashing)
	vm.Reconcile(now, isGone)
	pollOnce(now, vm, leader, "leader")
	assert.Equal(t, leader.Crashes(crashing), 0)
	vm.Reconcile(now, isGone)
	assert.Equal(t, vm.Len(), 0, "it is forgotten once it is reported")
}
