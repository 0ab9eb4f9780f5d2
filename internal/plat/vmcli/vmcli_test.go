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

// The list stays the same for minutes and is read every second by every entry VM.
// Sent in full each time, 520 rows would cost a VM seven times its budget for all
// control traffic; and a change must still be seen with the next read.
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
	first[0].ID = "changed by who read it"
	for range 3 {
		again, err := c.VMs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(again), 520)
		assert.Equal(t, again[0].ID, ident.VM("vm-0"))
	}
	t.Logf("%d bytes once, then %d", full, sent.Load())
	assert.Equal(t, sent.Load(), int64(0))
	api.SetVM(vmlist.VM{ID: "vm-7", Centre: "north", State: vmlist.Gone})
	changed, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, slices.ContainsFunc(changed, func(vm vmlist.VM) bool { return vm.ID == "vm-7" && vm.State == vmlist.Gone }))
	assert.Equal(t, sent.Load() > full/2, true)
}

// A platform without tags answers in full each time, and an answer of "the same"
// that nobody asked for is no list.
func TestAPlatformWithoutTagsIsReadInFull(t *testing.T) {
	same := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("If-None-Match") == "")
		if same {
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
	same = true
	_, err := c.VMs(t.Context())
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
}
