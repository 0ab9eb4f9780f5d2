package bench

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
	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
	"hawthornfield.org/hawthornfield/internal/plat/vmcli"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

// The size of today's fleet.
const (
	controlVMs     = 10
	controlDivided = 17 // backend servers of the service that is divided by key
	controlPlain   = 17 // backend servers of the other service
	controlSlices  = 4096
)

var controlCentres = []ident.Centre{"north", "south", "west", "east"}

const controlRules = `[[rule]]
name = "lookups"
when = { path = "/scales/{scale}" }
then = { service = "lookup", key = "path:scale" }
`

// fleet is a running fleet of entry VMs with a fake platform and fake backend servers.
type fleet struct {
	api       *objapi.API
	storeAddr netip.AddrPort
	origins   []*origin.Origin
	vms       []*meteredVM
	group     group.Group
}

// meteredVM is one entry VM whose traffic is counted. meters is indexed by link.
type meteredVM struct {
	daemon *daemon.Daemon
	meters [len(linkNames)]meter
}

// readMeters returns the current counts of all VMs.
func (f *fleet) readMeters() [][len(linkNames)]count {
	all := make([][len(linkNames)]count, len(f.vms))
	for i, vm := range f.vms {
		for k := range vm.meters {
			all[i][k] = vm.meters[k].read()
		}
	}
	return all
}

var anyLoopbackPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func newFleet(ctx context.Context) (*fleet, error) {
	f := &fleet{api: objapi.New()}
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	var all []config.Service
	for _, svc := range []config.Service{{Name: "lookup", Divided: true, Slices: controlSlices}, {Name: "receipts"}} {
		if err := f.startServers(&svc); err != nil {
			return f, err
		}
		all = append(all, svc)
	}
	if err := f.putRules(ctx); err != nil {
		return f, err
	}
	ca, err := certs.NewAuthority(time.Hour)
	if err != nil {
		return f, err
	}
	for i := range controlVMs {
		if err := f.startVM(ctx, ca, i, all); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) startPlatform() error {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(anyLoopbackPort))
	if err != nil {
		return kinds.Wrap(kinds.Internal, err, "listen")
	}
	f.storeAddr = l.Addr().(*net.TCPAddr).AddrPort()
	web := &http.Server{Handler: f.api.Handler(), ReadHeaderTimeout: time.Second}
	f.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = web.Close() })()
		_ = web.Serve(l)
		return nil
	})
	return nil
}

func (f *fleet) startServers(svc *config.Service) error {
	n := controlPlain
	if svc.Divided {
		n = controlDivided
	}
	for i := range n {
		name, centre := ident.Server(fmt.Sprintf("%s-%02d", svc.Name, i)), controlCentres[i%len(controlCentres)]
		o := origin.New(origin.Config{
			Service: svc.Name, Server: name, Centre: centre, Keyed: svc.Divided, Slices: svc.Slices, Slots: 4, Queue: 4, Conns: 100,
		})
		at, err := o.Start()
		if err != nil {
			return err
		}
		f.origins = append(f.origins, o)
		svc.Servers = append(svc.Servers, config.Server{Name: name, Data: at, Control: at, Centre: centre, Slots: 4, Conns: 100})
	}
	return nil
}

// putRules saves the rules in the store.
func (f *fleet) putRules(ctx context.Context) error {
	rules, err := match.Parse([]byte(controlRules))
	if err != nil {
		return err
	}
	_, err = save.Save(ctx, objcli.New(f.storeAddr), func(cur *revs.Record) (*revs.Record, error) {
		return revs.Replace(cur, revs.Edit{Author: "bench", Token: "bench", At: time.Now()}, rules.Rules)
	})
	return err
}

// startVM starts one entry VM with a meter on each of its links.
func (f *fleet) startVM(ctx context.Context, ca *certs.Authority, i int, svcs []config.Service) error {
	name, centre := ident.VM(fmt.Sprintf("vm-%02d", i)), controlCentres[i%len(controlCentres)]
	pem, err := ca.Issue(name, anyLoopbackPort.Addr())
	if err != nil {
		return err
	}
	vm := &meteredVM{}
	store, list, control := objcli.New(f.storeAddr), vmcli.New(f.storeAddr), &srvcli.Client{}
	store.HTTP, list.HTTP = vm.meters[linkObjects].client(), vm.meters[linkVMList].client()
	control.Transport = vm.meters[linkServers].transport
	cfg := config.Config{VM: name, Centre: centre, Services: svcs, Platform: config.Platform{Objects: f.storeAddr}}
	vm.daemon, err = daemon.New(cfg,
		daemon.WithPEM(pem), daemon.WithShutdownDelay(time.Millisecond), daemon.WithLog(slog.New(slog.DiscardHandler)),
		daemon.WithStore(store), daemon.WithVMs(list), daemon.WithControl(control), daemon.WithPacketConn(vm.meters[linkPeers].packets))
	if err != nil {
		return err
	}
	if err := vm.daemon.Start(ctx); err != nil {
		return err
	}
	f.vms = append(f.vms, vm)
	f.api.SetVM(vmlist.VM{ID: name, Addr: vm.daemon.Peers(), Centre: centre, State: vmlist.Live})
	return nil
}
