package warden

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
		Views: []gossip.Said{{From: "vm-2", Bad: append(bad, gossip.MemberOf(serverSort, "unknown"))}},
		Odd:   odd,
	}
	vms, servers := viewsOf(k.vms, cmd), viewsOf(k.servers, cmd)
	assert.DeepEqual(t, vms.Views[0].Bad, []ident.VM{"twin"})
	assert.Equal(t, len(vms.Odd), 0)
	assert.DeepEqual(t, servers.Odd, []ident.Server{"twin"})
	assert.Equal(t, len(servers.Views[0].Bad), 0)
}
