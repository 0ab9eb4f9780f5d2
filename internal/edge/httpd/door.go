// Package httpd holds what every daemon's outside is made of: HTTP listeners that are
// opened, and closed without cutting off what is in flight, and the little that the
// wiring has to say in the log.
package httpd

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
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
)

// Listener is one HTTP listener. Set Web before Open.
type Listener struct {
	Server *http.Server
	// Pipeline, if set, reads the connections ahead, see package ahead.
	Pipeline *pipe.Reader

	l    net.Listener
	done group.Group
}

// Start listens, and serves until Shut or End.
func (d *Listener) Start(at netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "listen on "+at.String())
	}
	d.l = l
	var in net.Listener = l
	if d.Pipeline != nil {
		in = d.Pipeline.Listen(l)
		d.Server.ConnContext = pipe.Context
	}
	d.done.Go(func(context.Context) error {
		if err := d.Server.Serve(in); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Addr is where the door listens, the zero value before Open.
func (d *Listener) Addr() netip.AddrPort {
	if d.l == nil {
		return netip.AddrPort{}
	}
	return d.l.Addr().(*net.TCPAddr).AddrPort()
}

// Shutdown stops accepting, waits for what is in flight until ctx ends, and then breaks off
// what is left.
func (d *Listener) Shutdown(ctx context.Context) error {
	if d.Pipeline != nil {
		d.Pipeline.Drain(ctx)
	}
	err := d.Server.Shutdown(ctx)
	if err != nil {
		_ = d.Server.Close()
		err = kinds.Wrap(kinds.DeadlineMissed, err, "requests were still in flight")
	}
	if e := d.end(); err == nil {
		err = e
	}
	return err
}

// end waits for all that the door started.
func (d *Listener) end() error {
	if d.Pipeline != nil {
		_ = d.Pipeline.Close() // its duties report nothing
	}
	return d.done.Close()
}

// Close breaks off what is open: for doors that no caller's request comes through.
func (d *Listener) Close(context.Context) error {
	_ = d.Server.Close()
	return d.end()
}

// ErrorLogger passes on only the wiring's failures: its own account would drown the log of
// decisions.
type ErrorLogger struct{ Log *slog.Logger }

// LogEvent logs a failure of the wiring.
func (q ErrorLogger) LogEvent(e fxevent.Event) {
	switch e := e.(type) {
	case *fxevent.OnStartExecuted:
		q.failed("start", e.CallerName, e.Err)
	case *fxevent.OnStopExecuted:
		q.failed("stop", e.CallerName, e.Err)
	case *fxevent.Invoked:
		q.failed("invoke", e.FunctionName, e.Err)
	}
}

func (q ErrorLogger) failed(what, who string, err error) {
	if err != nil {
		q.Log.Error(what, "part", who, "err", err)
	}
}
