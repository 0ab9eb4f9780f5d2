package cmds

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// catchHangups returns a channel that gets each SIGHUP until the process ends: unhandled, the
// signal would end it.
func catchHangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// outlastStopSignals makes a SIGTERM that is repeated harmless while the process shuts down: a
// supervisor may send it more than once, and the requests in flight would end with the process.
// SIGINT, which a user at a terminal sends, ends the process at once from now on. The function
// that it returns ends the logging.
func (a *app) outlastStopSignals(log *slog.Logger) func() {
	repeated := make(chan os.Signal, 1)
	signal.Notify(repeated, syscall.SIGTERM)
	if a.restoreSignals != nil {
		a.restoreSignals()
	}
	var g group.Group
	g.Go(func(ctx context.Context) error {
		for {
			select {
			case <-repeated:
				log.Info("SIGTERM repeated; shutting down already")
			case <-ctx.Done():
				return nil
			}
		}
	})
	return func() { _ = g.Close() }
}
