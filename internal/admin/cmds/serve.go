package cmds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/logbuf"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/daemon"
	"hawthornfield.org/hawthornfield/internal/edge/host"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
	"hawthornfield.org/hawthornfield/platform"
)

const serveHelp = `Runs one entry VM until SIGTERM or SIGINT, and then shuts down gracefully: it says
that it is not ready, finishes what is in flight, and hands its authority over. A
second signal ends it at once. Settings are checked whole before anything is
opened. Logs are JSON lines on standard output.`

type serveCmd struct {
	app      *app
	Settings string `short:"c" long:"settings" value-name:"FILE" description:"settings; without it those of the platform that started the process"`
}

// Execute serves until the context ends.
func (c *serveCmd) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	if path, ok := platform.SettingsPath(); ok && c.Settings == "" {
		return c.join(path)
	}
	if c.Settings == "" {
		return kinds.New(kinds.BadRequest, "say which settings: -c FILE")
	}
	cfg, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	first, err := firstRules(cfg)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(c.app.out, &slog.HandlerOptions{Level: level(cfg.Log.Level)}))
	d, err := daemon.New(cfg, daemon.WithLog(log))
	if err != nil {
		return err
	}
	if err := d.Start(c.app.ctx); err != nil {
		return errors.Join(err, d.Close())
	}
	log.Info("serving", slog.Any("vm", cfg.VM), slog.String("callers", d.Callers().String()),
		slog.String("operators", d.Operators().String()), slog.String("peers", d.Peers().String()))
	c.bootstrap(cfg, first, log)
	<-c.app.ctx.Done()
	log.Info("shutting down")
	if c.app.release != nil {
		c.app.release() // a second signal ends the process
	}
	return d.Close()
}

// collectAt makes the garbage collector run when the heap has grown by half since the
// last time. The VMs are small, memory is paid for, and collecting some megabytes takes
// less than a thousandth of a core.
const collectAt = 50

// join runs an entry VM on the platform that started the process.
func (c *serveCmd) join(path string) error {
	cfg, err := platform.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	out := logbuf.New(slog.NewJSONHandler(c.app.out, nil), 0)
	defer out.Close()
	log := slog.New(out.Handler())
	h := host.New(cfg, platform.New(cfg.Store), log)
	if err := h.Start(c.app.ctx); err != nil {
		return errors.Join(err, h.Close())
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			c.reload(path, cfg, log)
		case <-c.app.ctx.Done():
			if c.app.release != nil {
				c.app.release() // a second signal ends the process
			}
			return h.Close()
		}
	}
}

// reload reads the settings again after a signal. Nothing in them can change while
// the process runs: addresses are open and the rest follows from the store.
func (c *serveCmd) reload(path string, old host.Config, log *slog.Logger) {
	cfg, err := platform.Load(path)
	switch {
	case err != nil:
		log.Warn("settings not reloaded", "err", err)
	case !reflect.DeepEqual(cfg, old):
		log.Warn("settings changed; they take effect at the next start")
	default:
		log.Info("settings reloaded, nothing changed")
	}
}

// firstRules reads the rules that the settings bring along, if any, and checks
// them against the services.
func firstRules(cfg config.Config) ([]match.Rule, error) {
	text := []byte(cfg.Rules.Text)
	if cfg.Rules.File != "" {
		var err error
		if text, err = os.ReadFile(cfg.Rules.File); err != nil {
			return nil, kinds.Wrap(kinds.NotFound, err, "rules.file")
		}
	}
	if len(text) == 0 {
		return nil, nil
	}
	file, err := match.Parse(text)
	if err != nil {
		return nil, err
	}
	_, err = file.Compile(match.WithServices(known(&cfg)))
	return file.Rules, err
}

// bootstrap puts the settings' rules in force where there are none yet. Losing
// against another VM that does the same is as good.
func (c *serveCmd) bootstrap(cfg config.Config, rules []match.Rule, log *slog.Logger) {
	if len(rules) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, bootstrapWait)
	defer cancel()
	_, err := save.Save(ctx, objcli.New(cfg.Platform.Objects), func(cur *revs.Record) (*revs.Record, error) {
		e := revs.Edit{Author: string(cfg.VM), Note: "from the settings", Token: "boot-" + string(cfg.VM), At: time.Now()}
		return revs.Replace(cur, e, rules)
	})
	if err != nil && kinds.Of(err) != kinds.Conflict {
		log.Warn("first rules not put in force", slog.String("err", err.Error()))
	}
}

const bootstrapWait = 10 * time.Second

func level(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return l
}
