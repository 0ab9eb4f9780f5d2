package demo

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// ownerFixture is a store and two backend servers, a and b. The test itself moves the only
// slice from a to b, without a lessor.
type ownerFixture struct {
	*testing.T
	site    site
	table   table.Table
	version object.Version
	seq     uint64
}

const fixtureKey = ident.Key("scale-219")

func newOwnerFixture(t *testing.T) *ownerFixture {
	f := &ownerFixture{T: t, site: site{api: objapi.New(), runLog: &origin.Record{}, origins: map[ident.Server]*origin.Origin{}}}
	f.site.api.RecordHistory(tableObject("lookup"))
	assert.NilError(t, f.site.startPlatform())
	t.Cleanup(func() { assert.NilError(t, f.site.close()) })
	for _, name := range []ident.Server{"a", "b"} {
		f.site.origins[name] = origin.New(origin.Config{Server: name, Keyed: true, Slices: 1, Record: f.site.runLog})
	}
	tab, err := table.New("lookup", 1, "a", "b")
	assert.NilError(t, err)
	f.write(tab.WithAssigned(table.Move{To: "a"}))
	f.grant("a")
	f.request("a")
	return f
}

func (f *ownerFixture) write(tab table.Table, err error) {
	f.Helper()
	assert.NilError(f, err)
	b, err := tab.Encode()
	assert.NilError(f, err)
	f.version, err = f.site.store.Put(f.Context(), tableObject("lookup"), b, f.version)
	assert.NilError(f, err)
	f.table = tab
}

// order returns an order for a server that assigns it the only slice, or no slice.
func (f *ownerFixture) order(to ident.Server, withSlice bool) server.Order {
	f.seq++
	o := server.Order{
		Lessor: to, Server: to, Full: true, Fence: ident.Fence{Epoch: 1, Seq: f.seq}, Rev: f.table.Rev,
		Mark: f.site.origins[to].Read().Mark, TTL: time.Hour,
	}
	if withSlice {
		o.Slices = []ident.Slice{0}
	}
	return o
}

func (f *ownerFixture) grant(to ident.Server) {
	assert.Assert(f, f.site.origins[to].Grant(f.order(to, true)).Done)
}

// moveSlice moves the slice from a to b in the prescribed order: revoke it from a, update
// the table, grant it to b.
func (f *ownerFixture) moveSlice() {
	assert.Assert(f, f.site.origins["a"].Revoke(f.order("a", false)).Done)
	f.write(f.table.WithMoves("a", 0, table.Move{To: "b"}))
	f.grant("b")
	f.request("b")
}

func (f *ownerFixture) request(name ident.Server) int {
	r := httptest.NewRequestWithContext(f.Context(), http.MethodGet, "/scale/219", http.NoBody)
	r.Header.Set(origin.HeaderKey, string(fixtureKey))
	w := httptest.NewRecorder()
	f.site.origins[name].Handler().ServeHTTP(w, r)
	return w.Code
}

func (f *ownerFixture) check() *checkResult {
	tables, err := decodeTables(f.site.api.History(tableObject("lookup")))
	assert.NilError(f, err)
	result := checkOneOwner(&evidence{tableHistory: tables, served: f.site.runLog.All()})
	return &result
}

// A request that reaches the former owner after a move is rejected by it. The check must
// pass.
func TestAMoveThatServersObeyPassesTheCheck(t *testing.T) {
	f := newOwnerFixture(t)
	f.moveSlice()
	assert.Equal(t, f.request("a"), http.StatusMisdirectedRequest)
	result := f.check()
	assert.Assert(t, result.passed() && result.checks == 2, "%d checks, %v", result.checks, result.failures)
}

// Guards against missing a server that acknowledges a revocation and goes on serving the
// key. Two servers then change the key's data, and each caller sees part of the changes.
func TestAServerThatIgnoresARevocationIsCaught(t *testing.T) {
	f := newOwnerFixture(t)
	f.site.origins["a"].IgnoreRevocations(true)
	f.moveSlice()
	assert.Equal(t, f.request("a"), http.StatusOK)
	assert.Assert(t, !f.check().passed())
}

// Guards against missing a server that does not check fences and therefore obeys a grant
// that was delayed until after the move.
func TestAServerThatIgnoresTheFenceIsCaught(t *testing.T) {
	f := newOwnerFixture(t)
	lateGrant := f.order("a", true)
	f.moveSlice()
	assert.Assert(t, f.site.origins["a"].Grant(lateGrant).Done)
	assert.Equal(t, f.request("a"), http.StatusOK)
	assert.Assert(t, !f.check().passed())
}

// Guards against missing a lessor that grants a key to the new owner before the table
// names it. Another VM could then take over the authority and leave the key with the old
// owner, as the table says.
func TestAGrantBeforeTheTableIsCaught(t *testing.T) {
	f := newOwnerFixture(t)
	assert.Assert(t, f.site.origins["a"].Revoke(f.order("a", false)).Done)
	f.grant("b")
	f.request("b")
	f.write(f.table.WithMoves("a", 0, table.Move{To: "b"}))
	assert.Assert(t, !f.check().passed())
}
