// Package perf measures what one entry VM adds to a request: the latency on
// loopback at a fixed rate of requests, compared with direct calls in the same run,
// and the allocations of the request path alone.
//
// Everything runs in one process, including the fake platform and backend servers,
// so the figures only serve to compare two versions on one machine. Requests do not
// wait for earlier answers: as with real callers, a slow answer does not delay the
// start of other requests.
package perf

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/ring"
	"hawthornfield.org/hawthornfield/internal/edge/daemon"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

// Options set what to measure. The zero value means 5,000 requests a second in three
// rounds of two seconds for each of the two ways, direct and routed, to a lookup
// service with 16 backend servers of 4 slots and 100 connections.
type Options struct {
	Rate    int           // requests a second
	Rounds  int           // for each way
	Round   time.Duration // length of a round
	Servers int           // backend servers
	Rules   int           // number of rules; the last one matches
}

// Defaults of Options, and fixed sizes.
const (
	DefaultRate    = 5000
	DefaultRounds  = 3
	DefaultRound   = 2 * time.Second
	DefaultServers = 16
	DefaultRules   = 200

	slots   = 4
	conns   = 100
	queue   = 64
	slices  = 4096
	workers = 128 // requests that can be in flight at once
	keys    = 1000
	timeout = 10 * time.Second // for the VM to become ready, and for one request
)

// PathResult is the result of one way of calling.
type PathResult struct {
	P50    time.Duration `json:"p50"`
	P99    time.Duration `json:"p99"`
	P999   time.Duration `json:"p999"`
	Count  int64         `json:"count"`
	Failed int64         `json:"failed"` // answers other than 200
	Codes  map[int]int64 `json:"codes"`  // failures by status; 0 means no answer
	Rate   float64       `json:"rate"`   // requests a second that were sent
}

// Result compares direct and routed requests.
type Result struct {
	Direct PathResult    `json:"direct"`
	Routed PathResult    `json:"routed"`
	P50    time.Duration `json:"added50"` // added by routing, as is P99
	P99    time.Duration `json:"added99"`
}

// String formats the result as a small table.
func (r Result) String() string {
	line := func(name string, s PathResult) string {
		return fmt.Sprintf("%-7s p50 %8v  p99 %8v  p99.9 %8v  %.0f/s  %d sent  %d failed %v\n",
			name, s.P50, s.P99, s.P999, s.Rate, s.Count, s.Failed, s.Codes)
	}
	return line("direct", r.Direct) + line("routed", r.Routed) + fmt.Sprintf("added   p50 %8v  p99 %8v\n", r.P50, r.P99)
}

func (o Options) fill() Options {
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Rounds <= 0 {
		o.Rounds = DefaultRounds
	}
	if o.Round <= 0 {
		o.Round = DefaultRound
	}
	if o.Servers <= 0 {
		o.Servers = DefaultServers
	}
	if o.Rules <= 0 {
		o.Rules = DefaultRules
	}
	return o
}

