package poll

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// Guards against freshness that is measured from the response. A VM whose response was
// delayed for a second would treat its rules as the newest for a second too long.
func TestFreshnessCountsFromTheRequest(t *testing.T) {
	h := NewHub("vm-1", "life")
	received := time.Unix(100, 0)
	h.SetRulesFresh(received.Add(1500*time.Millisecond), 7)
	n, _, _ := h.response(time.Now(), &Request{VM: "vm-2", receivedAt: received})
	assert.Equal(t, n.RulesFreshFor, time.Duration(0), "a VM that does not lead reports no freshness")
	h.SetLease(elect.Lease{Incarnation: "life", Holder: "vm-1", Epoch: 1}, true)
	n, _, _ = h.response(time.Now(), &Request{VM: "vm-2", receivedAt: received})
	assert.Equal(t, n.RulesFreshFor, 1500*time.Millisecond)
	n, _, _ = h.response(time.Now(), &Request{VM: "vm-2", receivedAt: received.Add(time.Minute)})
	assert.Equal(t, n.RulesFreshFor, time.Duration(0))
}

// Guards against a response that reports the freshness known when the poll began. It
// would be 0.3 s too old, and VMs would now and then doubt their rules and answer
// "unavailable" to callers who should get a final refusal.
func TestResponseWithoutNewsIsUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub("vm-1", "life")
		h.SetLease(elect.Lease{Incarnation: "life", Holder: "vm-1", Epoch: 1}, true)
		received := time.Unix(100, 0)
		h.SetRulesFresh(received.Add(100*time.Millisecond), 7)
		time.AfterFunc(PollTimeout/2, func() { h.SetRulesFresh(received.Add(time.Second), 8) })
		n := h.waitResponse(t.Context(), &Request{VM: "vm-2", receivedAt: received})
		assert.Equal(t, n.RulesFreshFor, time.Second)
		assert.Equal(t, int(n.RulesCursor), 8)
	})
}
