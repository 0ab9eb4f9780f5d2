package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

const rules = `
[[rule]]
name = "lookups"
when = { path = "/scales/{scale}" }
then = { service = "lookup", key = "path:scale", idempotent = true, retry = 2 }
[[rule]]
name = "receipts"
when = { path = "/receipts/{scale}" }
then = { service = "ledger", once = "store", durable = "journal" }
`

// site is a platform, backend servers and entry VMs on loopback.
type site struct {
	t       *testing.T
	api     *objapi.API
	at      netip.AddrPort
	origins map[ident.Server]*origin.Origin
	svcs    []config.Service
	ca      *certs.Authority
	lease   config.Lease // of the VMs that are started; zero: the defaults
	vms     []*Daemon
}

// longLease is three times the default. A test whose promise does not depend on
// the lease's length uses it, so that a busy machine, which pauses every process
// at once, is not taken for the fault that the test causes.
var longLease = config.Lease{
	TTL:            config.SpanOf(3 * config.DefaultTTL),
	Renew:          config.SpanOf(3 * config.DefaultRenew),
	Heartbeat:      config.SpanOf(3 * config.DefaultHeartbeat),
	SilenceTimeout: config.SpanOf(3 * config.DefaultSilenceTimeout),
}

func newSite(t *testing.T) *site {
	s := &site{t: t, api: objapi.New(), origins: map[ident.Server]*origin.Origin{}}
	srv := httptest.NewServer(s.api.Handler())
	t.Cleanup(srv.Close)
	s.at = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	var err error
	s.ca, err = certs.NewAuthority(time.Hour)
	assert.NilError(t, err)
	s.svcs = []config.Service{
		{Name: "lookup", Divided: true, Slices: 64, Servers: s.servers("lookup", true, 3)},
		{Name: "ledger", Servers: s.servers("ledger", false, 2)},
	}
	s.accept(rules)
	return s
}

func (s *site) servers(svc ident.Service, keyed bool, n int) []config.Server {
	var all []config.Server
	for i := range n {
		name := ident.Server(fmt.Sprintf("%s-%d", svc, i))
		o := origin.New(origin.Config{Service: svc, Server: name, Keyed: keyed, Slices: 64, Slots: 4, Queue: 4, Conns: 100})
		at, err := o.Start()
		assert.NilError(s.t, err)
		s.t.Cleanup(func() { assert.NilError(s.t, o.Close()) })
		s.origins[name] = o
		all = append(all, config.Server{Name: name, Data: at, Control: at, Centre: "south", Slots: 4, Conns: 100})
	}
	return all
}

func (s *site) accept(text string) {
	f, err := match.Parse([]byte(text))
	assert.NilError(s.t, err)
	_, err = save.Save(s.t.Context(), objcli.New(s.at), func(cur *revs.Record) (*revs.Record, error) {
		var seen ident.Revision
		if cur != nil {
			seen = cur.Rev
		}
		return revs.Replace(cur, revs.Edit{Seen: seen, Author: "test", Token: "t", At: time.Now()}, f.Rules)
	})
	assert.NilError(s.t, err)
}

// start opens one more entry VM and tells the platform's list.
func (s *site) start(centre ident.Centre) *Daemon {
	name := ident.VM(fmt.Sprintf("vm-%d", len(s.vms)))
	pem, err := s.ca.Issue(name, netip.MustParseAddr("127.0.0.1"))
	assert.NilError(s.t, err)
	cfg := config.Config{
		VM: name, Centre: centre, Services: s.svcs,
		Platform: config.Platform{Objects: s.at}, Lease: s.lease,
	}
	d, err := New(cfg, WithPEM(pem), WithShutdownDelay(10*time.Millisecond), WithLog(slog.New(slog.DiscardHandler)))
	assert.NilError(s.t, err)
	assert.NilError(s.t, d.Start(s.t.Context()))
	s.t.Cleanup(func() { assert.NilError(s.t, d.Close()) })
	s.api.SetVM(vmlist.VM{ID: name, Addr: d.Peers(), Centre: centre, State: vmlist.Live})
	s.vms = append(s.vms, d)
	return d
}

// untilMost is many times what the slowest wait takes on a busy machine, and below
// the time after which a whole package counts as hung without a word on which wait.
const untilMost = 90 * time.Second

// until waits for something that has no event to wait for.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(untilMost); time.Now().Before(end) && t.Context().Err() == nil; {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("never: " + what)
}

