package monit

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// A VM and a backend server bear one name. What is said of the one must not be
// counted against the other, or a frozen server would take a seat's holder down.
func TestAVMAndAServerOfOneNameAreKeptApart(t *testing.T) {
	var k known
	k.addServer("twin")
	k.addServer("other")
	k.setVMs([]vmlist.VM{{ID: "twin"}, {ID: "vm-2"}})
	odd := members(serverSort, []ident.Server{"twin"})
	bad := members(vmSort, []ident.VM{"twin"})
	cmd := gossip.ViewsCmd{
		Views:   []gossip.PeerView{{From: "vm-2", Frozen: append(bad, gossip.MemberOf(serverSort, "unknown"))}},
		Suspect: odd,
	}
	vms, servers := viewsOf(k.vms, cmd), viewsOf(k.servers, cmd)
	assert.DeepEqual(t, vms.Views[0].Frozen, []ident.VM{"twin"})
	assert.Equal(t, len(vms.Suspect), 0)
	assert.DeepEqual(t, servers.Suspect, []ident.Server{"twin"})
	assert.Equal(t, len(servers.Views[0].Frozen), 0)
}
