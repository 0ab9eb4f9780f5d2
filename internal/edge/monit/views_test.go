package monit

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// A VM and a backend server have the same name. Views about one must not count against
// the other, or a frozen server would take the authority from a lessor's holder.
func TestAVMAndAServerOfOneNameAreKeptApart(t *testing.T) {
	var ids memberIDs
	ids.addServer("twin")
	ids.addServer("other")
	ids.setVMs([]vmlist.VM{{ID: "twin"}, {ID: "vm-2"}})
	odd := members(serverKind, []ident.Server{"twin"})
	bad := members(vmKind, []ident.VM{"twin"})
	cmd := gossip.ViewsCmd{
		Views:   []gossip.PeerView{{From: "vm-2", Frozen: append(bad, gossip.MemberOf(serverKind, "unknown"))}},
		Suspect: odd,
	}
	vms, servers := viewsOf(ids.vms, cmd), viewsOf(ids.servers, cmd)
	assert.DeepEqual(t, vms.Views[0].Frozen, []ident.VM{"twin"})
	assert.Equal(t, len(vms.Suspect), 0)
	assert.DeepEqual(t, servers.Suspect, []ident.Server{"twin"})
	assert.Equal(t, len(servers.Views[0].Frozen), 0)
}
