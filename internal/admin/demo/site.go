// Package demo implements the command "hawthorn demo". It runs the sites of both users
// at their real sizes in one process: a fake platform, fake backend servers, and several
// entry VMs. During a short run with mixed requests, servers are lost and drained, an
// entry VM is shut down, the rules change and the store has an outage. The run succeeds
// only if every promise of the router was checked and held.
//
// The checks use the fake backend servers' own records, the store's history and what
// callers received. The router's own account is not trusted: its report is itself checked
// against these.
//
// site.go starts a site, callers.go sends the requests, scenario.go triggers the events
// and collects the evidence, tables.go reads the history of the ownership table, checks.go
// checks the promises, and print.go prints the results.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/daemon"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

// siteSpec describes one user's site: its size, services and keys.
type siteSpec struct {
	name        string
	centres     []ident.Centre
	slots       int
	conns       int
	lookups     service // divided by key
	submissions service // each runs at most once
	uploads     service
	keyCount    int
	keyNoun     string // what a key names; used in paths and keys
}

// service describes one service of a site. Each request takes a backend server workTime.
type service struct {
	name     ident.Service
	servers  int
	workTime time.Duration
	rate     int // requests a second
}

// siteSpecs are the users' sites at their current sizes. The rates are what one process
// can serve while it runs everything else of the demonstration, too.
var siteSpecs = []siteSpec{
	{
		name: "Columbia Basin", centres: []ident.Centre{"ground-1", "ground-2", "ground-3"}, slots: 4, conns: 100, keyCount: 300, keyNoun: "scale",
		lookups:     service{"lookup", 16, 5 * time.Millisecond, 250},
		submissions: service{"receipts", 8, 10 * time.Millisecond, 20},
		uploads:     service{"lab", 6, 40 * time.Millisecond, 4},
	},
	{
		name: "Kayalpadam", centres: []ident.Centre{"tvm", "kollam", "kochi", "kozhikode"}, slots: 2, conns: 45, keyCount: 400, keyNoun: "ward",
		lookups:     service{"forecast", 17, 5 * time.Millisecond, 250},
		submissions: service{"sanction", 10, 10 * time.Millisecond, 20},
		uploads:     service{"intake", 8, 40 * time.Millisecond, 4},
	},
}

// lookupSlices is the number of slices of the service for lookups. It is small, so that
// the list of moves of a short run stays readable.
const lookupSlices = 512

// site is the running platform, backend servers and entry VMs of one user.
type site struct {
	siteSpec
	api         *objapi.API
	store       *objcli.Client
	storeAddr   netip.AddrPort
	runLog      *origin.Record // what the backend servers ran, by their own account
	origins     map[ident.Server]*origin.Origin
	serverNames map[ident.Service][]ident.Server
	vms         []*daemon.Daemon
	log         *slog.Logger
	group       group.Group
}

// startSite starts the platform, the backend servers and the entry VMs of a site. The
// caller must close the site, also after an error.
func startSite(ctx context.Context, spec siteSpec, log *slog.Logger) (*site, error) {
	s := &site{
		siteSpec: spec, api: objapi.New(), runLog: &origin.Record{}, log: log,
		origins: map[ident.Server]*origin.Origin{}, serverNames: map[ident.Service][]ident.Server{},
	}
	s.api.RecordHistory(tableObject(spec.lookups.name))
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	var services []config.Service
	for _, svc := range []service{spec.lookups, spec.submissions, spec.uploads} {
		c, err := s.startServers(svc, svc == spec.lookups)
		if err != nil {
			return s, err
		}
		services = append(services, c)
	}
	if _, err := s.replaceRules(ctx, 0, s.rulesTOML("2s")); err != nil {
		return s, err
	}
	return s, s.startVMs(ctx, services)
}

// close stops everything that startSite started and returns the first error. Closing an
// entry VM again has no effect.
func (s *site) close() error {
	var firstErr error
	keepFirst := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	for _, d := range s.vms {
		keepFirst(d.Close())
	}
	for _, o := range s.origins {
		keepFirst(o.Close())
	}
	keepFirst(s.group.Close())
	return firstErr
}

