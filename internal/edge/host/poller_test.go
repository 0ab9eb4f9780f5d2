package host

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
)

// Guards against a poll request without the known revisions. A new leader asks the
// previous one several times a second whether its term has ended, and got the complete
// server list with each response.
func TestPollRequestStatesKnownRevisions(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	tc.waitFor(waitLimit, "the server is known", func() bool { _, servers := h.listeners.parts.Hub.Revs(); return servers > 0 })
	rules, servers := h.listeners.parts.Hub.Revs()
	a := h.listeners.parts.Poller.baseRequest()
	assert.Equal(t, a.RulesRev, rules)
	assert.Equal(t, a.ServersRev, servers)
	assert.NilError(t, h.Close())
}

// Guards against a new leader without any way to a server because no VM has polled it yet.
func TestANewLeaderKeepsItsTunnelPeers(t *testing.T) {
	p := &poller{parts: pollerParts{Tunnels: &tunnel.Client{}}}
	p.setTunnelPeers([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7220")})
	p.setTunnelPeers(nil)
	assert.Equal(t, len(p.parts.Tunnels.Peers(time.Now(), 1)), 1)
}
