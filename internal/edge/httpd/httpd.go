// Package httpd provides what every daemon needs at its edge: HTTP listeners that shut
// down without cutting off requests in flight, and a logger for failures of dependency
// injection.
package httpd

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/fx/fxevent"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
)

// DefaultAnswerTime is enough for a VM with a sixth of a core to answer its requests in flight.
const DefaultAnswerTime = 300 * time.Millisecond

// ErrStopping is the cause with which the contexts of requests in flight are canceled when
// the time for them is over, see [Listener.AnswerTime].
var ErrStopping = kinds.New(kinds.Closing, "the listener stops and waits no longer")

// Listener is one HTTP listener. Set Server before Start.
type Listener struct {
	Server *http.Server
	// Pipeline, if set, reads ahead on the connections, see package pipe.
	Pipeline *pipe.Reader
	// AnswerTime is how long before Shutdown closes the connections the contexts of the
	// requests in flight are canceled, so that their handlers can still answer. Without it,
	// a caller whose backend server never answers sees its connection end without a word.
	AnswerTime time.Duration

	listener net.Listener
	group    group.Group
	giveUp   context.CancelCauseFunc // cancels the contexts of all requests
}

// Start listens at the address and serves until Shutdown or Close.
func (l *Listener) Start(at netip.AddrPort) error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "listen on "+at.String())
	}
	l.listener = ln
	base, giveUp := context.WithCancelCause(context.Background())
	l.giveUp = giveUp
	l.Server.BaseContext = func(net.Listener) context.Context { return base }
	var in net.Listener = ln
	if l.Pipeline != nil {
		l.Pipeline.Base = base
		in = l.Pipeline.Listen(ln)
		l.Server.ConnContext, l.Server.ConnState = pipe.Context, pipe.ConnState
	}
	l.group.Go(func(context.Context) error {
		if err := l.Server.Serve(in); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Addr returns the address of the listener, the zero value before Start.
func (l *Listener) Addr() netip.AddrPort {
	if l.listener == nil {
		return netip.AddrPort{}
	}
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// AnswersUntil returns when Shutdown with this context cancels the requests in flight; false if
// it does not.
func (l *Listener) AnswersUntil(ctx context.Context) (time.Time, bool) {
	end, ok := ctx.Deadline()
	return end.Add(-l.AnswerTime), ok && l.AnswerTime > 0
}

// Shutdown stops accepting connections, waits for requests in flight until ctx is done,
// and then closes the remaining connections.
func (l *Listener) Shutdown(ctx context.Context) error {
	if end, ok := l.AnswersUntil(ctx); ok && l.giveUp != nil {
		timer := time.AfterFunc(time.Until(end), func() { l.giveUp(ErrStopping) })
		defer timer.Stop()
	}
	if l.Pipeline != nil {
		l.Pipeline.Drain(ctx)
	}
	err := l.Server.Shutdown(ctx)
	if err != nil {
		_ = l.Server.Close()
		err = kinds.Wrap(kinds.DeadlineMissed, err, "requests were still in flight")
	}
	if e := l.wait(); err == nil {
		err = e
	}
	return err
}

// wait waits for all goroutines of the listener.
func (l *Listener) wait() error {
	if l.giveUp != nil {
		defer l.giveUp(nil)
	}
	if l.Pipeline != nil {
		_ = l.Pipeline.Close() // its goroutines return no errors
	}
	return l.group.Close()
}

// Close closes all connections at once. It is meant for listeners that serve no callers'
// requests.
func (l *Listener) Close(context.Context) error {
	_ = l.Server.Close()
	return l.wait()
}

// ErrorLogger is an fx event logger that logs only failures: the other events would swamp
// the log of decisions.
type ErrorLogger struct{ Log *slog.Logger }

// LogEvent logs the event if it is a failure.
func (l ErrorLogger) LogEvent(e fxevent.Event) {
	switch e := e.(type) {
	case *fxevent.OnStartExecuted:
		l.logFailure("start", e.CallerName, e.Err)
	case *fxevent.OnStopExecuted:
		l.logFailure("stop", e.CallerName, e.Err)
	case *fxevent.Invoked:
		l.logFailure("invoke", e.FunctionName, e.Err)
	}
}

func (l ErrorLogger) logFailure(action, part string, err error) {
	if err != nil {
		l.Log.Error(action, "part", part, "err", err)
	}
}