func (s *site) startPlatform() error {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(loopback))
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "listen")
	}
	s.storeAddr = l.Addr().(*net.TCPAddr).AddrPort()
	s.store = objcli.New(s.storeAddr)
	srv := &http.Server{Handler: s.api.Handler(), ReadHeaderTimeout: time.Second}
	s.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
		_ = srv.Serve(l)
		return nil
	})
	return nil
}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func (s *site) startServers(svc service, keyed bool) (config.Service, error) {
	c := config.Service{Name: svc.name, Divided: keyed}
	if keyed {
		c.Slices = lookupSlices
	}
	for i := range svc.servers {
		name := ident.Server(fmt.Sprintf("%s-%02d", svc.name, i+1))
		centre := s.centres[i%len(s.centres)]
		o := origin.New(origin.Config{
			Service: svc.name, Server: name, Centre: centre, Keyed: keyed, Slices: c.Slices, Slots: s.slots, Queue: s.slots,
			Conns: s.conns, ConnectDelay: time.Millisecond, Work: svc.workTime, Record: s.runLog,
		})
		at, err := o.Start()
		if err != nil {
			return c, err
		}
		s.origins[name] = o
		s.serverNames[svc.name] = append(s.serverNames[svc.name], name)
		c.Servers = append(c.Servers, config.Server{Name: name, Data: at, Control: at, Centre: centre, Slots: s.slots, Conns: s.conns})
	}
	return c, nil
}

// rulesTOML returns the site's rules. The scenario edits the deadline of lookups.
func (s *site) rulesTOML(deadline string) string {
	return fmt.Sprintf(`[[rule]]
name = "lookups"
when = { method = ["GET"], path = "/%[1]s/{key}" }
then = { service = %[2]q, key = "path:key", idempotent = true, retry = 2, deadline = %[5]q }
[[rule]]
name = "submissions"
when = { method = ["POST"], path = "/%[1]s/{key}/%[3]s" }
then = { service = %[3]q, key = "path:key", class = "urgent", once = "store", durable = "journal", deadline = "3s" }
[[rule]]
name = "uploads"
when = { method = ["PUT"], path = "/upload/{rest...}" }
then = { service = %[4]q, size = "long", class = "bulk", deadline = "10s" }
`, s.keyNoun, s.lookups.name, s.submissions.name, s.uploads.name, deadline)
}

// replaceRules replaces the rules, as an operator would, and returns the new revision.
// seen is the revision that the edit is based on.
func (s *site) replaceRules(ctx context.Context, seen ident.Revision, text string) (ident.Revision, error) {
	f, err := match.Parse([]byte(text))
	if err != nil {
		return 0, err
	}
	rec, err := save.Save(ctx, s.store, func(cur *revs.Record) (*revs.Record, error) {
		e := revs.Edit{Seen: seen, Author: "demo", Note: "deadline of lookups", Token: fmt.Sprint("demo-", seen), At: time.Now()}
		return revs.Replace(cur, e, f.Rules)
	})
	if err != nil {
		return 0, err
	}
	return rec.Rev, nil
}

// awaitQuorum waits until more than half of the entry VMs are known to hold a revision.
func (s *site) awaitQuorum(ctx context.Context, rev ident.Revision) (quorum.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, rulesDeadline)
	defer cancel()
	return save.Await(ctx, s.store, rev)
}

// startVMs starts one entry VM in each data centre.
func (s *site) startVMs(ctx context.Context, services []config.Service) error {
	ca, err := certs.NewAuthority(time.Hour)
	if err != nil {
		return err
	}
	for i, centre := range s.centres {
		vm := ident.VM(fmt.Sprintf("%s-vm-%d", s.keyNoun, i+1))
		pem, err := ca.Issue(vm, loopback.Addr())
		if err != nil {
			return err
		}
		cfg := config.Config{VM: vm, Centre: centre, Services: services, Platform: config.Platform{Objects: s.storeAddr}}
		d, err := daemon.New(cfg, daemon.WithPEM(pem), daemon.WithLog(s.log), daemon.WithShutdownDelay(shutdownDelay))
		if err != nil {
			return err
		}
		if err := d.Start(ctx); err != nil {
			return err
		}
		s.vms = append(s.vms, d)
		s.api.SetVM(vmlist.VM{ID: vm, Addr: d.Peers(), Centre: centre, State: vmlist.Live})
	}
	return nil
}

// shutdownDelay is how long an entry VM that shuts down still accepts requests, until the
// load balancer has stopped sending it new ones.
const shutdownDelay = 500 * time.Millisecond

// awaitReady waits until all entry VMs are ready.
func (s *site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range s.vms {
		for d.Ready() != nil {
			if !group.Sleep(ctx, 20*time.Millisecond) {
				return kinds.Wrap(kinds.Internal, d.Ready(), "an entry VM does not become ready")
			}
		}
	}
	return nil
}

// readyTimeout limits the wait until the entry VMs are ready.
const readyTimeout = 10 * time.Second
