package host

import (
	"bytes"
	"context"
	"encoding/json"
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

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// store is a platform's store in memory: one revision counts the changes of all
// objects. VMs that are barred get no answer from it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]object.Object
	log     []object.Change
	more    chan struct{}
}

// gateway is one VM's way to the store.
type gateway struct {
	*store
	mu     sync.Mutex
	barred bool
	rules  int // versions of the rules that it brought
}

// brought counts the versions of the rules among what the store answers.
func (g *gateway) brought(o object.Object) {
	if o.Name != "config/main" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rules++
}

func (g *gateway) versions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rules
}

func (g *gateway) bar(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.barred = on
}

func (g *gateway) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.barred {
		return kinds.New(kinds.Unavailable, "barred")
	}
	return nil
}

func newStore() *store { return &store{objects: map[string]object.Object{}, more: make(chan struct{})} }

func (s *store) set(name string, value []byte) object.Version {
	s.rev++
	o := object.Object{Name: name, Version: object.Version(s.rev), Value: value}
	if value == nil {
		delete(s.objects, name)
		o.Version = 0
	} else {
		s.objects[name] = o
	}
	s.log = append(s.log, object.Change{Object: o, At: object.Cursor(s.rev)})
	close(s.more)
	s.more = make(chan struct{})
	return object.Version(s.rev)
}

func (s *store) write(name string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(name, b)
}

func (g *gateway) Get(_ context.Context, name string) (object.Object, error) {
	if err := g.open(); err != nil {
		return object.Object{}, err
	}
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	o, ok := g.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, name)
	}
	return o, nil
}

func (g *gateway) Put(_ context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	if err := g.open(); err != nil {
		return 0, err
	}
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	if g.objects[name].Version != old {
		return 0, kinds.New(kinds.Conflict, name)
	}
	return g.set(name, value), nil
}

func (g *gateway) Delete(context.Context, string, object.Version) error { return nil }

func (g *gateway) List(_ context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	if err := g.open(); err != nil {
		return nil, 0, err
	}
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	var all []object.Object
	for name, o := range g.objects {
		if strings.HasPrefix(name, prefix) {
			all = append(all, o)
			g.brought(o)
		}
	}
	return all, object.Cursor(g.rev), nil
}

