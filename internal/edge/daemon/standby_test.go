package daemon

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// The store is down, and a backend server is lost meanwhile. No new table can be
// written, so without a standby its keys would not be served until the store is back. A
// standby must serve them through every entry VM, and keep them when the store returns.
func TestALostServersKeysAreServedThroughAnOutage(t *testing.T) {
	c := newCluster(t)
	c.lease = longLease
	c.services[0].Standby = true
	for _, centre := range []ident.Centre{"north", "west", "east"} {
		c.startVM(centre)
	}
	for _, d := range c.daemons {
		waitUntil(t, "all keys served", servesAllKeys(t, d))
	}
	waitUntil(t, "every lessor has a deputy", c.allHaveDeputies)
	svc, _ := c.daemons[0].State().Service("lookup")
	c.api.Outage(true)
	lost := c.origins["lookup-1"]
	assert.NilError(t, lost.Close())
	for _, d := range c.daemons {
		waitUntil(t, "the lost server's keys served", servesAllKeys(t, d))
	}
	rev := svc.View().Rev()
	assert.Assert(t, !svc.View().Table().SetOf("lookup-1").Empty(), "the table cannot have changed")

	var g group.Group
	stop := make(chan struct{})
	for _, d := range c.daemons {
		sendSteadily(t, &g, d, stop)
	}
	c.api.Outage(false)
	waitUntil(t, "the table names who has the keys", func() bool {
		return svc.View().Rev() > rev && svc.View().Table().SetOf("lookup-1").Empty()
	})
	close(stop)
	assert.NilError(t, g.Wait())
	for _, d := range c.daemons {
		assert.Assert(t, servesAllKeys(t, d)(), "not served after the outage")
	}
}

// A standby hint outlives its subject: its epoch ends, or the lessor ends the standby. A
// request must then be routed by the table again, or it would go to the wrong server
// until the process ends.
func TestAStandbyHintEndsWithItsEpoch(t *testing.T) {
	c := newCluster(t)
	d := c.startVM("north")
	waitUntil(t, "all keys served", servesAllKeys(t, d))
	svc, _ := d.State().Service("lookup")
	key := ident.Key("s3")
	owner, ok := svc.Owner(key)
	assert.Assert(t, ok)
	other := ident.Server("lookup-0")
	if owner.Server == other {
		other = "lookup-1"
	}
	setStandby := func(epoch ident.Epoch, n uint16, to ident.Server) ident.Server {
		svc.SetStandby(owner.Server, standbyHint(epoch, n, to))
		now, _ := svc.Owner(key)
		return now.Server
	}
	assert.Equal(t, setStandby(owner.Epoch-1, 1, other), owner.Server, "an earlier epoch")
	assert.Equal(t, setStandby(owner.Epoch, 2, other), other)
	assert.Equal(t, setStandby(owner.Epoch, 1, ""), other, "an older hint")
	assert.Equal(t, setStandby(owner.Epoch, 3, ""), owner.Server)
	code, _ := send(t, d, http.MethodGet, "/scales/s3", "")
	assert.Equal(t, code, http.StatusOK)
}

func standbyHint(epoch ident.Epoch, n uint16, to ident.Server) state.Standby {
	return state.Standby{Epoch: epoch, Seq: n, To: to}
}