func send(t *testing.T, d *Daemon, method, path, id string) (int, string) {
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.Callers().String()+path, strings.NewReader("load"))
	assert.NilError(t, err)
	if id != "" {
		r.Header.Set(relay.HeaderID, id)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// serves reports whether every one of some keys is served through a VM.
func serves(t *testing.T, d *Daemon) func() bool {
	return func() bool {
		for i := range 20 {
			if code, _ := send(t, d, "GET", fmt.Sprintf("/scales/s%d", i), ""); code != http.StatusOK {
				return false
			}
		}
		return true
	}
}

func TestRequestsGoThroughSeveralEntryVMsToTheOneOwner(t *testing.T) {
	s := newSite(t)
	for _, c := range []ident.Centre{"north", "south", "west"} {
		s.start(c)
	}
	for _, d := range s.vms {
		until(t, "ready", func() bool { return d.Ready() == nil })
		until(t, "all keys served", serves(t, d))
	}
	_, first := send(t, s.vms[0], "GET", "/scales/north", "a")
	_, second := send(t, s.vms[1], "GET", "/scales/north", "a")
	assert.Equal(t, first, second)
	seats := 0
	for _, d := range s.vms {
		seats += len(d.Keeper().Held())
	}
	assert.Equal(t, seats, 3)

	held, err := save.Await(t.Context(), objcli.New(s.at), 1)
	assert.NilError(t, err)
	assert.Assert(t, 2*held.Confirmed > held.Live)

	code, _ := send(t, s.vms[0], "POST", "/receipts/north", "load-1")
	assert.Equal(t, code, http.StatusOK)
	code, _ = send(t, s.vms[1], "POST", "/receipts/north", "load-1")
	assert.Equal(t, code, http.StatusConflict)
	ran := s.origins["ledger-0"].Record.Count("load-1") + s.origins["ledger-1"].Record.Count("load-1")
	assert.Equal(t, ran, 1)

	for _, page := range []string{"/ready", "/live", "/status", "/metrics"} {
		resp, err := http.Get("http://" + s.vms[0].Operators().String() + page)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK, page)
	}
}

// The platform's store goes away for a long time while everything else works.
// Owners keep their leases without it, so callers notice nothing; a VM that
// starts meanwhile gets rules and tables from its peers and serves as well. A
// receipt whose rule demands a record is refused, and truly did not run.
func TestAStoreOutageStopsNoLookups(t *testing.T) {
	outage := 6 * time.Second // beyond a lease, and beyond what a VM alone may go on
	if testing.Short() {
		outage = 3 * time.Second
	}
	s := newSite(t)
	s.lease = longLease
	for _, c := range []ident.Centre{"north", "west"} {
		s.start(c)
	}
	for _, d := range s.vms {
		until(t, "all keys served", serves(t, d))
	}
	s.api.Outage(true)
	ends := time.Now().Add(outage)
	late := s.start("north")
	until(t, "the new VM is ready", func() bool { return late.Ready() == nil })
	for time.Now().Before(ends) {
		for _, d := range s.vms {
			assert.Assert(t, serves(t, d)(), "a lookup failed during the outage")
		}
	}
	code, _ := send(t, s.vms[0], "POST", "/receipts/north", "load-2")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, s.origins["ledger-0"].Record.Count("load-2")+s.origins["ledger-1"].Record.Count("load-2"), 0)
	s.api.Outage(false)
}

// ran counts the runs of a request over all backend servers.
func (s *site) ran(id ident.Request) int {
	n := 0
	for _, o := range s.origins {
		n += o.Record.Count(id)
	}
	return n
}

// An entry VM is told to stop while a request is on its way. The request must
// end whole; the connection is refused only to those who come later.
func TestShutdownCutsOffNothingInFlight(t *testing.T) {
	s := newSite(t)
	d := s.start("north")
	until(t, "all keys served", serves(t, d))
	var g group.Group
	g.Go(func(context.Context) error {
		code, body := send(t, d, "GET", "/scales/north?work=300ms&size=100000", "slow")
		assert.Equal(t, code, http.StatusOK, body)
		assert.Equal(t, len(body), 100000)
		return nil
	})
	until(t, "running on its server", func() bool { return s.ran("slow") == 1 })
	assert.NilError(t, d.Close())
	assert.NilError(t, g.Wait())
	code, _ := send(t, d, "GET", "/scales/north", "later")
	assert.Equal(t, code, 0)
}

// A backend server is frozen in the middle of its work and does not come back.
// Its keys have no owner until its lease has run out; then another server takes
// them, and callers who waited get their answers. When the server wakes, it no
// longer serves them.
func TestALostOwnersKeysAreServedByAnother(t *testing.T) {
	s := newSite(t)
	for _, c := range []ident.Centre{"north", "west"} {
		s.start(c)
	}
	for _, d := range s.vms {
		until(t, "all keys served", serves(t, d))
	}
	lost := s.origins["lookup-1"]
	before := len(lost.Record.All())
	lost.Freeze(true)
	start := time.Now()
	until(t, "all keys served again", serves(t, s.vms[0]))
	t.Logf("all keys served again after %v", time.Since(start))
	lost.Freeze(false)
	until(t, "all keys served through the other VM", serves(t, s.vms[1]))
	for _, r := range lost.Record.All()[before:] {
		assert.Assert(t, r.At.Before(start.Add(time.Second)), "ran %v as owner after it had lost %s", r.At.Sub(start), r.Key)
	}
}
