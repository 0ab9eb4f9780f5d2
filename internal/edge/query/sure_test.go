package query

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/owner/lead"
)

// The leader's word that its rules are the newest counts from the arrival of the
// question. Counted from the answer, a VM whose answer was held up for a second would
// take its rules for the newest a second too long.
func TestTheLeadersWordOnItsRulesCountsFromTheQuestion(t *testing.T) {
	b := NewBoard("vm-1", "life")
	came := time.Unix(100, 0)
	b.SetSure(came.Add(1500*time.Millisecond), 7)
	n, _, _ := b.look(time.Now(), &Ask{VM: "vm-2", came: came})
	assert.Equal(t, n.Sure, time.Duration(0), "a VM that does not lead cannot tell")
	b.SetLease(lead.Lease{Life: "life", Holder: "vm-1", Epoch: 1}, true)
	n, _, _ = b.look(time.Now(), &Ask{VM: "vm-2", came: came})
	assert.Equal(t, n.Sure, 1500*time.Millisecond)
	n, _, _ = b.look(time.Now(), &Ask{VM: "vm-2", came: came.Add(time.Minute)})
	assert.Equal(t, n.Sure, time.Duration(0))
}
