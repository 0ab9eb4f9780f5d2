package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// newSilentCore returns a core of one of 10 VMs with two servers of 4 slots and 8 queue places.
func newSilentCore(silent bool) *Core {
	c := NewCore(Config{Seed: 1, SilentKeyed: true})
	c.SetShare(begin, 10, 0)
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 100}, {Name: "b", Slots: 4, Conns: 100}})
	c.SetSilent(begin, silent)
	return c
}

// applyLoad delivers a list in which server a holds a number of requests, and b none.
func applyLoad(c *Core, now time.Time, load int, offered float64) {
	entry := func(name ident.Server, load int, offered float64) fleet.Entry {
		return fleet.Entry{Server: name, Load: load, LoadAge: time.Millisecond, Sent: offered, Offered: offered, Work: 120 * time.Millisecond}
	}
	c.ApplyFleet(now, now, []fleet.Entry{entry("a", load, offered), entry("b", 0, 1)}, 12)
}

func offerAt(c *Core, now time.Time, j Job) (*Ticket, Verdict) {
	t := &Ticket{Job: j}
	return t, c.Offer(now, t)
}

// Guards against any effect on services whose full servers answer.
func TestServersThatAnswerWhenFullAreNotLimited(t *testing.T) {
	c := newSilentCore(false)
	applyLoad(c, begin, 12, 100)
	_, verdict := offerAt(c, begin, Job{Server: "a", Key: "k", Deadline: begin.Add(time.Second)})
	assert.Equal(t, verdict, Start)
	assert.Equal(t, c.Inspect(begin, "a").Places, 0)
}

// Guards against a request that hangs at a full server while another one is free.
func TestARequestThatAnyServerTakesAvoidsFullServers(t *testing.T) {
	c := newSilentCore(true)
	applyLoad(c, begin, 12, 100)
	for range minBurst {
		tk, verdict := offerAt(c, begin, Job{Deadline: begin.Add(time.Second)})
		assert.Equal(t, verdict, Start)
		assert.Equal(t, tk.Server(), ident.Server("b"))
		c.Done(begin, tk, Outcome{Latency: time.Millisecond})
	}
	assert.Equal(t, c.Stats(begin).PlacesDelayed, 1)
}

// Guards against callers that wait for a turn that comes too late for them, and against a
// Retry-After before it.
func TestARequestForAFullOwnerIsRefusedUntilItsTurn(t *testing.T) {
	c := newSilentCore(true)
	applyLoad(c, begin, 12, 100)
	tk, verdict := offerAt(c, begin, Job{Server: "a", Key: "k", Deadline: begin.Add(100 * time.Millisecond)})
	assert.Equal(t, verdict, Refuse)
	kind, after := tk.Refusal()
	assert.Equal(t, kind, kinds.Busy)
	assert.Assert(t, after >= c.byName["a"].places.Delay(begin), "%v", after)
	assert.Equal(t, c.Stats(begin).RefusedPlaces, uint64(1))
	v := c.Inspect(begin, "a")
	assert.Assert(t, v.Places == 12 && v.Estimate > 10 && v.EstimateAge == time.Millisecond, "%+v", v)
}

// Guards against a queued request that nothing starts when its turn comes: no answer and no
// list wakes the gate.
func TestAQueuedRequestStartsAtItsTurn(t *testing.T) {
	c := newSilentCore(true)
	c.limits.phase = 0.05 // of the first of 10 VMs
	applyLoad(c, begin, 8, 100)
	_, verdict := offerAt(c, begin, Job{Server: "a", Key: "k", Deadline: begin.Add(20 * time.Second)})
	assert.Equal(t, verdict, Wait)
	now := begin
	for len(c.TakeDecided()) == 0 {
		next := c.Next()
		assert.Assert(t, next.After(now) && next.Sub(begin) < 3*time.Second, "no start by %v", now.Sub(begin))
		now = next
		c.Tick(now)
	}
	assert.Equal(t, c.byName["a"].running, 1)
}

// Guards against data of a former process of a server.
func TestARestartedServerIsNotLimitedByItsFormerLoad(t *testing.T) {
	c := newSilentCore(true)
	applyLoad(c, begin, 12, 100)
	c.SetServers(begin, []ServerInfo{{Name: "a", Incarnation: 2, Slots: 4, Conns: 100}})
	applyLoad(c, begin, 12, 100) // of the former process
	_, verdict := offerAt(c, begin, Job{Server: "a", Key: "k", Deadline: begin.Add(time.Second)})
	assert.Equal(t, verdict, Start)
}

// BenchmarkAdmitSilent starts and ends one request at a time at 100 limited servers.
func BenchmarkAdmitSilent(b *testing.B) {
	c := benchCore(100)
	c.SetSilent(begin, true)
	benchAdmit(b, c)
}

// BenchmarkAdmitAnswering does the same at servers that are not limited.
func BenchmarkAdmitAnswering(b *testing.B) { benchAdmit(b, benchCore(100)) }

func benchAdmit(b *testing.B, c *Core) {
	now := begin
	tk := &Ticket{}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		tk.reset()
		tk.Job = Job{Caller: "caller", Size: 1, Deadline: now.Add(time.Second)}
		if c.Offer(now, tk) != Start {
			b.Fatal("not started")
		}
		c.Report(now, tk.Server(), 1, 0)
		c.Done(now, tk, Outcome{Latency: 5 * time.Millisecond})
		c.TakeDecided()
	}
}
