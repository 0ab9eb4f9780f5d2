package poll

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// Guards against a leader that counts an unnoticed store outage as contact. Its own call
// is still waiting; if it reported contact up to now, another VM would drop every server
// whose entry expired in the outage and refuse all requests for two seconds.
func TestStoreContactExcludesUnnoticedOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	var h Hub
	assert.Equal(t, h.contact.upFor(begin), time.Duration(0), "no answer yet")
	for n := range 5 {
		h.SetStoreContact(begin.Add(time.Duration(n) * time.Second))
	}
	last := begin.Add(4 * time.Second)
	assert.Equal(t, h.contact.upFor(last.Add(member.OutageGrace-time.Millisecond)), 4*time.Second)
	assert.Equal(t, h.contact.upFor(last.Add(member.OutageGrace)), time.Duration(0))
	back := last.Add(3 * time.Second)
	h.SetStoreContact(back)
	assert.Equal(t, h.contact.upFor(back.Add(time.Second)), time.Duration(0), "the count starts again")
	h.SetStoreContact(back.Add(time.Second))
	assert.Equal(t, h.contact.upFor(back.Add(time.Second)), time.Second)
}

// The leader's first response must tell a VM that cannot reach the store that the store
// is up.
func TestALeaderTellsHowLongTheStoreHasAnswered(t *testing.T) {
	begin := time.Unix(1000, 0)
	h := NewHub("vm-1", "a")
	h.SetLease(elect.Lease{Epoch: 1, Holder: "vm-1", Incarnation: "a"}, true)
	h.SetServers(ServerList{Rev: 3, List: []feed.Server{{Name: "s"}}})
	h.SetStoreContact(begin)
	h.SetStoreContact(begin.Add(time.Second))
	n, worth, _ := h.response(begin.Add(time.Second), &Request{VM: "vm-2"})
	assert.Assert(t, worth)
	assert.Equal(t, n.StoreUpFor, time.Second)
}
