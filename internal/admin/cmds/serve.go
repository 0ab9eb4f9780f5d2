package cmds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/logbuf"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/daemon"
	"hawthornfield.org/hawthornfield/internal/edge/host"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
	"hawthornfield.org/hawthornfield/platform"
)

const serveHelp = `Runs one entry VM until SIGTERM or SIGINT, and then shuts down gracefully: it says
that it is not ready, finishes what is in flight, and hands its authority over. A
SIGTERM that is repeated changes nothing; SIGINT while it shuts down ends it at
once. Settings are checked whole before anything is opened. Logs are JSON lines on
standard output.`

type serveCmd struct {
	app      *app
	Settings string `short:"c" long:"settings" value-name:"FILE" description:"settings; without it those of the platform that started the process"`
	Full     string `long:"full-servers" value-name:"HOW" choice:"auto" choice:"silent" choice:"answer" default:"answer" description:"on the platform, how a backend server whose slots and queue are taken behaves: it is silent, it answers, or as observed"`
	Budget   bool   `long:"response-budget" description:"on the platform, admit requests with large responses by the bytes that the link and the memory of this VM have room for"`
}

// Execute runs the entry VM until the context is done.
func (c *serveCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	if path, ok := platform.SettingsPath(); ok && c.Settings == "" {
		return c.servePlatform(path)
	}
	if c.Settings == "" {
		return kinds.New(kinds.BadRequest, "say which settings: -c FILE")
	}
	hup := catchHangups()
	if c.Full == fleet.Silent.String() {
		return kinds.New(kinds.BadRequest, "--full-servers=silent is not supported with -c: its VMs do not exchange the load of servers")
	}
	cfg, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	first, err := initialRules(cfg)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(c.app.out, &slog.HandlerOptions{Level: parseLevel(cfg.Log.Level)}))
	d, err := daemon.New(cfg, daemon.WithLog(log))
	if err != nil {
		return err
	}
	if err := d.Start(c.app.ctx); err != nil {
		return errors.Join(err, d.Close())
	}
	log.Info("serving", slog.Any("vm", cfg.VM), slog.String("callers", d.Callers().String()),
		slog.String("operators", d.Operators().String()), slog.String("peers", d.Peers().String()))
	c.putInitialRules(cfg, first, log)
	for c.app.ctx.Err() == nil {
		select {
		case <-hup:
			log.Warn("SIGHUP: settings take effect at the next start")
		case <-c.app.ctx.Done():
		}
	}
	log.Info("shutting down")
	defer c.app.outlastStopSignals(log)()
	return d.Close()
}

// gcPercent makes the garbage collector run when the heap has grown by 50 % since the
// last collection. The VMs are small and memory costs money, while collecting a few
// megabytes takes less than a thousandth of a core.
const gcPercent = 50

// servePlatform runs an entry VM with the settings of the platform that started the
// process, at path.
func (c *serveCmd) servePlatform(path string) error {
	hup := catchHangups()
	cfg, err := c.loadPlatform(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if cfg.RuntimeMemory > 0 {
		debug.SetMemoryLimit(cfg.RuntimeMemory)
	}
	out := logbuf.New(slog.NewJSONHandler(c.app.out, nil), 0)
	defer out.Close()
	log := slog.New(out.Handler())
	h := host.New(cfg, platform.New(cfg.Store), log)
	if err := h.Start(c.app.ctx); err != nil {
		return errors.Join(err, h.Close())
	}
	for {
		select {
		case <-hup:
			c.reload(path, cfg, log)
		case <-c.app.ctx.Done():
			defer c.app.outlastStopSignals(log)()
			return h.Close()
		}
	}
}

// loadPlatform reads the platform's settings and adds those of the command line.
func (c *serveCmd) loadPlatform(path string) (host.Config, error) {
	cfg, err := platform.Load(path)
	if err != nil {
		return cfg, err
	}
	return c.withFlags(cfg)
}

// withFlags returns the settings with those of the command line.
func (c *serveCmd) withFlags(cfg host.Config) (host.Config, error) {
	mode, err := fleet.ParseMode(c.Full)
	if err != nil {
		return host.Config{}, err
	}
	cfg.FullServers = mode
	if !c.Budget {
		cfg.Link, cfg.Memory = 0, 0
	}
	return cfg, nil
}

// reload reads the settings again after SIGHUP and logs whether they changed. No setting
// can change while the process runs: the addresses are in use, and everything else comes
// from the store.
func (c *serveCmd) reload(path string, old host.Config, log *slog.Logger) {
	cfg, err := c.loadPlatform(path)
	switch {
	case err != nil:
		log.Warn("settings not reloaded", "err", err)
	case !reflect.DeepEqual(cfg, old):
		log.Warn("settings changed; they take effect at the next start")
	default:
		log.Info("settings reloaded, nothing changed")
	}
}

// initialRules parses the rules in the settings, if any, and checks them against the
// services.
func initialRules(cfg config.Config) ([]match.Rule, error) {
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
	_, err = file.Compile(match.WithServices(knownServices(&cfg)))
	return file.Rules, err
}

// putInitialRules writes the rules of the settings to the store if it has none yet. A
// conflict is no failure: another VM has written its initial rules first.
func (c *serveCmd) putInitialRules(cfg config.Config, rules []match.Rule, log *slog.Logger) {
	if len(rules) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, initialRulesTimeout)
	defer cancel()
	_, err := save.Save(ctx, objcli.New(cfg.Platform.Objects), func(cur *revs.Record) (*revs.Record, error) {
		e := revs.Edit{Author: string(cfg.VM), Note: "from the settings", Token: "boot-" + string(cfg.VM), At: time.Now()}
		return revs.Replace(cur, e, rules)
	})
	if err != nil && kinds.Of(err) != kinds.Conflict {
		log.Warn("could not save the initial rules", slog.String("err", err.Error()))
	}
}

// initialRulesTimeout limits the write of the initial rules to the store.
const initialRulesTimeout = 10 * time.Second

func parseLevel(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return l
}
