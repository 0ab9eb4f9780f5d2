package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/dial"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// memStore is an in-memory platform store. One revision counts the changes of all
// objects.
type memStore struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]object.Object
	changes []object.Change
	changed chan struct{}
}

// gateway is one VM's access to the store. It can be blocked, as in an outage that only
// this VM sees.
type gateway struct {
	*memStore
	mu        sync.Mutex
	blocked   bool
	rulesRead int            // revisions of the rules that this VM has read
	calls     map[string]int // lists and watches by prefix
	silent    []string       // prefixes whose lists and watches get no answer
}

// setSilent sets the prefixes whose lists and watches get no answer, those that wait included.
func (g *gateway) setSilent(prefixes ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = prefixes
}

// checkAnswers returns an error after the time in which the platform's store client gives up,
// if the store does not answer calls for the prefix.
func (g *gateway) checkAnswers(ctx context.Context, prefix string) error {
	const patience = 1300 * time.Millisecond
	g.mu.Lock()
	silent := slices.Contains(g.silent, prefix)
	g.mu.Unlock()
	if silent {
		group.Sleep(ctx, patience)
		return kinds.New(kinds.Unavailable, "silent")
	}
	return nil
}

// countCall counts a list or a watch.
func (g *gateway) countCall(prefix string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls == nil {
		g.calls = map[string]int{}
	}
	g.calls[prefix]++
}

func (g *gateway) callCount(prefix string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[prefix]
}

// countRules counts the revisions of the rules that the store returns.
func (g *gateway) countRules(o object.Object) {
	if o.Name != "config/main" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rulesRead++
}

func (g *gateway) rulesVersionsRead() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rulesRead
}

func (g *gateway) setBlocked(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = on
}

func (g *gateway) checkBlocked() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blocked {
		return kinds.New(kinds.Unavailable, "barred")
	}
	return nil
}

func newMemStore() *memStore {
	return &memStore{objects: map[string]object.Object{}, changed: make(chan struct{})}
}

func (s *memStore) set(name string, value []byte) object.Version {
	s.rev++
	o := object.Object{Name: name, Version: object.Version(s.rev), Value: value}
	if value == nil {
		delete(s.objects, name)
		o.Version = 0
	} else {
		s.objects[name] = o
	}
	s.changes = append(s.changes, object.Change{Object: o, At: object.Cursor(s.rev)})
	close(s.changed)
	s.changed = make(chan struct{})
	return object.Version(s.rev)
}

func (s *memStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(name, nil)
}

func (s *memStore) write(name string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(name, b)
}

func (g *gateway) Get(_ context.Context, name string) (object.Object, error) {
	if err := g.checkBlocked(); err != nil {
		return object.Object{}, err
	}
	g.memStore.mu.Lock()
	defer g.memStore.mu.Unlock()
	o, ok := g.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, name)
	}
	return o, nil
}

func (g *gateway) Put(_ context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	if err := g.checkBlocked(); err != nil {
		return 0, err
	}
	g.memStore.mu.Lock()
	defer g.memStore.mu.Unlock()
	if g.objects[name].Version != old {
		return 0, kinds.New(kinds.Conflict, name)
	}
	return g.set(name, value), nil
}

func (g *gateway) Delete(context.Context, string, object.Version) error { return nil }

func (g *gateway) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	g.countCall(prefix)
	if err := errors.Join(g.checkBlocked(), g.checkAnswers(ctx, prefix)); err != nil {
		return nil, 0, err
	}
	g.memStore.mu.Lock()
	defer g.memStore.mu.Unlock()
	var all []object.Object
	for name, o := range g.objects {
		if strings.HasPrefix(name, prefix) {
			all = append(all, o)
			g.countRules(o)
		}
	}
	return all, object.Cursor(g.rev), nil
}

func (g *gateway) Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error) {
	g.countCall(prefix)
	const wait = 300 * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := errors.Join(g.checkBlocked(), g.checkAnswers(ctx, prefix)); err != nil {
			return nil, 0, err
		}
		g.memStore.mu.Lock()
		var all []object.Change
		for _, c := range g.changes {
			if c.At > after && strings.HasPrefix(c.Name, prefix) {
				all = append(all, c)
				g.countRules(c.Object)
			}
		}
		more, at := g.changed, object.Cursor(g.rev)
		g.memStore.mu.Unlock()
		if len(all) > 0 {
			return all, at, nil
		}
		select {
		case <-more:
		case <-timer.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch")
		}
	}
}

