package assign

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// grantsIn returns the first command with grants.
func grantsIn(cmds []loop.Cmd) (OrderCmd, bool) {
	for _, c := range cmds {
		if o, ok := c.(OrderCmd); ok && !o.Orders[0].Release {
			return o, true
		}
	}
	return OrderCmd{}, false
}

// The leader's VM is so weak that its grants queue up. At the normal interval each round
// would begin later than the one before, until leases expire although every server is
// healthy. It must send longer grants, half as often, until it keeps up again.
func TestAWeakLeaderGivesLongerGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New()
	auth := Authority{Epoch: 1, Until: now.Add(time.Hour), OldTermEnd: now}
	update := func(msg loop.Msg) []loop.Cmd { _, cmds := m.Update(now, msg); return cmds }
	update(TickMsg{Authority: auth})
	update(ReadResultMsg{Kind: kinds.NotFound})
	update(ServersMsg{Servers: []Server{{Name: "s1", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: 4}}})

	// round advances the time until grants are sent, and answers them after they waited.
	round := func(waited time.Duration) (ttl, since time.Duration) {
		for began := now; ; now = now.Add(50 * time.Millisecond) {
			cmds := update(TickMsg{Authority: auth})
			for _, c := range cmds {
				if _, ok := c.(WriteCmd); ok {
					cmds = append(cmds, update(WriteResultMsg{Version: 1})...)
				}
			}
			o, ok := grantsIn(cmds)
			if !ok {
				assert.Assert(t, now.Sub(began) < time.Minute, "no grants")
				continue
			}
			var done []OrderResult
			for _, one := range o.Orders {
				done = append(done, OrderResult{Order: one, Sent: now, Waited: waited / time.Duration(len(o.Orders))})
			}
			update(OrderResultMsg{Server: o.Server, Incarnation: o.Incarnation, Results: done})
			return o.Orders[0].TTL, now.Sub(began)
		}
	}
	round(0)
	ttl, since := round(2 * maxQueueWait)
	assert.Equal(t, ttl, GrantTTL)
	assert.Assert(t, since <= RenewInterval+100*time.Millisecond, "%v", since)
	round(0) // this round was already scheduled
	ttl, since = round(0)
	assert.Equal(t, ttl, LongGrantTTL)
	assert.Assert(t, since >= SlowRenewInterval, "%v", since)
	now = now.Add(overloadPeriod)
	round(0)
	ttl, _ = round(0)
	assert.Equal(t, ttl, GrantTTL, "the overload has ended")
}
