// Package demo is the embedded default of the program: the surroundings of both
// users at their real sizes in one process, several entry VMs, and a short mixed
// run in which servers are lost and drained, an entry VM leaves and the rules
// change. It ends by itself, and succeeds only if every promise was checked and
// held.
//
// The judges read the stand-in backend servers' own records and what the
// callers received, never the router's view of itself.
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

// user is one user's site: sizes, and what its callers ask for.
type user struct {
	name    string
	centres []ident.Centre
	slots   int
	conns   int
	keyed   service // lookups, divided by key
	once    service // receipts, at most once
	upload  service
	keys    int // scales or wards
	noun    string
}

type service struct {
	name    ident.Service
	servers int
	work    time.Duration
	rate    int // requests a second
}

// users are the sizes of today. The rates are what one process can serve beside
// everything else that runs in it.
var users = []user{
	{
		name: "Columbia Basin", centres: []ident.Centre{"ground-1", "ground-2", "ground-3"}, slots: 4, conns: 100, keys: 300, noun: "scale",
		keyed:  service{"lookup", 16, 5 * time.Millisecond, 250},
		once:   service{"receipts", 8, 10 * time.Millisecond, 20},
		upload: service{"lab", 6, 40 * time.Millisecond, 4},
	},
	{
		name: "Kayalpadam", centres: []ident.Centre{"tvm", "kollam", "kochi", "kozhikode"}, slots: 2, conns: 45, keys: 400, noun: "ward",
		keyed:  service{"forecast", 17, 5 * time.Millisecond, 250},
		once:   service{"sanction", 10, 10 * time.Millisecond, 20},
		upload: service{"intake", 8, 40 * time.Millisecond, 4},
	},
}

// keyParts is how many slices the keys hash to. It is small so that moves of a
// short run can be read.
const keyParts = 512

// site is a user's platform, backend servers and entry VMs, running.
type site struct {
	user
	api     *objapi.API
	store   *objcli.Client
	at      netip.AddrPort
	record  *origin.Record // what the backend servers ran, by their own word
	origins map[ident.Server]*origin.Origin
	names   map[ident.Service][]ident.Server
	vms     []*daemon.Daemon
	log     *slog.Logger
	group   group.Group
}

// open starts everything of a user but its callers.
func open(ctx context.Context, u user, log *slog.Logger) (*site, error) {
	s := &site{
		user: u, api: objapi.New(), record: &origin.Record{}, log: log,
		origins: map[ident.Server]*origin.Origin{}, names: map[ident.Service][]ident.Server{},
	}
	s.api.RecordHistory(tableName(u.keyed.name))
	if err := s.platform(); err != nil {
		return s, err
	}
	var services []config.Service
	for _, svc := range []service{u.keyed, u.once, u.upload} {
		c, err := s.servers(svc, svc == u.keyed)
		if err != nil {
			return s, err
		}
		services = append(services, c)
	}
	if _, err := s.accept(ctx, 0, s.rules("2s")); err != nil {
		return s, err
	}
	return s, s.entries(ctx, services)
}

// close ends what open started. Entry VMs that were closed before stay closed.
func (s *site) close() error {
	var first error
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, d := range s.vms {
		note(d.Close())
	}
	for _, o := range s.origins {
		note(o.Close())
	}
	note(s.group.Close())
	return first
}

func (s *site) platform() error {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(local))
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "listen")
	}
	s.at = l.Addr().(*net.TCPAddr).AddrPort()
	s.store = objcli.New(s.at)
	web := &http.Server{Handler: s.api.Handler(), ReadHeaderTimeout: time.Second}
	s.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = web.Close() })()
		_ = web.Serve(l)
		return nil
	})
	return nil
}

var local = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func (s *site) servers(svc service, keyed bool) (config.Service, error) {
	c := config.Service{Name: svc.name, Divided: keyed}
	if keyed {
		c.Slices = keyParts
	}
	for i := range svc.servers {
		name := ident.Server(fmt.Sprintf("%s-%02d", svc.name, i+1))
		centre := s.centres[i%len(s.centres)]
		o := origin.New(origin.Config{
			Service: svc.name, Server: name, Centre: centre, Keyed: keyed, Slices: c.Slices, Slots: s.slots, Queue: s.slots,
			Conns: s.conns, ConnectDelay: time.Millisecond, Work: svc.work, Record: s.record,
		})
		at, err := o.Start()
		if err != nil {
			return c, err
		}
		s.origins[name] = o
		s.names[svc.name] = append(s.names[svc.name], name)
		c.Servers = append(c.Servers, config.Server{Name: name, Data: at, Control: at, Centre: centre, Slots: s.slots, Conns: s.conns})
	}
	return c, nil
}

// rules renders the site's rules; the deadline of lookups is what the run edits.
func (s *site) rules(deadline string) string {
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
`, s.noun, s.keyed.name, s.once.name, s.upload.name, deadline)
}

// accept replaces the rules, as an operator does, and returns the revision.
func (s *site) accept(ctx context.Context, seen ident.Revision, text string) (ident.Revision, error) {
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

// held waits until more than half of the entry VMs are known to hold a revision.
func (s *site) held(ctx context.Context, rev ident.Revision) (quorum.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, rulesWithin)
	defer cancel()
	return save.Await(ctx, s.store, rev)
}

// entries starts one entry VM in each data centre.
func (s *site) entries(ctx context.Context, services []config.Service) error {
	ca, err := certs.NewAuthority(time.Hour)
	if err != nil {
		return err
	}
	for i, centre := range s.centres {
		vm := ident.VM(fmt.Sprintf("%s-vm-%d", s.noun, i+1))
		pem, err := ca.Issue(vm, local.Addr())
		if err != nil {
			return err
		}
		cfg := config.Config{VM: vm, Centre: centre, Services: services, Platform: config.Platform{Objects: s.at}}
		d, err := daemon.New(cfg, daemon.WithPEM(pem), daemon.WithLog(s.log), daemon.WithShutdownDelay(notice))
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

// notice is how long a leaving entry VM waits for the balancer.
const notice = 500 * time.Millisecond

// ready waits until every entry VM serves.
func (s *site) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
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

const readyWait = 10 * time.Second
