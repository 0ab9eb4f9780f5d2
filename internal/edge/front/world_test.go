package front

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/fake/pipes"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

const rules = `
[[rule]]
name = "lookups"
when = { path = "/scales/{scale}" }
then = { service = "lookup", key = "path:scale", idempotent = true, deadline = "10s" }
[[rule]]
name = "again"
when = { path = "/again/{scale}" }
then = { service = "lookup", key = "path:scale", idempotent = true, deadline = "10s", retry = 1 }
[[rule]]
name = "closed"
when = { path = "/closed" }
then = { deny = true }
[[rule]]
name = "uploads"
when = { path = "/lab/{rest...}" }
then = { service = "upload", size = "long", retry = 2 }
[[rule]]
name = "views"
when = { path = "/views/{ward}" }
then = { service = "viewer", idempotent = true, hedge = "50ms" }
[[rule]]
name = "sparse"
when = { path = "/sparse/{ward}" }
then = { service = "upload", key = "path:ward", keep = "submissions" }
[[rule]]
name = "sampled"
when = { path = "/sampled/{ward}" }
then = { service = "upload", key = "path:ward", keep = "1/16" }
`

var (
	entry  = netip.MustParseAddrPort("10.0.0.1:80")
	first  = netip.MustParseAddrPort("10.0.0.2:80")
	second = netip.MustParseAddrPort("10.0.0.3:80")
	fourth = netip.MustParseAddrPort("10.0.0.5:80")
	fifth  = netip.MustParseAddrPort("10.0.0.6:80")
	third  = netip.MustParseAddrPort("10.0.0.4:80")
)

// world is one entry VM between callers and three backend servers, in memory.
type world struct {
	t       *testing.T
	net     pipes.Net
	group   group.Group
	front   *Front
	web     *http.Server
	state   *state.State
	table   table.Table
	origins map[ident.Server]*origin.Origin
	client  *http.Client
	log     notes
}

type notes struct {
	mu  sync.Mutex
	all []record.Decision
}

func (n *notes) Record(d record.Decision) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, d)
	return true
}

func (n *notes) last() record.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.all[len(n.all)-1]
}

func build(t *testing.T) *world {
	w := &world{t: t, origins: map[ident.Server]*origin.Origin{}}
	w.state = state.New([]config.Service{
		{Name: "lookup", Divided: true, Slices: 8, Servers: []config.Server{{Name: "l1", Data: first}, {Name: "l2", Data: second}}},
		{Name: "upload", Servers: []config.Server{{Name: "u1", Data: third}}},
		{Name: "viewer", Servers: []config.Server{{Name: "v1", Data: fourth}, {Name: "v2", Data: fifth}}},
	})
	for _, svc := range w.state.Services() {
		svc.Gate = gate.New(gate.Config{Service: svc.Name})
		infos := []gate.ServerInfo{}
		for _, s := range svc.Servers {
			infos = append(infos, gate.ServerInfo{Name: s.Name, Slots: 2, Conns: 10})
			o := origin.New(origin.Config{Service: svc.Name, Server: s.Name, Keyed: svc.Divided(), Slices: 8, Slots: 2, Queue: 2})
			o.Serve(w.net.Listen(s.Data))
			w.origins[s.Name] = o
		}
		svc.Gate.SetServers(infos)
	}
	w.compile(rules)
	w.owner("l1")
	w.front = &Front{
		VM: "vm-1", State: w.state, Record: &w.log, Relay: relay.New(relay.Config{Open: w.net.Dial}),
		Limit: config.Limit{Request: config.SpanOf(30 * time.Second), HeaderTimeout: config.SpanOf(5 * time.Second), Body: 1 << 20, Queue: 100},
	}
	w.front.Start()
	w.web = &http.Server{Handler: w.front.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 8 << 10}
	l := w.net.Listen(entry)
	w.group.Go(func(context.Context) error {
		_ = w.web.Serve(l)
		return nil
	})
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.net.DialText}}
	return w
}

func (w *world) close() {
	w.client.CloseIdleConnections()
	assert.NilError(w.t, w.web.Close())
	assert.NilError(w.t, w.group.Close())
	assert.NilError(w.t, w.front.Close())
	assert.NilError(w.t, w.front.Relay.Close())
	for _, o := range w.origins {
		assert.NilError(w.t, o.Close())
	}
	for _, svc := range w.state.Services() {
		assert.NilError(w.t, svc.Gate.Close())
	}
	time.Sleep(time.Minute) // net/http lingers on a connection that it ended itself
}

func (w *world) compile(text string) { w.compileAt(7, text) }

func (w *world) compileAt(rev ident.Revision, text string) {
	f, err := match.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	set, err := f.Compile()
	if err != nil {
		panic(err)
	}
	w.state.Rules.Apply(&revs.Snapshot{Record: &revs.Record{Rev: rev}, Set: set})
	w.state.Rules.SetState(revs.Serve)
}

// owner gives every slice of the divided service to one server, which gets a
// lease for all of it; the other's lease ends.
func (w *world) owner(to ident.Server) {
	all := make([]ident.Slice, 8)
	for i := range all {
		all[i] = ident.Slice(i)
	}
	for _, name := range []ident.Server{"l1", "l2"} {
		o := w.origins[name]
		order := server.Order{Lessor: name, Mark: o.Read().Mark, TTL: time.Hour, Full: true, Rev: 1}
		if name == to {
			order.Slices = all
			assert.Assert(w.t, o.Grant(order).Done)
			continue
		}
		assert.Assert(w.t, o.Revoke(order).Done)
	}
	w.see(to)
}

// see makes the entry VM believe that one server owns every slice.
func (w *world) see(to ident.Server) {
	rev := w.table.Rev
	tab, err := table.New("lookup", 8, "l1", "l2")
	assert.NilError(w.t, err)
	for s := range ident.Slice(8) {
		tab, err = tab.WithAssigned(table.Move{Slice: s, To: to})
		assert.NilError(w.t, err)
	}
	tab.Rev = rev + 20
	w.table = tab
	svc, _ := w.state.Service("lookup")
	assert.Assert(w.t, svc.SetView(table.NewView(tab)))
}

func (w *world) do(r *http.Request) (*http.Response, string, error) {
	resp, err := w.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func (w *world) request(method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+entry.String()+path, body)
	assert.NilError(w.t, err)
	return r
}

func run(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := build(t)
		defer w.close()
		test(t, w)
	})
}
