package assign

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// grantsIn returns the first batch of grants among commands.
func grantsIn(cmds []loop.Cmd) (OrderCmd, bool) {
	for _, c := range cmds {
		if o, ok := c.(OrderCmd); ok && !o.Orders[0].Release {
			return o, true
		}
	}
	return OrderCmd{}, false
}

// The VM that leads is so weak that its grants queue up in it. At the usual pace each
// round would begin later than the one before, until leases run out although every
// server is well. So it gives longer grants, half as often, until it keeps up again.
func TestAWeakLeaderGivesLongerGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New()
	auth := Authority{Epoch: 1, Until: now.Add(time.Hour), OldTermEnd: now}
	tell := func(msg loop.Msg) []loop.Cmd { _, cmds := m.Update(now, msg); return cmds }
	tell(TickMsg{Authority: auth})
	tell(ReadResultMsg{Kind: kinds.NotFound})
	tell(ServersMsg{Servers: []Server{{Name: "s1", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: 4}}})

	// round passes time until grants go out, and answers them after they waited.
	round := func(waited time.Duration) (hold, since time.Duration) {
		for began := now; ; now = now.Add(50 * time.Millisecond) {
			cmds := tell(TickMsg{Authority: auth})
			for _, c := range cmds {
				if _, ok := c.(WriteCmd); ok {
					cmds = append(cmds, tell(WriteResultMsg{Version: 1})...)
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
			tell(OrderResultMsg{Server: o.Server, Incarnation: o.Incarnation, Results: done})
			return o.Orders[0].TTL, now.Sub(began)
		}
	}
	round(0)
	hold, since := round(2 * tardy)
	assert.Equal(t, hold, Hold)
	assert.Assert(t, since <= Renew+100*time.Millisecond, "%v", since)
	round(0) // it was due before the VM knew
	hold, since = round(0)
	assert.Equal(t, hold, LongHold)
	assert.Assert(t, since >= RenewRare, "%v", since)
	now = now.Add(strainFor)
	round(0)
	hold, _ = round(0)
	assert.Equal(t, hold, Hold, "it keeps up again")
}
