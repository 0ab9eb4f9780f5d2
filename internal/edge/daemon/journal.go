package daemon

import (
	"log/slog"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/rebal"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func newJournal(lc fx.Lifecycle, cfg config.Config, store object.Store, log *slog.Logger) *ledger.Journal {
	j := ledger.Open(store, ledger.LogPath(cfg.VM), ledger.WithLog(log),
		ledger.WithLimits(ledger.LimitsFrom(cfg.Journal, cfg.Platform.Timeout.Duration)))
	closeOnStop(lc, j)
	return j
}

func newFilter(lc fx.Lifecycle, j *ledger.Journal) *ledger.Filter {
	f := ledger.NewFilter(j)
	closeOnStop(lc, f)
	return f
}

// histories are the ownership histories of the services that are divided by key, one
// journal for each service. Every VM that moves keys writes to it, so that the owner
// of a key at any time can be read in one place, however many VMs there were.
type histories map[ident.Service]*ledger.Journal

func newHistories(lc fx.Lifecycle, cfg config.Config, store object.Store, log *slog.Logger) histories {
	all := histories{}
	for _, svc := range cfg.Services {
		if !svc.Divided {
			continue
		}
		all[svc.Name] = ledger.Open(store, ledger.OwnershipPath(svc.Name), ledger.WithLog(log),
			ledger.WithLimits(ledger.LimitsFrom(cfg.Journal, cfg.Platform.Timeout.Duration)))
		closeOnStop(lc, all[svc.Name])
	}
	return all
}

// Append writes a move to the history of its service.
func (h histories) Append(d record.Decision) {
	if j, ok := h[d.Service]; ok && d.Action == record.Place {
		j.Append(d)
	}
}

func newRecorder(lc fx.Lifecycle, cfg config.Config, o *options, filter *ledger.Filter, h histories, reb *rebal.Rebalancer) *record.Writer {
	opts := []record.Option{record.WithRing(cfg.Journal.Ring), record.WithSink(filter), record.WithSink(h), record.WithSink(reb)}
	for _, s := range o.sinks {
		opts = append(opts, record.WithSink(s))
	}
	if cfg.Log.Quiet {
		opts = append(opts, record.WithoutLines())
	}
	w := record.New(cfg.VM, o.log, opts...)
	closeOnStop(lc, w)
	return w
}
