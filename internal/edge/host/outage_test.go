package host

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against requests to servers without an entry from a late VM that takes its failed calls for an outage of the store, and whose leader does not answer.
func TestAVMAsksOthersWhetherTheStoreWasAway(t *testing.T) {
	tr, _ := newProcessTracker()
	tr.storeDown()
	time.Sleep(member.OutageGrace)
	tr.storeUp()
	tr.applyChanges([]object.Change{{Object: object.Object{Name: "servers/s1"}, At: 2}}, 2)
	assert.Assert(t, tr.keepsMissing())

	other := poll.NewHub("vm-2", "b")
	for ago := 5 * time.Second; ago >= 0; ago -= time.Second {
		other.SetStoreContact(time.Now().Add(-ago))
	}
	web := httptest.NewServer(other.Handler(func(*poll.Request) {}))
	defer web.Close()
	p := &poller{client: poll.NewClient(), parts: pollerParts{Config: Config{VM: "vm-1"}, Hub: tr.hub, Servers: tr, State: tr.state, Tunnels: &tunnel.Client{}}}
	p.parts.Tunnels.SetPeers([]netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))})
	var g group.Group
	g.Go(p.askAboutOutages)
	for end := time.Now().Add(member.RelistTime / 2); tr.keepsMissing() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	assert.Assert(t, !tr.keepsMissing())
	assert.NilError(t, g.Close())
}
