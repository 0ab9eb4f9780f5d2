package poll

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// The leader's word that its rules are the newest counts from the arrival of the
// question. Counted from the answer, a VM whose answer was held up for a second would
// take its rules for the newest a second too long.
func TestTheLeadersWordOnItsRulesCountsFromTheQuestion(t *testing.T) {
	b := NewHub("vm-1", "life")
	came := time.Unix(100, 0)
	b.SetRulesFresh(came.Add(1500*time.Millisecond), 7)
	n, _, _ := b.look(time.Now(), &Request{VM: "vm-2", came: came})
	assert.Equal(t, n.RulesFreshFor, time.Duration(0), "a VM that does not lead cannot tell")
	b.SetLease(elect.Lease{Incarnation: "life", Holder: "vm-1", Epoch: 1}, true)
	n, _, _ = b.look(time.Now(), &Request{VM: "vm-2", came: came})
	assert.Equal(t, n.RulesFreshFor, 1500*time.Millisecond)
	n, _, _ = b.look(time.Now(), &Request{VM: "vm-2", came: came.Add(time.Minute)})
	assert.Equal(t, n.RulesFreshFor, time.Duration(0))
}

// The leader hears from the store while a question waits for news, and there are none.
// Its answer must tell what it knows then: 0.3 s less of the newest rules, and VMs fall
// into doubt for moments on a calm day, and turn callers away who are rightly refused.
func TestAnAnswerWithoutNewsIsOfItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewHub("vm-1", "life")
		b.SetLease(elect.Lease{Incarnation: "life", Holder: "vm-1", Epoch: 1}, true)
		came := time.Unix(100, 0)
		b.SetRulesFresh(came.Add(100*time.Millisecond), 7)
		time.AfterFunc(PollTimeout/2, func() { b.SetRulesFresh(came.Add(time.Second), 8) })
		n := b.wait(t.Context(), &Request{VM: "vm-2", came: came})
		assert.Equal(t, n.RulesFreshFor, time.Second)
		assert.Equal(t, int(n.RulesCursor), 8)
	})
}