// Latency runs the measurement. It takes 2 × Rounds × Round, and a second or two to set
// up.
func Latency(ctx context.Context, o Options) (Result, error) {
	o = o.fill()
	b, err := newTestbed(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	direct, routed := newRecorder(), newRecorder()
	for range o.Rounds {
		b.runRound(ctx, o, b.directAddr, direct)
		b.runRound(ctx, o, b.routedAddr, routed)
	}
	res := Result{Direct: direct.result(), Routed: routed.result()}
	res.P50, res.P99 = res.Routed.P50-res.Direct.P50, res.Routed.P99-res.Direct.P99
	return res, ctx.Err()
}

// testbed is one entry VM with a fake platform and backend servers.
type testbed struct {
	group          group.Group
	platformServer *http.Server
	origins        []*origin.Origin
	addrs          map[ident.Server]netip.AddrPort
	vm             *daemon.Daemon
	client         *http.Client
}

func newTestbed(ctx context.Context, o Options) (*testbed, error) {
	b := &testbed{addrs: map[ident.Server]netip.AddrPort{}}
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, MaxIdleConns: workers * o.Servers}}
	platform, err := b.startPlatform()
	if err != nil {
		return nil, err
	}
	svc := config.Service{Name: "lookup", Divided: true, Slices: slices}
	for i := range o.Servers {
		srv, err := b.startServer(svc, i)
		if err != nil {
			b.close()
			return nil, err
		}
		svc.Servers = append(svc.Servers, srv)
	}
	if err := saveRules(ctx, platform, o.Rules); err != nil {
		b.close()
		return nil, err
	}
	cfg := config.Config{
		VM: "vm-1", Centre: "north", Services: []config.Service{svc}, Log: config.Log{Quiet: true},
		Platform: config.Platform{Objects: platform},
	}
	log := slog.New(slog.DiscardHandler)
	if b.vm, err = daemon.New(cfg, daemon.WithLog(log), daemon.WithShutdownDelay(0)); err == nil {
		err = b.vm.Start(ctx)
	}
	if err == nil {
		err = b.awaitReady(ctx)
	}
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *testbed) startPlatform() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	b.platformServer = &http.Server{Handler: objapi.New().Handler(), ReadHeaderTimeout: timeout}
	b.group.Go(func(context.Context) error {
		_ = b.platformServer.Serve(l)
		return nil
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (b *testbed) startServer(svc config.Service, i int) (config.Server, error) {
	name := ident.Server(fmt.Sprintf("lookup-%d", i+1))
	o := origin.New(origin.Config{
		Service: svc.Name, Server: name, Keyed: true, Slices: svc.Slices,
		Slots: slots, Queue: queue, Conns: conns,
	})
	at, err := o.Start()
	if err != nil {
		return config.Server{}, err
	}
	b.origins = append(b.origins, o)
	b.addrs[name] = at
	return config.Server{Name: name, Data: at, Control: at, Centre: "south", Slots: slots, Conns: conns}, nil
}

// ruleList returns n rules, of which the last one matches.
func ruleList(n int) []match.Rule {
	list := make([]match.Rule, 0, n)
	for i := range n - 1 {
		list = append(list, match.Rule{
			Name: fmt.Sprintf("other-%d", i),
			When: match.When{Path: fmt.Sprintf("/other%d/{x}", i)},
			Then: match.Then{Service: "lookup", Key: "path:x"},
		})
	}
	return append(list, match.Rule{
		Name: "lookups", When: match.When{Path: "/scales/{scale}"},
		Then: match.Then{Service: "lookup", Key: "path:scale", Idempotent: true, Deadline: timeout},
	})
}

func saveRules(ctx context.Context, platform netip.AddrPort, n int) error {
	edit := revs.Edit{Author: "trial", Token: "trial", At: time.Now()}
	_, err := save.Save(ctx, objcli.New(platform), func(cur *revs.Record) (*revs.Record, error) {
		return revs.Replace(cur, edit, ruleList(n))
	})
	return err
}

// awaitReady waits until the VM routes every key.
func (b *testbed) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for i := 0; i < keys; {
		if ctx.Err() != nil {
			return kinds.Wrap(kinds.DeadlineMissed, ctx.Err(), "the entry VM did not become ready")
		}
		if b.vm.Ready() == nil && b.send(ctx, b.routedAddr(i), i) == http.StatusOK {
			i++
		}
	}
	return nil
}

func (b *testbed) close() {
	b.client.CloseIdleConnections()
	if b.vm != nil {
		_ = b.vm.Close()
	}
	for _, o := range b.origins {
		_ = o.Close()
	}
	_ = b.platformServer.Close()
	_ = b.group.Close()
}

func requestPath(i int) string { return fmt.Sprintf("/scales/s%d", i%keys) }

// routedAddr returns the address that a routed request is sent to: the entry VM's.
func (b *testbed) routedAddr(int) netip.AddrPort { return b.vm.Callers() }

// directAddr returns the address that direct request number i is sent to: that of the owner
// of its key.
func (b *testbed) directAddr(i int) netip.AddrPort {
	svc, _ := b.vm.State().Service("lookup")
	owner, _ := svc.Owner(ident.Key(requestPath(i)[len("/scales/"):]))
	return b.addrs[owner.Server]
}

// send sends request number i and returns the status of the answer, zero if there was no
// complete answer.
func (b *testbed) send(ctx context.Context, addr netip.AddrPort, i int) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+requestPath(i), nil)
	if err != nil {
		return 0
	}
	req.Header.Set(relay.HeaderKey, requestPath(i)[len("/scales/"):])
	resp, err := b.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// dueRequest is a request that is due at a time.
type dueRequest struct {
	n  int
	at time.Time
}

// runRound sends requests for one round at the fixed rate, evenly spaced.
func (b *testbed) runRound(ctx context.Context, o Options, addrOf func(int) netip.AddrPort, rec *recorder) {
	due := ring.New[dueRequest](workers, ring.Block)
	var g group.Group
	for range workers {
		g.Go(func(ctx context.Context) error {
			for {
				d, ok := due.Pop(ctx)
				if !ok || d.at.IsZero() {
					return nil
				}
				code := b.send(ctx, addrOf(d.n), d.n)
				rec.add(time.Since(d.at), code)
			}
		})
	}
	gap := time.Second / time.Duration(o.Rate)
	start := time.Now()
	total := int(o.Round / gap)
	for n := 0; n < total && ctx.Err() == nil; {
		for ; n < total && time.Since(start) >= time.Duration(n)*gap; n++ {
			due.Push(ctx, dueRequest{n, time.Now()})
		}
		time.Sleep(gap / 2)
	}
	rec.elapsed += time.Since(start)
	for range workers {
		due.Push(ctx, dueRequest{})
	}
	_ = g.Wait()
}

// recorder collects latencies and failures.
type recorder struct {
	mu      sync.Mutex
	hist    *hdrhistogram.Histogram
	codes   map[int]int64
	elapsed time.Duration
}

func newRecorder() *recorder {
	const digits = 3
	return &recorder{
		hist:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), digits),
		codes: map[int]int64{},
	}
}

func (r *recorder) add(d time.Duration, code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if code != http.StatusOK {
		r.codes[code]++
	}
	_ = r.hist.RecordValue(int64(d / time.Microsecond))
}

func (r *recorder) result() PathResult {
	q := func(p float64) time.Duration { return time.Duration(r.hist.ValueAtQuantile(p)) * time.Microsecond }
	var failed int64
	for _, n := range r.codes {
		failed += n
	}
	return PathResult{
		P50: q(50), P99: q(99), P999: q(99.9), Count: r.hist.TotalCount(), Failed: failed, Codes: r.codes,
		Rate: float64(r.hist.TotalCount()) / r.elapsed.Seconds(),
	}
}
