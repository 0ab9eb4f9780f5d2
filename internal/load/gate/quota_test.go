package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// limitedCore returns a core with servers of which the named ones limit their requests.
func limitedCore(limited ...ident.Server) *Core {
	c := NewCore(Config{Seed: 1})
	var list []ServerInfo
	for _, name := range []ident.Server{"a", "b", "c"} {
		info := ServerInfo{Name: name, Slots: 8, Conns: 50}
		for _, l := range limited {
			info.Limited = info.Limited || l == name
		}
		list = append(list, info)
	}
	c.SetServers(epoch, list)
	return c
}

var epoch = time.Unix(5_000, 0)

func keyedTicket(s ident.Server) *Ticket {
	return &Ticket{Job: Job{Key: "k", Server: s, Deadline: epoch.Add(time.Minute)}}
}

// Guards against a request that is sent to a server with a limit without a permit.
func TestARequestForALimitedServerWaitsForAPermit(t *testing.T) {
	c := limitedCore("a")
	one := keyedTicket("a")
	assert.Equal(t, c.Offer(epoch, one), Wait)
	assert.DeepEqual(t, c.TakeAsks(), []PermitAsk{{Server: "a", N: 1}})
	assert.Equal(t, len(c.TakeAsks()), 0)
	c.Permit(epoch, PermitAnswer{PermitAsk: PermitAsk{Server: "a", N: 1}, Granted: 1, Until: epoch.Add(time.Second)})
	assert.Assert(t, len(c.TakeDecided()) == 1)
	assert.Equal(t, one.Server(), ident.Server("a"))
	assert.Equal(t, c.Offer(epoch, keyedTicket("a")), Wait, "the permit is used up")
}

// Guards against requests beyond the limit that wait in vain, or are refused without a time.
func TestRequestsBeyondTheLimitAreRefusedAtOnce(t *testing.T) {
	c := limitedCore("a")
	one, two := keyedTicket("a"), keyedTicket("a")
	c.Offer(epoch, one)
	c.Offer(epoch, two)
	ask := c.TakeAsks()[0]
	c.Permit(epoch, PermitAnswer{PermitAsk: ask, Granted: 1, Until: epoch.Add(time.Second), Next: 700 * time.Millisecond})
	assert.Equal(t, len(c.TakeDecided()), 2)
	kind, after := two.Refusal()
	assert.Equal(t, kind, kinds.Busy)
	assert.Assert(t, after >= 700*time.Millisecond && after <= 900*time.Millisecond, "%v", after)
	three := keyedTicket("a")
	assert.Equal(t, c.Offer(epoch.Add(100*time.Millisecond), three), Refuse)
	assert.Equal(t, len(c.TakeAsks()), 0, "there is none before the time named")
	assert.Equal(t, c.Offer(epoch.Add(time.Second), keyedTicket("a")), Wait)
	assert.Equal(t, len(c.TakeAsks()), 1)
}

// Guards against a permit that is used after its end.
func TestAPermitEnds(t *testing.T) {
	c := limitedCore("a", "b", "c")
	one := &Ticket{Job: Job{Deadline: epoch.Add(time.Minute)}}
	assert.Equal(t, c.Offer(epoch, one), Wait)
	for _, ask := range c.TakeAsks() {
		c.Permit(epoch, PermitAnswer{PermitAsk: ask, Granted: ask.N, Until: epoch.Add(time.Second)})
	}
	assert.Equal(t, len(c.TakeDecided()), 1)
	two := &Ticket{Job: Job{Deadline: epoch.Add(time.Minute)}}
	assert.Equal(t, c.Offer(epoch.Add(2*time.Second), two), Wait, "the others have ended")
}

// Guards against requests that may go anywhere and wait for servers with limits beside one without.
func TestRequestsForAnyServerUseThoseWithoutLimits(t *testing.T) {
	c := limitedCore("a", "b")
	for range 20 {
		one := &Ticket{Job: Job{Deadline: epoch.Add(time.Minute)}}
		assert.Equal(t, c.Offer(epoch, one), Start)
		assert.Equal(t, one.Server(), ident.Server("c"))
		c.Done(epoch, one, Outcome{Latency: time.Millisecond})
	}
	assert.Assert(t, len(c.TakeAsks()) > 0, "their share is asked for")
}

// Guards against requests that wait although all servers have limits and no permits.
func TestRequestsAreRefusedWhenNoServerTakesAny(t *testing.T) {
	c := limitedCore("a", "b", "c")
	one := &Ticket{Job: Job{Deadline: epoch.Add(time.Minute)}}
	assert.Equal(t, c.Offer(epoch, one), Wait)
	for _, ask := range c.TakeAsks() {
		c.Permit(epoch, PermitAnswer{PermitAsk: ask, Next: time.Second})
	}
	kind, after := one.Refusal()
	assert.Equal(t, kind, kinds.Busy)
	assert.Assert(t, after >= time.Second && after <= 1300*time.Millisecond, "%v", after)
}

// Guards against queued requests that stay behind when a limit ends, or are sent when it begins.
func TestALimitAppliesToQueuedRequests(t *testing.T) {
	c := limitedCore("a")
	one := keyedTicket("a")
	assert.Equal(t, c.Offer(epoch, one), Wait)
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 8, Conns: 50}})
	assert.Equal(t, len(c.TakeDecided()), 1, "the limit has ended")
	c.SetServers(epoch, []ServerInfo{{Name: "a", Slots: 8, Conns: 50, Limited: true}})
	assert.Equal(t, c.Offer(epoch, keyedTicket("a")), Wait)
}
