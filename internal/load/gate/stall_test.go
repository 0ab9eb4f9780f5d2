package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/load/stall"
)

// newStallCore returns a core whose only server is silent when full, and a request that was
// started there at begin.
func newStallCore(t *testing.T, idempotent bool) (*Core, *Ticket) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Incarnation: 7, Slots: 1, Conns: 10}})
	c.SetSilent(begin, true)
	c.ApplyFleet(begin, begin, []fleet.Entry{{Server: "a", Incarnation: 7, Load: 0, LoadAge: 1, Work: 100 * time.Millisecond}}, 10)
	tk := &Ticket{Job: Job{Deadline: begin.Add(time.Minute), Idempotent: idempotent}}
	assert.Equal(t, c.Offer(begin, tk), Start)
	return c, tk
}

// tickUntil lets time pass from begin. Without ticks it would count as a pause of the VM.
func (c *Core) tickUntil(now time.Time) {
	for at := begin; !at.After(now); at = at.Add(50 * time.Millisecond) {
		c.Tick(at)
	}
}

func (c *Core) verdict(now time.Time, t *Ticket) stall.Verdict {
	v, _ := stall.Stalled(c.stallInputs(now, t, t.startedAt))
	return v
}

// Guards against verdicts from fleet data that is missing, old, or about an earlier process of
// the server. What the fleet said of an answered request stays true; its silence means nothing
// once it is old.
func TestVerdictsFromFleetData(t *testing.T) {
	now := begin.Add(2 * time.Second)
	entry := fleet.Entry{Server: "a", Incarnation: 7, LoadAge: 1, Work: 100 * time.Millisecond, ServedAge: 1500 * time.Millisecond}
	for name, test := range map[string]struct {
		change func(c *Core, e *fleet.Entry) (at time.Time)
		want   stall.Verdict
	}{
		"fresh": {func(*Core, *fleet.Entry) time.Time { return now }, stall.Stall},
		"answered nothing later": {func(_ *Core, e *fleet.Entry) time.Time {
			e.ServedAge = 3 * time.Second
			return now
		}, stall.Waiting},
		"old, but of a later answer": {func(_ *Core, e *fleet.Entry) time.Time {
			e.ServedAge = 200 * time.Millisecond
			return begin.Add(800 * time.Millisecond)
		}, stall.Stall},
		"old, before any later answer": {func(_ *Core, e *fleet.Entry) time.Time {
			e.ServedAge = 200 * time.Millisecond
			return begin.Add(100 * time.Millisecond)
		}, stall.Waiting},
		"of an earlier process": {func(_ *Core, e *fleet.Entry) time.Time {
			e.Incarnation = 6
			return now
		}, stall.Waiting},
		"of a later process": {func(c *Core, e *fleet.Entry) time.Time {
			c.SetServers(now, []ServerInfo{{Name: "a", Incarnation: 8, Slots: 1, Conns: 10}})
			e.Incarnation = 8
			return now
		}, stall.Waiting},
	} {
		t.Run(name, func(t *testing.T) {
			c, tk := newStallCore(t, true)
			c.Report(begin, "a", 0, 0)
			for range minLatencySamples { // answers of this VM make service times known without the fleet
				c.answers[tk.sizeKind]++
			}
			c.avgLatency[tk.sizeKind] = 0.1
			e := entry
			c.tickUntil(now)
			at := test.change(c, &e)
			c.ApplyFleet(now, at, []fleet.Entry{e}, 10)
			assert.Equal(t, c.verdict(now, tk), test.want)
		})
	}
}

// Guards against requests that wait for their timeouts because no VM leads, and against giving
// them up while the server may still have them queued.
func TestVerdictsWithoutFleetData(t *testing.T) {
	for after, want := range map[time.Duration]stall.Verdict{2 * time.Second: stall.Waiting, 5 * time.Second: stall.Stall} {
		c, tk := newStallCore(t, true)
		c.tickUntil(begin.Add(after))
		assert.Equal(t, c.verdict(begin.Add(after), tk), stall.Waiting, "no service time is known")
		c.answers[tk.sizeKind], c.avgLatency[tk.sizeKind] = minLatencySamples, 0.1
		assert.Equal(t, c.verdict(begin.Add(after), tk), want)
	}
}

// Guards against a slot that a stalled attempt holds until its deadline, one that is freed
// twice, and a server that is ejected or limited for a request that it never had.
func TestAStalledAttemptFreesItsSlotOnce(t *testing.T) {
	c, tk := newStallCore(t, false)
	srv, now := c.servers[0], begin.Add(2*time.Second)
	limit := srv.maxRunning(now)
	for c.running < limit {
		assert.Equal(t, c.Offer(now, &Ticket{Job: Job{Deadline: begin.Add(time.Minute)}}), Start)
	}
	next := &Ticket{Job: Job{Deadline: begin.Add(time.Minute)}}
	assert.Equal(t, c.Offer(now, next), Wait)
	srv.placesOn = false // this VM's turn comes later than the slot
	assert.Assert(t, c.SilentEvidence(tk.Job.Deadline, tk, Outcome{Kind: kinds.Unknown}) == false, "no later answer is known")
	assert.Assert(t, !c.Stalled(now, tk, false))
	assert.Equal(t, next.state, stateStarted, "the slot was not given to the next request")
	c.Done(now, next, Outcome{Latency: 50 * time.Millisecond})
	assert.Assert(t, c.SilentEvidence(tk.Job.Deadline, tk, Outcome{Kind: kinds.Unknown}))
	before := srv.health
	c.Done(tk.Job.Deadline, tk, Outcome{Kind: kinds.Unknown, Stalled: true})
	c.Done(tk.Job.Deadline, tk, Outcome{Kind: kinds.Unknown})
	assert.Equal(t, srv.health, before)
	assert.Equal(t, srv.running, limit-1)
	assert.Equal(t, srv.givenUp, 0)
	assert.Equal(t, srv.lastFailure, kinds.None)
}

// Guards against a retry that is paid for and not made, because the answer or the end of the
// caller came first, and against giving up an attempt that no retry can follow.
func TestAStalledAttemptIsGivenUpOnlyForARetry(t *testing.T) {
	for _, o := range []Outcome{{}, Cancel()} {
		c, tk := newStallCore(t, true)
		budget := c.retryBudget.Remaining()
		assert.Assert(t, c.Stalled(begin, tk, true))
		assert.Equal(t, c.retryBudget.Remaining(), budget-1)
		assert.Assert(t, !c.MayRetry(begin, tk, o))
		c.Done(begin, tk, o)
		assert.Equal(t, c.retryBudget.Remaining(), budget)
	}
	c, tk := newStallCore(t, true)
	assert.Assert(t, c.Stalled(begin, tk, true))
	left := c.retryBudget.Remaining()
	assert.Assert(t, c.MayRetry(begin, tk, Outcome{Kind: kinds.Unknown, Stalled: true}))
	c.Done(begin, tk, Outcome{Kind: kinds.Unknown, Stalled: true})
	assert.Equal(t, c.retryBudget.Remaining(), left, "charged or refunded twice")

	c, tk = newStallCore(t, true)
	for c.retryBudget.ChargeSafe() {
	}
	assert.Assert(t, !c.Stalled(begin, tk, true), "the budget is empty")
	c, tk = newStallCore(t, false)
	assert.Assert(t, !c.Stalled(begin, tk, true), "it may run once only")
	c, tk = newStallCore(t, true)
	assert.Assert(t, !c.Stalled(tk.Job.Deadline.Add(-time.Millisecond), tk, true), "too little time is left")
}
