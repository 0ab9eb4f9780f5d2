// Command standin simulates the environment of the router on this machine, so that
// `hawthorn serve` can be tried as separate processes: the platform's object API and VM
// list, and every backend server that the settings files name.
//
//	standin vm-1.toml vm-2.toml
//
// It keeps everything in memory and exits on SIGINT or SIGTERM. The first SIGUSR1 starts
// an outage of the platform's store, the next one ends it. The command is not part of
// the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Exit codes.
const (
	exitOK    = 0
	exitUsage = 2
	exitFault = 1
)

type options struct {
	WorkTime time.Duration `long:"work" default:"5ms" description:"how long a backend server works on a request"`
	Args     struct {
		Files []string `positional-arg-name:"SETTINGS" required:"1" description:"settings files of the entry VMs"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var shown *flags.Error
		if errors.As(err, &shown) && shown.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := serveAll(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFault
	}
	return exitOK
}

// environment holds the simulated platform and backend servers.
type environment struct {
	group    group.Group
	workTime time.Duration
	api      *objapi.API
	opened   map[netip.AddrPort]bool
	origins  []*origin.Origin
}

func serveAll(ctx context.Context, o options) error {
	e := &environment{workTime: o.WorkTime, api: objapi.New(), opened: map[netip.AddrPort]bool{}}
	defer e.close()
	for _, file := range o.Args.Files {
		cfg, err := config.Load(file)
		if err != nil {
			return err
		}
		if err := e.addSettings(cfg); err != nil {
			return err
		}
	}
	fmt.Printf("standin: platform and %d backend servers are up\n", len(e.origins))
	e.toggleOutages(ctx)
	return nil
}

// toggleOutages starts or ends an outage of the store on each SIGUSR1, until ctx is
// done.
func (e *environment) toggleOutages(ctx context.Context) {
	toggle := make(chan os.Signal, 1)
	signal.Notify(toggle, syscall.SIGUSR1)
	defer signal.Stop(toggle)
	for down := false; ; {
		select {
		case <-toggle:
			down = !down
			e.api.Outage(down)
			fmt.Printf("standin: store down: %v\n", down)
		case <-ctx.Done():
			return
		}
	}
}

func (e *environment) close() {
	for _, o := range e.origins {
		if err := o.Close(); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
		}
	}
	if err := e.group.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
}

func (e *environment) addSettings(cfg config.Config) error {
	e.api.SetVM(vmlist.VM{ID: cfg.VM, Addr: cfg.Listen.Peers, Centre: cfg.Centre, State: vmlist.Live})
	if err := e.servePlatform(cfg.Platform.Objects); err != nil {
		return err
	}
	if err := e.servePlatform(cfg.Platform.VMs); err != nil {
		return err
	}
	for _, svc := range cfg.Services {
		for _, srv := range svc.Servers {
			if err := e.startServer(svc, srv); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *environment) servePlatform(addr netip.AddrPort) error {
	l, err := e.listen(addr)
	if l == nil {
		return err
	}
	e.serve(l, e.api.Handler())
	return nil
}

func (e *environment) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	e.group.Go(func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

func (e *environment) startServer(svc config.Service, srv config.Server) error {
	l, err := e.listen(srv.Data)
	if l == nil {
		return err
	}
	o := origin.New(origin.Config{
		Service: svc.Name, Server: srv.Name, Centre: srv.Centre,
		Keyed: svc.Divided, Slices: svc.Slices, FenceChecks: svc.FenceChecks,
		Slots: srv.Slots, Queue: srv.Slots, Conns: srv.Conns, Work: e.workTime,
	})
	e.origins = append(e.origins, o)
	o.Serve(l)
	control, err := e.listen(srv.Control)
	if control == nil {
		return err
	}
	e.serve(control, o.Handler())
	return nil
}

// listen opens a listener on addr. It returns nil for an address that is invalid or
// already open, because several settings files name the same platform and servers.
func (e *environment) listen(addr netip.AddrPort) (net.Listener, error) {
	if !addr.IsValid() || e.opened[addr] {
		return nil, nil
	}
	e.opened[addr] = true
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}
