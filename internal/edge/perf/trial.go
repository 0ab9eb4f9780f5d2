// Package perf measures what one entry VM adds to a request: latency on
// loopback at a fixed rate of arrivals beside a direct call in the same run,
// and the allocations of the request path alone.
//
// It runs everything in one process, the stand-ins included, so the figures
// hold for one machine and for comparing two versions on it. Arrivals do not
// wait for answers: a slow answer delays nobody's start, as with real callers.
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

// Options say what to measure. The zero value means 5,000 requests a second in
// three rounds of two seconds each way, over the Basin Authority's lookup
// service: 16 backend servers of 4 slots and 100 connections.
type Options struct {
	Rate    int
	Rounds  int
	Round   time.Duration
	Servers int
	Rules   int // in front of the one that matches
}

// Defaults of Options.
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
	workers = 128 // requests that can be under way at once
	keys    = 1000
	settle  = 10 * time.Second // for the VM to become ready
)

// PathResult is what one way of calling gave.
type PathResult struct {
	P50    time.Duration `json:"p50"`
	P99    time.Duration `json:"p99"`
	P999   time.Duration `json:"p999"`
	Count  int64         `json:"count"`
	Failed int64         `json:"failed"` // answers other than 200
	Codes  map[int]int64 `json:"codes"`  // failures by status; 0 is no answer
	Rate   float64       `json:"rate"`   // requests a second that were sent
}

// Result compares the two ways.
type Result struct {
	Direct PathResult    `json:"direct"`
	Routed PathResult    `json:"routed"`
	P50    time.Duration `json:"added50"` // of the routed way over the direct one
	P99    time.Duration `json:"added99"`
}

// String renders the result as a small table.
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

// Latency measures. It takes Rounds times twice Round, and a second or two to
// set up.
func Latency(ctx context.Context, o Options) (Result, error) {
	o = o.fill()
	s, err := build(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	direct, routed := newTally(), newTally()
	for range o.Rounds {
		s.round(ctx, o, s.direct, direct)
		s.round(ctx, o, s.routed, routed)
	}
	r := Result{Direct: direct.side(), Routed: routed.side()}
	r.P50, r.P99 = r.Routed.P50-r.Direct.P50, r.Routed.P99-r.Direct.P99
	return r, ctx.Err()
}

// scene is one entry VM with its surroundings.
type scene struct {
	group   group.Group
	web     *http.Server
	origins []*origin.Origin
	addrs   map[ident.Server]netip.AddrPort
	vm      *daemon.Daemon
	client  *http.Client
}

func build(ctx context.Context, o Options) (*scene, error) {
	s := &scene{addrs: map[ident.Server]netip.AddrPort{}}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, MaxIdleConns: workers * o.Servers}}
	platform, err := s.platform()
	if err != nil {
		return nil, err
	}
	svc := config.Service{Name: "lookup", Divided: true, Slices: slices}
	for i := range o.Servers {
		srv, err := s.server(svc, i)
		if err != nil {
			s.close()
			return nil, err
		}
		svc.Servers = append(svc.Servers, srv)
	}
	if err := accept(ctx, platform, o.Rules); err != nil {
		s.close()
		return nil, err
	}
	cfg := config.Config{
		VM: "vm-1", Centre: "north", Services: []config.Service{svc}, Log: config.Log{Quiet: true},
		Platform: config.Platform{Objects: platform},
	}
	log := slog.New(slog.DiscardHandler)
	if s.vm, err = daemon.New(cfg, daemon.WithLog(log), daemon.WithShutdownDelay(0)); err == nil {
		err = s.vm.Start(ctx)
	}
	if err == nil {
		err = s.ready(ctx)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *scene) platform() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.web = &http.Server{Handler: objapi.New().Handler(), ReadHeaderTimeout: settle}
	s.group.Go(func(context.Context) error {
		_ = s.web.Serve(l)
		return nil
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *scene) server(svc config.Service, i int) (config.Server, error) {
	name := ident.Server(fmt.Sprintf("lookup-%d", i+1))
	o := origin.New(origin.Config{
		Service: svc.Name, Server: name, Keyed: true, Slices: svc.Slices,
		Slots: slots, Queue: queue, Conns: conns,
	})
	at, err := o.Start()
	if err != nil {
		return config.Server{}, err
	}
	s.origins = append(s.origins, o)
	s.addrs[name] = at
	return config.Server{Name: name, Data: at, Control: at, Centre: "south", Slots: slots, Conns: conns}, nil
}

// ruleList makes n rules of which the last one matches.
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
		Then: match.Then{Service: "lookup", Key: "path:scale", Idempotent: true, Deadline: settle},
	})
}

