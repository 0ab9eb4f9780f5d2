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
	entryAddr = netip.MustParseAddrPort("10.0.0.1:80")
	l1Addr    = netip.MustParseAddrPort("10.0.0.2:80")
	l2Addr    = netip.MustParseAddrPort("10.0.0.3:80")
	v1Addr    = netip.MustParseAddrPort("10.0.0.5:80")
	v2Addr    = netip.MustParseAddrPort("10.0.0.6:80")
	u1Addr    = netip.MustParseAddrPort("10.0.0.4:80")
)

// testbed is one entry VM between callers and five backend servers, with connections in
// memory.
type testbed struct {
	t         *testing.T
	net       pipes.Net
	group     group.Group
	front     *Front
	server    *http.Server
	state     *state.State
	table     table.Table
	origins   map[ident.Server]*origin.Origin
	client    *http.Client
	decisions decisionLog
}

type decisionLog struct {
	mu   sync.Mutex
	list []record.Decision
}

func (l *decisionLog) Record(d record.Decision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, d)
	return true
}

func (l *decisionLog) last() record.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list[len(l.list)-1]
}

// by returns the decisions about the request with an id.
func (l *decisionLog) by(id string) []record.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []record.Decision
	for _, d := range l.list {
		if string(d.ID) == id {
			found = append(found, d)
		}
	}
	return found
}

// newTestbed starts the entry VM and its backend servers.
func newTestbed(t *testing.T) *testbed {
	tb := &testbed{t: t, origins: map[ident.Server]*origin.Origin{}}
	tb.state = state.New([]config.Service{
		{Name: "lookup", Divided: true, Slices: 8, Servers: []config.Server{{Name: "l1", Data: l1Addr}, {Name: "l2", Data: l2Addr}}},
		{Name: "upload", Servers: []config.Server{{Name: "u1", Data: u1Addr}}},
		{Name: "viewer", Servers: []config.Server{{Name: "v1", Data: v1Addr}, {Name: "v2", Data: v2Addr}}},
	})
	for _, svc := range tb.state.Services() {
		svc.Gate = gate.New(gate.Config{Service: svc.Name, SilentKeyed: true})
		infos := []gate.ServerInfo{}
		for _, s := range svc.Servers {
			infos = append(infos, gate.ServerInfo{Name: s.Name, Slots: 2, Conns: 10})
			o := origin.New(origin.Config{Service: svc.Name, Server: s.Name, Keyed: svc.Divided(), Slices: 8, Slots: 2, Queue: 2})
			o.Serve(tb.net.Listen(s.Data))
			tb.origins[s.Name] = o
		}
		svc.Gate.SetServers(infos)
	}
	tb.setRules(rules)
	tb.setOwner("l1")
	tb.front = &Front{
		VM: "vm-1", State: tb.state, Record: &tb.decisions, Relay: relay.New(relay.Config{Open: tb.net.Dial}),
		Limit: config.Limit{Request: config.SpanOf(30 * time.Second), HeaderTimeout: config.SpanOf(5 * time.Second), Body: 1 << 20, Queue: 100},
	}
	tb.front.Start()
	tb.server = &http.Server{Handler: tb.front.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 8 << 10}
	l := tb.net.Listen(entryAddr)
	tb.group.Go(func(context.Context) error {
		_ = tb.server.Serve(l)
		return nil
	})
	tb.client = &http.Client{Transport: &http.Transport{DialContext: tb.net.DialText}}
	return tb
}

func (tb *testbed) close() {
	tb.client.CloseIdleConnections()
	assert.NilError(tb.t, tb.server.Close())
	assert.NilError(tb.t, tb.group.Close())
	assert.NilError(tb.t, tb.front.Close())
	assert.NilError(tb.t, tb.front.Relay.Close())
	for _, o := range tb.origins {
		assert.NilError(tb.t, o.Close())
	}
	for _, svc := range tb.state.Services() {
		assert.NilError(tb.t, svc.Gate.Close())
	}
	time.Sleep(time.Minute) // net/http waits a while before it closes a connection that it ended itself
}

// setRules puts rules in force under revision 7.
func (tb *testbed) setRules(text string) { tb.setRulesAt(7, text) }

func (tb *testbed) setRulesAt(rev ident.Revision, text string) {
	f, err := match.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	set, err := f.Compile()
	if err != nil {
		panic(err)
	}
	tb.state.Rules.Apply(&revs.Snapshot{Record: &revs.Record{Rev: rev}, Set: set})
	tb.state.Rules.SetState(revs.Serve)
}

// setOwner gives every slice of the divided service to one server, which gets a lease for
// all of them; the other server's lease ends.
func (tb *testbed) setOwner(to ident.Server) {
	all := make([]ident.Slice, 8)
	for i := range all {
		all[i] = ident.Slice(i)
	}
	for _, name := range []ident.Server{"l1", "l2"} {
		o := tb.origins[name]
		order := server.Order{Lessor: name, Mark: o.Read().Mark, TTL: time.Hour, Full: true, Rev: 1}
		if name == to {
			order.Slices = all
			assert.Assert(tb.t, o.Grant(order).Done)
			continue
		}
		assert.Assert(tb.t, o.Revoke(order).Done)
	}
	tb.setView(to)
}

// setView makes the entry VM believe that one server owns every slice.
func (tb *testbed) setView(to ident.Server) {
	rev := tb.table.Rev
	tab, err := table.New("lookup", 8, "l1", "l2")
	assert.NilError(tb.t, err)
	for s := range ident.Slice(8) {
		tab, err = tab.WithAssigned(table.Move{Slice: s, To: to})
		assert.NilError(tb.t, err)
	}
	tab.Rev = rev + 20
	tb.table = tab
	svc, _ := tb.state.Service("lookup")
	assert.Assert(tb.t, svc.SetView(table.NewView(tab)))
}

func (tb *testbed) do(r *http.Request) (*http.Response, string, error) {
	resp, err := tb.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func (tb *testbed) request(method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(tb.t.Context(), method, "http://"+entryAddr.String()+path, body)
	assert.NilError(tb.t, err)
	return r
}

// runWithTestbed runs a test in a synctest bubble with a testbed.
func runWithTestbed(t *testing.T, test func(t *testing.T, tb *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		defer tb.close()
		test(t, tb)
	})
}

// replaceServer replaces the server at an address by one that answers requests in its own way,
// and whose callers take the statuses of the platform for promises.
func (tb *testbed) replaceServer(at netip.AddrPort, answer func(w http.ResponseWriter, id string)) {
	for _, svc := range tb.state.Services() {
		for _, s := range svc.Servers {
			if s.Data == at {
				assert.NilError(tb.t, tb.origins[s.Name].Close())
			}
		}
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer(w, r.Header.Get(relay.HeaderID))
	})}
	l := tb.net.Listen(at)
	tb.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		_ = s.Serve(l)
		return nil
	})
	tb.front.Headers = relay.DefaultHeaders()
	tb.front.Headers.PromisesNotRun = func(status int) bool { return status == http.StatusServiceUnavailable }
}
