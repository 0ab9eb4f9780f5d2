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

// yard is a store and two backend servers, a and b, whose only slice moves from
// the one to the other by hand.
type yard struct {
	*testing.T
	site site
	tab  table.Table
	ver  object.Version
	seq  uint64
}

const yardKey = ident.Key("scale-219")

func newYard(t *testing.T) *yard {
	y := &yard{T: t, site: site{api: objapi.New(), record: &origin.Record{}, origins: map[ident.Server]*origin.Origin{}}}
	y.site.api.RecordHistory(tableName("lookup"))
	assert.NilError(t, y.site.platform())
	t.Cleanup(func() { assert.NilError(t, y.site.close()) })
	for _, name := range []ident.Server{"a", "b"} {
		y.site.origins[name] = origin.New(origin.Config{Server: name, Keyed: true, Slices: 1, Record: y.site.record})
	}
	tab, err := table.New("lookup", 1, "a", "b")
	assert.NilError(t, err)
	y.write(tab.WithAssigned(table.Move{To: "a"}))
	y.grant("a")
	y.ask("a")
	return y
}

func (y *yard) write(tab table.Table, err error) {
	y.Helper()
	assert.NilError(y, err)
	b, err := tab.Encode()
	assert.NilError(y, err)
	y.ver, err = y.site.store.Put(y.Context(), tableName("lookup"), b, y.ver)
	assert.NilError(y, err)
	y.tab = tab
}

// order makes one for a server that gives it the only slice, or leaves it nothing.
func (y *yard) order(to ident.Server, all bool) server.Order {
	y.seq++
	o := server.Order{
		Lessor: to, Server: to, Full: true, Fence: ident.Fence{Epoch: 1, Seq: y.seq}, Rev: y.tab.Rev,
		Mark: y.site.origins[to].Read().Mark, TTL: time.Hour,
	}
	if all {
		o.Slices = []ident.Slice{0}
	}
	return o
}

func (y *yard) grant(to ident.Server) {
	assert.Assert(y, y.site.origins[to].Grant(y.order(to, true)).Done)
}

// move takes the slice from a and gives it to b, in the order that the design
// prescribes.
func (y *yard) move() {
	assert.Assert(y, y.site.origins["a"].Revoke(y.order("a", false)).Done)
	y.write(y.tab.WithMoves("a", 0, table.Move{To: "b"}))
	y.grant("b")
	y.ask("b")
}

func (y *yard) ask(at ident.Server) int {
	r := httptest.NewRequestWithContext(y.Context(), http.MethodGet, "/scale/219", http.NoBody)
	r.Header.Set(origin.HeaderKey, string(yardKey))
	w := httptest.NewRecorder()
	y.site.origins[at].Handler().ServeHTTP(w, r)
	return w.Code
}

func (y *yard) verdict() *verdict {
	tables, err := tablesOf(y.site.api.History(tableName("lookup")))
	assert.NilError(y, err)
	v := oneOwner(&evidence{tables: tables, served: y.site.record.All()})
	return &v
}

// A request of a caller who had the owner's address comes to the former owner. It
// turns the request away, and the judge has nothing to say.
func TestAMoveThatIsObeyedIsHeld(t *testing.T) {
	y := newYard(t)
	y.move()
	assert.Equal(t, y.ask("a"), http.StatusMisdirectedRequest)
	v := y.verdict()
	assert.Assert(t, v.held() && v.checks == 2, "%d checks, %v", v.checks, v.broken)
}

// A server says that it has given a key up and goes on serving it. Two servers
// then change what belongs to the key, and each caller sees half of it.
func TestAServerThatIgnoresARevocationIsCaught(t *testing.T) {
	y := newYard(t)
	y.site.origins["a"].IgnoreRevocations(true)
	y.move()
	assert.Equal(t, y.ask("a"), http.StatusOK)
	assert.Assert(t, !y.verdict().held())
}

// A grant was under way while the key moved, and a server that does not look at
// the fence obeys it.
func TestAServerThatIgnoresTheFenceIsCaught(t *testing.T) {
	y := newYard(t)
	late := y.order("a", true)
	y.move()
	assert.Assert(t, y.site.origins["a"].Grant(late).Done)
	assert.Equal(t, y.ask("a"), http.StatusOK)
	assert.Assert(t, !y.verdict().held())
}

// A seat grants a key to the next owner before the table names it. Another VM may
// take the seat over then and leave the key where the table has it.
func TestAGrantBeforeTheTableIsCaught(t *testing.T) {
	y := newYard(t)
	assert.Assert(t, y.site.origins["a"].Revoke(y.order("a", false)).Done)
	y.grant("b")
	y.ask("b")
	y.write(y.tab.WithMoves("a", 0, table.Move{To: "b"}))
	assert.Assert(t, !y.verdict().held())
}