func accept(ctx context.Context, platform netip.AddrPort, n int) error {
	edit := revs.Edit{Author: "trial", Token: "trial", At: time.Now()}
	_, err := save.Save(ctx, objcli.New(platform), func(cur *revs.Record) (*revs.Record, error) {
		return revs.Replace(cur, edit, ruleList(n))
	})
	return err
}

// ready waits until the VM routes every key.
func (s *scene) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	for i := 0; i < keys; {
		if ctx.Err() != nil {
			return kinds.Wrap(kinds.DeadlineMissed, ctx.Err(), "the entry VM did not become ready")
		}
		if s.vm.Ready() == nil && s.send(ctx, s.routed(i), i) == http.StatusOK {
			i++
		}
	}
	return nil
}

func (s *scene) close() {
	s.client.CloseIdleConnections()
	if s.vm != nil {
		_ = s.vm.Close()
	}
	for _, o := range s.origins {
		_ = o.Close()
	}
	_ = s.web.Close()
	_ = s.group.Close()
}

func path(i int) string { return fmt.Sprintf("/scales/s%d", i%keys) }

// routed and direct say where the request number i goes.
func (s *scene) routed(int) netip.AddrPort { return s.vm.Callers() }

func (s *scene) direct(i int) netip.AddrPort {
	svc, _ := s.vm.State().Service("lookup")
	owner, _ := svc.Owner(ident.Key(path(i)[len("/scales/"):]))
	return s.addrs[owner.Server]
}

// send returns the status of the answer, zero if none came whole.
func (s *scene) send(ctx context.Context, to netip.AddrPort, i int) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path(i), nil)
	if err != nil {
		return 0
	}
	r.Header.Set(relay.HeaderKey, path(i)[len("/scales/"):])
	resp, err := s.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// arrival is a request that is due.
type arrival struct {
	n  int
	at time.Time
}

// round sends requests at the rate for one round, at fixed distances.
func (s *scene) round(ctx context.Context, o Options, to func(int) netip.AddrPort, t *tally) {
	due := ring.New[arrival](workers, ring.Block)
	var g group.Group
	for range workers {
		g.Go(func(ctx context.Context) error {
			for {
				a, ok := due.Pop(ctx)
				if !ok || a.at.IsZero() {
					return nil
				}
				code := s.send(ctx, to(a.n), a.n)
				t.add(time.Since(a.at), code)
			}
		})
	}
	gap := time.Second / time.Duration(o.Rate)
	start := time.Now()
	total := int(o.Round / gap)
	for n := 0; n < total && ctx.Err() == nil; {
		for ; n < total && time.Since(start) >= time.Duration(n)*gap; n++ {
			due.Push(ctx, arrival{n, time.Now()})
		}
		time.Sleep(gap / 2)
	}
	t.spent += time.Since(start)
	for range workers {
		due.Push(ctx, arrival{})
	}
	_ = g.Wait()
}

// tally collects latencies.
type tally struct {
	mu    sync.Mutex
	hist  *hdrhistogram.Histogram
	codes map[int]int64
	spent time.Duration
}

func newTally() *tally {
	const digits = 3
	return &tally{
		hist:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), digits),
		codes: map[int]int64{},
	}
}

func (t *tally) add(d time.Duration, code int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if code != http.StatusOK {
		t.codes[code]++
	}
	_ = t.hist.RecordValue(int64(d / time.Microsecond))
}

func (t *tally) side() PathResult {
	q := func(p float64) time.Duration { return time.Duration(t.hist.ValueAtQuantile(p)) * time.Microsecond }
	var failed int64
	for _, n := range t.codes {
		failed += n
	}
	return PathResult{
		P50: q(50), P99: q(99), P999: q(99.9), Count: t.hist.TotalCount(), Failed: failed, Codes: t.codes,
		Rate: float64(t.hist.TotalCount()) / t.spent.Seconds(),
	}
}
