// Package door holds what every daemon's outside is made of: HTTP listeners that are
// opened, and closed without cutting off what is in flight, and the little that the
// wiring has to say in the log.
package door

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"

	"go.uber.org/fx/fxevent"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/ahead"
)

// Door is one HTTP listener. Set Web before Open.
type Door struct {
	Web *http.Server
	// Ahead, if set, reads the connections ahead, see package ahead.
	Ahead *ahead.Reader

	l    net.Listener
	done group.Group
}

// Open listens, and serves until Shut or End.
func (d *Door) Open(at netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return kinds.Wrap(kinds.Down, err, "listen on "+at.String())
	}
	d.l = l
	var in net.Listener = l
	if d.Ahead != nil {
		in = d.Ahead.Listen(l)
		d.Web.ConnContext = ahead.Context
	}
	d.done.Go(func(context.Context) error {
		if err := d.Web.Serve(in); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Addr is where the door listens, the zero value before Open.
func (d *Door) Addr() netip.AddrPort {
	if d.l == nil {
		return netip.AddrPort{}
	}
	return d.l.Addr().(*net.TCPAddr).AddrPort()
}

// Shut stops accepting, waits for what is in flight until ctx ends, and then breaks off
// what is left.
func (d *Door) Shut(ctx context.Context) error {
	if d.Ahead != nil {
		d.Ahead.Drain(ctx)
	}
	err := d.Web.Shutdown(ctx)
	if err != nil {
		_ = d.Web.Close()
		err = kinds.Wrap(kinds.Late, err, "requests were still in flight")
	}
	if e := d.end(); err == nil {
		err = e
	}
	return err
}

// end waits for all that the door started.
func (d *Door) end() error {
	if d.Ahead != nil {
		_ = d.Ahead.Close() // its duties report nothing
	}
	return d.done.Close()
}

// End breaks off what is open: for doors that no caller's request comes through.
func (d *Door) End(context.Context) error {
	_ = d.Web.Close()
	return d.end()
}

// Quiet passes on only the wiring's failures: its own account would drown the log of
// decisions.
type Quiet struct{ Log *slog.Logger }

// LogEvent logs a failure of the wiring.
func (q Quiet) LogEvent(e fxevent.Event) {
	switch e := e.(type) {
	case *fxevent.OnStartExecuted:
		q.failed("start", e.CallerName, e.Err)
	case *fxevent.OnStopExecuted:
		q.failed("stop", e.CallerName, e.Err)
	case *fxevent.Invoked:
		q.failed("invoke", e.FunctionName, e.Err)
	}
}

func (q Quiet) failed(what, who string, err error) {
	if err != nil {
		q.Log.Error(what, "part", who, "err", err)
	}
}
