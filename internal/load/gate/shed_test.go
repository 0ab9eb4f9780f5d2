package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

func anyTicket() *Ticket { return &Ticket{Job: Job{Deadline: epoch.Add(time.Minute)}} }

// Guards against requests for the keys of a server that wants none: new, queued or repeated.
func TestAServerThatShedsGetsNoRequests(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 1, Conns: 1}})
	one, two := keyedTicket("a"), keyedTicket("a")
	two.Job.Key = "other"
	assert.Equal(t, c.Offer(epoch, one), Start)
	assert.Equal(t, c.Offer(epoch, two), Wait)
	c.Shed(epoch, "a", 3*time.Second)
	kind, after := two.Refusal()
	assert.Equal(t, kind, kinds.Busy, "it was queued")
	assert.Assert(t, after >= 3*time.Second, "%v", after)
	refused := Outcome{Kind: kinds.Busy, Refused: true}
	assert.Assert(t, !c.MayRetry(epoch, one, refused))
	c.Done(epoch, one, refused)
	late := epoch.Add(3*time.Second - time.Millisecond)
	assert.Equal(t, c.Offer(late, keyedTicket("a")), Refuse)
	assert.Equal(t, c.Offer(epoch.Add(3*time.Second), keyedTicket("a")), Start)
}

// Guards against a server that is taken out for longer than it said, as a failure would take it.
func TestSheddingIsNoFailure(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 1, Conns: 50}})
	for at := epoch; at.Before(epoch.Add(time.Minute)); at = at.Add(2 * time.Second) {
		one := anyTicket()
		one.Job.Deadline = at.Add(time.Second)
		assert.Equal(t, c.Offer(at, one), Start, "%v", at.Sub(epoch))
		c.Shed(at, "a", 2*time.Second)
		c.Done(at.Add(time.Millisecond), one, Outcome{Kind: kinds.Busy, Refused: true})
		c.Tick(at.Add(2 * time.Second))
	}
}

// Guards against requests that wait for servers that all shed requests, or are refused without a time.
func TestRequestsAreRefusedAtOnceWhenAllServersShed(t *testing.T) {
	c := limitedCore()
	for _, name := range []ident.Server{"a", "b"} {
		c.Shed(epoch, name, 2*time.Second)
	}
	one := anyTicket()
	assert.Equal(t, c.Offer(epoch, one), Start)
	assert.Equal(t, one.Server(), ident.Server("c"))
	c.Shed(epoch, "c", 4*time.Second)
	two := anyTicket()
	assert.Equal(t, c.Offer(epoch, two), Refuse)
	_, after := two.Refusal()
	assert.Assert(t, after >= 2*time.Second && after <= 2500*time.Millisecond, "%v", after)
	assert.Assert(t, !c.Next().After(epoch.Add(2*time.Second)))
	c.Tick(epoch.Add(2 * time.Second))
	three := anyTicket()
	assert.Equal(t, c.Offer(epoch.Add(2*time.Second), three), Start)
}

// Guards against a shorter time that ends a longer one, and a time that outlives its process.
func TestTheLongestTimeHoldsForItsProcess(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 4, Conns: 50, Incarnation: 1}})
	c.Shed(epoch, "a", 5*time.Second)
	c.Shed(epoch, "a", time.Second)
	assert.Equal(t, c.Offer(epoch.Add(4*time.Second), keyedTicket("a")), Refuse)
	c.SetServers(epoch.Add(4*time.Second), []ServerInfo{{Name: "a", Slots: 4, Conns: 50, Incarnation: 2}})
	assert.Equal(t, c.Offer(epoch.Add(4*time.Second), keyedTicket("a")), Start)
}
