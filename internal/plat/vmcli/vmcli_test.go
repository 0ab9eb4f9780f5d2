package vmcli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

func read(t *testing.T, answer string) ([]vmlist.VM, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
	defer srv.Close()
	return New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))).VMs(t.Context())
}

// A newer version of the platform lists one VM in a form that nobody here knows.
// If that hid the whole list, VMs that start would get no work and those that are
// lost would keep it, on every entry VM at once.
func TestOneBadRowDoesNotHideTheOthers(t *testing.T) {
	const good = `{"id":"vm-1","addr":"10.0.0.1:70","centre":"north","state":"live"}`
	want := vmlist.VM{ID: "vm-1", Addr: netip.MustParseAddrPort("10.0.0.1:70"), Centre: "north", State: vmlist.Live}
	for _, bad := range []string{`7`, `null`, `{}`, `"vm-9"`, `{"id":""}`, `{"id":9}`, `{"id":"vm-9","state":{"is":"live"}}`} {
		all, err := read(t, "["+bad+","+good+"]")
		assert.NilError(t, err, bad)
		assert.DeepEqual(t, all, []vmlist.VM{want}, cmpopts.EquateComparable(netip.AddrPort{}))
	}
	all, err := read(t, `[{"id":"vm-9","addr":"unix:/run/vm-9","state":"hibernating"},`+good+`]`)
	assert.NilError(t, err)
	assert.DeepEqual(t, all, []vmlist.VM{{ID: "vm-9", State: "hibernating"}, want}, cmpopts.EquateComparable(netip.AddrPort{}))
}

func TestAnUnreadableListIsAnErrorAndNotEmpty(t *testing.T) {
	for _, answer := range []string{"", "{}", "7", "[7]", `[{"name":"vm-1"}]`, `[{"id":"vm-1"}`} {
		_, err := read(t, answer)
		assert.Equal(t, kinds.Of(err), kinds.Malformed, "%q", answer)
	}
	all, err := read(t, "[]")
	assert.NilError(t, err)
	assert.Equal(t, len(all), 0)
}
