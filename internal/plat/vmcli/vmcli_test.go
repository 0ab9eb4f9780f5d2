package vmcli

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// listVMs reads the list from a platform whose response has the given body.
func listVMs(t *testing.T, answer string) ([]vmlist.VM, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
	defer srv.Close()
	return New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))).VMs(t.Context())
}

// A newer version of the platform lists one VM in an unknown format. If that failed
// the whole list on every entry VM, new VMs would get no work and lost VMs would
// keep theirs.
func TestOneBadRowDoesNotHideTheOthers(t *testing.T) {
	const good = `{"id":"vm-1","addr":"10.0.0.1:70","centre":"north","state":"live"}`
	want := vmlist.VM{ID: "vm-1", Addr: netip.MustParseAddrPort("10.0.0.1:70"), Centre: "north", State: vmlist.Live}
	for _, bad := range []string{`7`, `null`, `{}`, `"vm-9"`, `{"id":""}`, `{"id":9}`, `{"id":"vm-9","state":{"is":"live"}}`} {
		all, err := listVMs(t, "["+bad+","+good+"]")
		assert.NilError(t, err, bad)
		assert.DeepEqual(t, all, []vmlist.VM{want}, cmpopts.EquateComparable(netip.AddrPort{}))
	}
	all, err := listVMs(t, `[{"id":"vm-9","addr":"unix:/run/vm-9","state":"hibernating"},`+good+`]`)
	assert.NilError(t, err)
	assert.DeepEqual(t, all, []vmlist.VM{{ID: "vm-9", State: "hibernating"}, want}, cmpopts.EquateComparable(netip.AddrPort{}))
}

func TestAnUnreadableListIsAnErrorAndNotEmpty(t *testing.T) {
	for _, answer := range []string{"", "{}", "7", "[7]", `[{"name":"vm-1"}]`, `[{"id":"vm-1"}`} {
		_, err := listVMs(t, answer)
		assert.Equal(t, kinds.Of(err), kinds.Malformed, "%q", answer)
	}
	all, err := listVMs(t, "[]")
	assert.NilError(t, err)
	assert.Equal(t, len(all), 0)
}

// Every entry VM reads the list every second, and it is unchanged for minutes. Sent
// in full each time, 520 rows would take seven times a VM's budget for all control
// traffic. The next read after a change must return the new list.
func TestAListThatIsTheSameIsNotSentAgain(t *testing.T) {
	api := objapi.New()
	var sent atomic.Int64
	inner := api.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		inner.ServeHTTP(rec, r)
		sent.Add(int64(rec.Body.Len()))
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	c := New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	for i := range 520 {
		api.SetVM(vmlist.VM{ID: ident.VM(fmt.Sprint("vm-", i)), Addr: netip.MustParseAddrPort("10.0.0.1:70"), Centre: "north", State: vmlist.Live})
	}
	first, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(first), 520)
	full := sent.Swap(0)
	first[0].ID = "changed by the reader"
	for range 3 {
		again, err := c.VMs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(again), 520)
		assert.Equal(t, again[0].ID, ident.VM("vm-0"))
	}
	t.Logf("%d bytes for the first read, %d for later ones", full, sent.Load())
	assert.Equal(t, sent.Load(), int64(0))
	api.SetVM(vmlist.VM{ID: "vm-7", Centre: "north", State: vmlist.Gone})
	changed, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, slices.ContainsFunc(changed, func(vm vmlist.VM) bool { return vm.ID == "vm-7" && vm.State == vmlist.Gone }))
	assert.Equal(t, sent.Load() > full/2, true)
}

// A platform without ETags sends the full list each time, and a 304 response to an
// unconditional read must be an error.
func TestListWithoutETagsIsReadInFull(t *testing.T) {
	notModified := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("If-None-Match") == "")
		if notModified {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = io.WriteString(w, `[{"id":"vm-1","state":"live"}]`)
	}))
	defer srv.Close()
	c := New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	for range 2 {
		all, err := c.VMs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(all), 1)
	}
	notModified = true
	_, err := c.VMs(t.Context())
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
}