func (g *gateway) Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error) {
	const wait = 300 * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := g.open(); err != nil {
			return nil, 0, err
		}
		g.store.mu.Lock()
		var all []object.Change
		for _, c := range g.log {
			if c.At > after && strings.HasPrefix(c.Name, prefix) {
				all = append(all, c)
				g.brought(c.Object)
			}
		}
		more, at := g.more, object.Cursor(g.rev)
		g.store.mu.Unlock()
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

// lagging is the store for calls that may lag. Here it does not, but it is another one:
// what it says is no word of the store on what is newest.
type lagging struct{ *gateway }

// decoder reads entries and rules that are written as the product's own types.
type decoder struct{}

func (decoder) Server(_ string, b []byte) (feed.Server, error) {
	var s feed.Server
	err := json.Unmarshal(b, &s)
	return s, kinds.Wrap(kinds.Malformed, err, "entry")
}

func (decoder) Rules(rev ident.Revision, b []byte) (feed.Rules, error) {
	var r feed.Rules
	err := json.Unmarshal(b, &r)
	r.Rev = rev
	return r, kinds.Wrap(kinds.Malformed, err, "rules")
}

// backend is a server that serves the keys that it was granted.
type backend struct {
	name ident.Server
	web  *httptest.Server
	mu   sync.Mutex
	held map[ranges.Span]time.Time
	ran  int
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
	b.ran++
	b.mu.Unlock()
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

// world is a platform with some servers, and VMs on it.
type world struct {
	t     *testing.T
	store *store
	back  map[netip.AddrPort]*backend
	vms   []*Host
	ways  []*gateway
	cfgs  []Config
	// decoders are those of VMs of other versions.
	decoders map[int]feed.Decoder
	log      *slog.Logger // of the VMs
	text     bytes.Buffer // what they log, where a test reads it
}

// Grant gives keys to the server at an address.
func (w *world) Grant(_ context.Context, to netip.AddrPort, _ ident.Server, g feed.Grant) error {
	b := w.back[to]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[g.Span] = time.Now().Add(g.TTL)
	return nil
}

// Release takes keys back.
func (w *world) Release(_ context.Context, to netip.AddrPort, _ ident.Server, s ranges.Span, _ uint64) (string, error) {
	b := w.back[to]
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, s)
	return "token", nil
}

func newWorld(t *testing.T, vms int) *world {
	w := &world{t: t, store: newStore(), back: map[netip.AddrPort]*backend{}, log: slog.New(slog.DiscardHandler)}
	for range vms {
		w.cfgs = append(w.cfgs, Config{
			VM: ident.VM("vm-" + strconv.Itoa(len(w.cfgs)+1)), Centre: "here",
			Notice: 50 * time.Millisecond, Callers: free(t), Operators: free(t), Peers: free(t), Metrics: free(t),
			Bounds: Bounds{Drain: 2 * time.Second, Grace: 4 * time.Second, RetryRatio: 0.2, RetrySlack: 50},
		})
	}
	return w
}

// taken holds the ports that free gave out in this process.
var taken sync.Map

// free finds an address that nobody listens on. Its port is none that systems give to
// outgoing connections: between this look and the start of a VM, another connection
// of this machine would take one of those now and then.
func free(t *testing.T) netip.AddrPort {
	const first, count = 10_000, 20_000
	for {
		port := first + rand.IntN(count)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		assert.NilError(t, l.Close())
		if _, known := taken.LoadOrStore(port, true); !known {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		}
	}
}

// serve adds a backend server and its entry.
func (w *world) serve(svc ident.Service, name ident.Server) *backend {
	b := &backend{name: name, held: map[ranges.Span]time.Time{}}
	b.web = httptest.NewServer(b)
	w.t.Cleanup(b.web.Close)
	at, err := netip.ParseAddrPort(strings.TrimPrefix(b.web.URL, "http://"))
	assert.NilError(w.t, err)
	w.back[at] = b
	w.store.write("servers/"+string(name), feed.Server{Name: name, Service: svc, Addr: at, Centre: "here", Slots: 4, Incarnation: 1})
	return b
}

// rules puts rules in force: lookups by key, receipts without.
func (w *world) rules(prefix string) {
	w.store.write("config/main", feed.Rules{
		List: []match.Rule{
			{Name: "lookup", When: match.When{Prefix: prefix}, Then: match.Then{Service: "lookup", Key: "header:" + relay.HeaderKey, Idempotent: true, Retry: 1, Deadline: 5 * time.Second}},
			{Name: "receipt", When: match.When{Prefix: "/receipt/"}, Then: match.Then{Service: "ledger", Deadline: 5 * time.Second}},
		},
		Services: []feed.Service{{Name: "lookup", Divided: true, Conns: 50}, {Name: "ledger", Conns: 50}},
	})
}

// start starts VM i.
func (w *world) start(i int) *Host {
	way := &gateway{store: w.store}
	cfg := w.cfgs[i]
	for j, other := range w.cfgs {
		if j != i {
			cfg.Seeds = append(cfg.Seeds, other.Peers)
		}
	}
	var decode feed.Decoder = decoder{}
	if d, odd := w.decoders[i]; odd {
		decode = d
	}
	names := relay.DefaultHeaders()
	names.PassThrough = []string{relay.HeaderKey}
	h := New(cfg, Platform{
		Store: way, StaleStore: lagging{way}, Decode: decode, Orders: w, Headers: names,
		Servers: "servers/", Rules: "config/main", OwnPrefix: "own/",
	}, w.log)
	assert.NilError(w.t, h.Start(w.t.Context()))
	w.vms, w.ways = append(w.vms, h), append(w.ways, way)
	return h
}

// within waits until something holds.
func (w *world) within(d time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", d, what)
}

// get asks VM i and returns the status and who answered.
func (w *world) get(i int, path, key string) (int, string) {
	r, err := http.NewRequestWithContext(w.t.Context(), http.MethodGet, "http://"+w.cfgs[i].Callers.String()+path, nil)
	assert.NilError(w.t, err)
	if key != "" {
		r.Header.Set(relay.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(w.t, err)
	return resp.StatusCode, string(b)
}

// leads returns the index of the VM that leads, -1 for none.
func (w *world) leads() int {
	return slices.IndexFunc(w.vms, func(h *Host) bool {
		_, leads := h.d.p.Board.Lease()
		return leads
	})
}
