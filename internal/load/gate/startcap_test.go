package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/warmup"
)

const testStartCap = 3

// newColdCore returns a core with a cold server, which owns the key "cold", and a warm one.
func newColdCore(now time.Time) *Core {
	c := NewCore(Config{Seed: 1})
	c.SetServers(now, coldServers())
	return c
}

func coldServers() []ServerInfo {
	return []ServerInfo{
		{Name: "cold", Slots: 4, Conns: 100, Cold: true, Capped: true, StartCap: testStartCap, CappedFor: 2 * time.Second},
		{Name: "warm", Slots: 4, Conns: 100},
	}
}

// offerAndEnd offers requests one after the other and returns how many the server got, and
// the last refused one.
func offerAndEnd(c *Core, now time.Time, n int, j Job, s ident.Server) (got int, refused *Ticket) {
	for range n {
		t := &Ticket{Job: j}
		if c.Offer(now, t) != Start {
			refused = t
			continue
		}
		if t.Server() == s {
			got++
		}
		c.Done(now, t, Outcome{Latency: time.Millisecond})
	}
	return got, refused
}

// Guards against requests to a cold server from VMs to which it is not lent, or beyond what it tolerates.
func TestAColdServerGetsOnlyTheStartsThatAreLent(t *testing.T) {
	now := begin
	c := newColdCore(now)
	got, refused := offerAndEnd(c, now, 40, Job{}, "cold")
	assert.Assert(t, got == 0 && refused == nil, "it was used without a loan")
	got, refused = offerAndEnd(c, now, 1, Job{Server: "cold", Key: "k"}, "cold")
	assert.Equal(t, got, 0)
	assert.Equal(t, refused.refusalKind, kinds.Busy)
	assert.Assert(t, refused.retryAfter >= time.Second, "the caller should return once it is warm, not after %v", refused.retryAfter)

	for range 3 {
		c.Lend(now, []ident.Server{"cold", "unknown"}, now.Add(warmup.LoanTime))
		got, refused = offerAndEnd(c, now, 10, Job{Server: "cold", Key: "k"}, "cold")
		assert.Equal(t, got, testStartCap)
		assert.Equal(t, refused.refusalKind, kinds.Busy)
		now = now.Add(warmup.Window)
	}
	got, _ = offerAndEnd(c, now, 10, Job{Server: "cold", Key: "k"}, "cold")
	assert.Equal(t, got, 0, "the loan has ended")

	list := coldServers()
	list[0].Capped = false
	c.SetServers(now, list)
	got, refused = offerAndEnd(c, now, 10, Job{Server: "cold", Key: "k"}, "cold")
	assert.Assert(t, got == 10 && refused == nil, "it is warm")
}

// Guards against requests that wait until their deadline for a server that has become cold.
func TestRequestsThatWaitForAServerThatBecomesColdAreRefusedAtOnce(t *testing.T) {
	now := begin
	c := newColdCore(now)
	list := coldServers()
	list[0].Capped = false
	c.SetServers(now, list)
	waiting := 0
	for range 20 {
		if c.Offer(now, &Ticket{Job: Job{Server: "cold", Key: "k", Deadline: now.Add(time.Minute)}}) == Wait {
			waiting++
		}
	}
	assert.Assert(t, waiting > 0)
	c.SetServers(now, coldServers())
	decided := c.TakeDecided()
	assert.Equal(t, len(decided), waiting)
	for _, ticket := range decided {
		assert.Equal(t, ticket.refusalKind, kinds.Busy)
	}
}

// Guards against callers that return at once and in vain while all servers are cold.
func TestCallersAreToldWhenColdServersShouldBeWarm(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, coldServers()[:1])
	ticket := &Ticket{}
	assert.Equal(t, c.Offer(begin, ticket), Refuse)
	assert.Equal(t, ticket.refusalKind, kinds.NoServer)
	assert.Assert(t, ticket.retryAfter >= time.Second, "%v", ticket.retryAfter)
}

// Guards against a cold server that gets a request after its loan to this VM has ended.
func TestALoanThatHasEndedIsNotUsed(t *testing.T) {
	now := time.Unix(5_000, 0)
	c := NewCore(Config{Seed: 1})
	c.SetServers(now, []ServerInfo{{Name: "a", Slots: 4, Conns: 50, Cold: true, Capped: true, StartCap: 7, CappedFor: time.Minute}})
	c.Lend(now, []ident.Server{"a"}, now.Add(time.Second))
	offer := func(at time.Time) Verdict {
		return c.Offer(at, &Ticket{Job: Job{Deadline: at.Add(time.Second)}})
	}
	assert.Equal(t, offer(now), Start)
	assert.Assert(t, offer(now.Add(1001*time.Millisecond)) != Start)
}
