package poll

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
)

// The store goes silent for all VMs, and the leader has not noticed yet: its call still
// waits. Were it to say that it has been in touch until now, another VM would drop every
// server whose entry lapsed in the outage, and refuse all requests for two seconds.
func TestALeaderClaimsNoTouchOfAnOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	var b Hub
	assert.Equal(t, b.touch.steady(begin), time.Duration(0), "nothing was answered yet")
	for n := range 5 {
		b.SetStoreContact(begin.Add(time.Duration(n) * time.Second))
	}
	last := begin.Add(4 * time.Second)
	assert.Equal(t, b.touch.steady(last.Add(member.OutageGrace-time.Millisecond)), 4*time.Second)
	assert.Equal(t, b.touch.steady(last.Add(member.OutageGrace)), time.Duration(0))
	back := last.Add(3 * time.Second)
	b.SetStoreContact(back)
	assert.Equal(t, b.touch.steady(back.Add(time.Second)), time.Duration(0), "it counts anew")
	b.SetStoreContact(back.Add(time.Second))
	assert.Equal(t, b.touch.steady(back.Add(time.Second)), time.Second)
}

// A VM that was turned away by the store learns from the leader, with the first answer,
// that the store was there.
func TestALeaderTellsHowLongTheStoreHasAnswered(t *testing.T) {
	begin := time.Unix(1000, 0)
	b := NewHub("vm-1", "a")
	b.SetLease(elect.Lease{Epoch: 1, Holder: "vm-1", Incarnation: "a"}, true)
	b.SetServers(ServerList{Rev: 3, List: []feed.Server{{Name: "s"}}})
	b.SetStoreContact(begin)
	b.SetStoreContact(begin.Add(time.Second))
	n, worth, _ := b.look(begin.Add(time.Second), &Request{VM: "vm-2"})
	assert.Assert(t, worth)
	assert.Equal(t, n.StoreUpFor, time.Second)
}
