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
	closes(lc, j)
	return j
}

func newSieve(lc fx.Lifecycle, j *ledger.Journal) *ledger.Filter {
	s := ledger.NewFilter(j)
	closes(lc, s)
	return s
}

// histories are the ownership histories of the services divided by key. Every
// VM that moves keys writes them, so that who owned a key at a time can be read
// in one place however many VMs there were.
type histories map[ident.Service]*ledger.Journal

func newHistories(lc fx.Lifecycle, cfg config.Config, store object.Store, log *slog.Logger) histories {
	all := histories{}
	for _, svc := range cfg.Services {
		if !svc.Divided {
			continue
		}
		all[svc.Name] = ledger.Open(store, ledger.OwnPath(svc.Name), ledger.WithLog(log),
			ledger.WithLimits(ledger.LimitsFrom(cfg.Journal, cfg.Platform.Timeout.Duration)))
		closes(lc, all[svc.Name])
	}
	return all
}

// Append keeps a move in its service's history.
func (h histories) Append(d record.Decision) {
	if j, ok := h[d.Service]; ok && d.Action == record.Place {
		j.Append(d)
	}
}

func newRecord(lc fx.Lifecycle, cfg config.Config, o *options, j *ledger.Filter, h histories, m *rebal.Rebalancer) *record.Writer {
	opts := []record.Option{record.WithRing(cfg.Journal.Ring), record.WithSink(j), record.WithSink(h), record.WithSink(m)}
	for _, s := range o.sinks {
		opts = append(opts, record.WithSink(s))
	}
	if cfg.Log.Quiet {
		opts = append(opts, record.WithoutLines())
	}
	w := record.New(cfg.VM, o.log, opts...)
	closes(lc, w)
	return w
}
