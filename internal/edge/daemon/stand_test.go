package daemon

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// The platform's store is down, and a backend server is lost meanwhile. Nobody
// can write down who has its keys next, so without a stand-by every truck for
// those scales waits until the store is back. With one another server has them
// under the lost one's seat, and every entry VM sends the requests there,
// whichever of them holds the seat. When the store returns the keys stay where
// they are, and nobody notices.
func TestALostServersKeysAreServedThroughAnOutage(t *testing.T) {
	s := newSite(t)
	s.lease = longLease
	s.svcs[0].Standby = true
	for _, c := range []ident.Centre{"north", "west", "east"} {
		s.start(c)
	}
	for _, d := range s.vms {
		until(t, "all keys served", serves(t, d))
	}
	until(t, "every seat has a deputy", s.deputised)
	svc, _ := s.vms[0].State().Service("lookup")
	s.api.Outage(true)
	lost := s.origins["lookup-1"]
	assert.NilError(t, lost.Close())
	for _, d := range s.vms {
		until(t, "the lost server's keys served", serves(t, d))
	}
	rev := svc.View().Rev()
	assert.Assert(t, !svc.View().Table().SetOf("lookup-1").Empty(), "the table cannot have changed")

	var g group.Group
	stop := make(chan struct{})
	for _, d := range s.vms {
		steady(t, &g, d, stop)
	}
	s.api.Outage(false)
	until(t, "the table names who has the keys", func() bool {
		return svc.View().Rev() > rev && svc.View().Table().SetOf("lookup-1").Empty()
	})
	close(stop)
	assert.NilError(t, g.Wait())
	for _, d := range s.vms {
		assert.Assert(t, serves(t, d)(), "not served after the outage")
	}
}

// A hint of who stands by outlives what it spoke of: its epoch ends, or its seat
// says that nobody does any more. A request must then go by the table again, or
// it would ask the wrong server until the process ends.
func TestAHintOfAStandByEndsWithItsEpoch(t *testing.T) {
	s := newSite(t)
	d := s.start("north")
	until(t, "all keys served", serves(t, d))
	svc, _ := d.State().Service("lookup")
	key := ident.Key("s3")
	owner, ok := svc.Owner(key)
	assert.Assert(t, ok)
	other := ident.Server("lookup-0")
	if owner.Server == other {
		other = "lookup-1"
	}
	stand := func(epoch ident.Epoch, n uint16, to ident.Server) ident.Server {
		svc.SetStandby(owner.Server, standOf(epoch, n, to))
		now, _ := svc.Owner(key)
		return now.Server
	}
	assert.Equal(t, stand(owner.Epoch-1, 1, other), owner.Server, "an earlier epoch")
	assert.Equal(t, stand(owner.Epoch, 2, other), other)
	assert.Equal(t, stand(owner.Epoch, 1, ""), other, "an older word")
	assert.Equal(t, stand(owner.Epoch, 3, ""), owner.Server)
	code, _ := send(t, d, http.MethodGet, "/scales/s3", "")
	assert.Equal(t, code, http.StatusOK)
}

func standOf(epoch ident.Epoch, n uint16, to ident.Server) state.Standby {
	return state.Standby{Epoch: epoch, Seq: n, To: to}
}