// staleGateway is the store for calls that may return stale data. Its data are current
// here, but as a different store its answers do not count as proof that something is the
// newest.
type staleGateway struct{ *gateway }

// jsonDecoder decodes entries and rules stored as JSON of the feed types.
type jsonDecoder struct{}

func (jsonDecoder) Server(_ string, b []byte) (feed.Server, error) {
	var s feed.Server
	err := json.Unmarshal(b, &s)
	return s, kinds.Wrap(kinds.Malformed, err, "entry")
}

func (jsonDecoder) Evacuation(name string, b []byte) (ident.Centre, error) {
	var fields map[string]any
	err := json.Unmarshal(b, &fields)
	return ident.Centre(name), kinds.Wrap(kinds.Malformed, err, "evacuation")
}

func (jsonDecoder) RulesVersion(b []byte) uint64 {
	var doc struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal(b, &doc)
	return doc.Version
}

func (jsonDecoder) Rules(rev ident.Revision, b []byte) (feed.Rules, error) {
	var r feed.Rules
	err := json.Unmarshal(b, &r)
	r.Rev = rev
	return r, kinds.Wrap(kinds.Malformed, err, "rules")
}

// backend is a backend server that serves the keys granted to it.
type backend struct {
	name    ident.Server
	web     *httptest.Server
	mu      sync.Mutex
	held    map[ranges.Span]time.Time
	ran     int
	work    time.Duration // time that each request takes
	shedFor time.Duration // it turns requests away and wants none for so long; zero: it does not
	came    int           // requests that reached it
	silent  bool          // it answers nothing
	// leftAt is when the server announced that it leaves, or its data centre was evacuated, and
	// latest how long after that the last request came.
	leftAt time.Time
	latest time.Duration
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(relay.HeaderID, r.Header.Get(relay.HeaderID))
	if key := r.Header.Get(relay.HeaderKey); key != "" && !b.holds(key) {
		w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.came++
	if !b.leftAt.IsZero() {
		b.latest = time.Since(b.leftAt)
	}
	work, shedFor, silent := b.work, b.shedFor, b.silent
	if shedFor == 0 {
		b.ran++
	}
	b.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if shedFor > 0 {
		w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
		w.Header().Set("Retry-After", strconv.Itoa(int(shedFor.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(work)
	_, _ = io.WriteString(w, string(b.name))
}

func (b *backend) holds(key string) bool {
	n, err := strconv.Atoi(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	for s, until := range b.held {
		if err == nil && int(s.First) <= n && n <= int(s.Last) && time.Now().Before(until) {
			return true
		}
	}
	return false
}

// testCluster is a platform with backend servers and some VMs.
type testCluster struct {
	t        *testing.T
	store    *memStore
	backends map[netip.AddrPort]*backend
	vms      []*Host
	gateways []*gateway
	cfgs     []Config
	paths    map[int]*vmPaths // paths of the VMs to backend servers; nil if they cannot be cut
	open     dial.Open        // opens connections to backend servers; nil means TCP
	lagging  bool             // calls that may return stale data return none newer than the VMs' start
	// decoders replaces the decoder of single VMs, by index.
	decoders map[int]feed.Decoder
	log      *slog.Logger // log of the VMs
	logText  bytes.Buffer // log output, in tests that check it
}

// Grant gives keys to the server at an address.
func (tc *testCluster) Grant(_ context.Context, to netip.AddrPort, _ ident.Server, g feed.Grant) error {
	b := tc.backends[to]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[g.Span] = time.Now().Add(g.TTL)
	return nil
}

// Release takes keys back.
func (tc *testCluster) Release(_ context.Context, to netip.AddrPort, _ ident.Server, s ranges.Span, _ uint64) (string, error) {
	b := tc.backends[to]
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, s)
	return "token", nil
}

func newTestCluster(t *testing.T, vms int) *testCluster {
	tc := &testCluster{t: t, store: newMemStore(), backends: map[netip.AddrPort]*backend{}, log: slog.New(slog.DiscardHandler)}
	for range vms {
		tc.cfgs = append(tc.cfgs, Config{
			VM: ident.VM("vm-" + strconv.Itoa(len(tc.cfgs)+1)), Centre: "here",
			Notice: 50 * time.Millisecond, Callers: freeAddr(t), Operators: freeAddr(t), Peers: freeAddr(t), Metrics: freeAddr(t),
			Bounds: Bounds{Drain: 2 * time.Second, Grace: 4 * time.Second, RetryRatio: 0.2, RetrySlack: 50},
		})
	}
	return tc
}

// usedPorts holds the ports that freeAddr has returned in this process.
var usedPorts sync.Map

// freeAddr finds an address on which nobody listens. Its port is outside the range for
// outgoing connections, or another connection of this machine could take it before the VM
// starts.
func freeAddr(t *testing.T) netip.AddrPort {
	const first, count = 10_000, 20_000
	for {
		port := first + rand.IntN(count)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		assert.NilError(t, l.Close())
		if _, known := usedPorts.LoadOrStore(port, true); !known {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		}
	}
}

// addServer starts a backend server and writes its entry.
func (tc *testCluster) addServer(svc ident.Service, name ident.Server) *backend {
	return tc.addServerIn(svc, name, "here")
}

// addServerIn starts a backend server in a data centre and writes its entry.
func (tc *testCluster) addServerIn(svc ident.Service, name ident.Server, centre ident.Centre) *backend {
	b := &backend{name: name, held: map[ranges.Span]time.Time{}}
	b.web = httptest.NewServer(b)
	tc.t.Cleanup(b.web.Close)
	at, err := netip.ParseAddrPort(strings.TrimPrefix(b.web.URL, "http://"))
	assert.NilError(tc.t, err)
	tc.backends[at] = b
	tc.store.write("servers/"+string(name), feed.Server{Name: name, Service: svc, Addr: at, Centre: centre, Slots: 4, Incarnation: 1})
	return b
}

// setRules stores rules in which lookups are divided by key and receipts are not.
func (tc *testCluster) setRules(prefix string) {
	tc.store.write("config/main", feed.Rules{
		List: []match.Rule{
			{Name: "lookup", When: match.When{Prefix: prefix}, Then: match.Then{Service: "lookup", Key: "header:" + relay.HeaderKey, Idempotent: true, Retry: 1, Deadline: 5 * time.Second}},
			{Name: "receipt", When: match.When{Prefix: "/receipt/"}, Then: match.Then{Service: "ledger", Deadline: 5 * time.Second}},
		},
		Services: []feed.Service{{Name: "lookup", Divided: true, Conns: 50}, {Name: "ledger", Conns: 50}},
	})
}

// startVM starts VM i.
func (tc *testCluster) startVM(i int) *Host {
	gw := &gateway{memStore: tc.store}
	cfg := tc.cfgs[i]
	for j, other := range tc.cfgs {
		if j != i {
			cfg.Seeds = append(cfg.Seeds, other.Peers)
		}
	}
	var decode feed.Decoder = jsonDecoder{}
	if d, ok := tc.decoders[i]; ok {
		decode = d
	}
	var stale object.Store = staleGateway{gw}
	if tc.lagging {
		stale = laggingStore{gw}
	}
	names := relay.DefaultHeaders()
	names.PassThrough, names.RetryAfter = []string{relay.HeaderKey}, readRetryAfter
	p := Platform{
		Store: gw, StaleStore: stale, Decode: decode, Orders: tc, Headers: names,
		Servers: "servers/", Evacuations: "evacuations/", Rules: "config/main", OwnPrefix: "own/",
	}
	p.Open = tc.open
	if tc.paths != nil {
		tc.setPaths(i, &p)
	}
	h := New(cfg, p, tc.log)
	assert.NilError(tc.t, h.Start(tc.t.Context()))
	tc.vms, tc.gateways = append(tc.vms, h), append(tc.gateways, gw)
	return h
}

// waitFor waits until a condition holds.
func (tc *testCluster) waitFor(d time.Duration, what string, holds func() bool) {
	tc.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	tc.t.Fatalf("not within %v: %s", d, what)
}

// get sends a request to VM i and returns the status and the name of the server that
// answered.
func (tc *testCluster) get(i int, path, key string) (int, string) {
	r, err := http.NewRequestWithContext(tc.t.Context(), http.MethodGet, "http://"+tc.cfgs[i].Callers.String()+path, nil)
	assert.NilError(tc.t, err)
	if key != "" {
		r.Header.Set(relay.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(tc.t, err)
	return resp.StatusCode, string(b)
}

// leaderIndex returns the index of the leader, or -1.
func (tc *testCluster) leaderIndex() int {
	return slices.IndexFunc(tc.vms, func(h *Host) bool {
		_, leads := h.listeners.parts.Hub.Lease()
		return leads
	})
}
