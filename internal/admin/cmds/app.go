// Package cmds implements the program's command line. Each command has a file of its
// own; app.go holds the exit codes, the overview and the handling of errors.
//
// The operator's commands connect to the platform's object API and not to an entry VM.
// So rules can be edited and reports read even while all entry VMs are being replaced.
package cmds

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Exit codes of the program.
const (
	ExitOK          = 0 // done
	ExitFault       = 1 // the command failed for a reason that has no code of its own
	ExitUsage       = 2 // the command line is wrong
	ExitInvalid     = 3 // settings or rules are wrong; nothing was started or changed
	ExitConflict    = 4 // another operator's edit came first; nothing was changed
	ExitUnavailable = 5 // the platform did not answer, or the result of a change is unknown
	ExitCheckFailed = 6 // a check of the demonstration failed, or a benchmark figure got worse
	ExitPending     = 7 // the rules were written but not accepted within the wait
)

// exitCodes maps error kinds to exit codes. Kinds that are not listed map to ExitFault.
var exitCodes = map[kinds.Kind]int{
	kinds.None:         ExitOK,
	kinds.BadRequest:   ExitUsage,
	kinds.Malformed:    ExitInvalid,
	kinds.TooLarge:     ExitInvalid,
	kinds.NewerVersion: ExitInvalid,
	kinds.Conflict:     ExitConflict,
	kinds.Unavailable:  ExitUnavailable,
	kinds.Ambiguous:    ExitUnavailable,
}

// errCheckFailed makes the program exit with ExitCheckFailed.
var errCheckFailed = errors.New("at least one check failed")

// errPending makes the program exit with ExitPending.
var errPending = errors.New("not accepted yet")

const overview = `hawthorn routes requests to backend servers that own their keys exclusively.

Try it first:       hawthorn demo
Run an entry VM:    hawthorn serve -c settings.toml
Before you start:   hawthorn check settings.toml
Operate:            hawthorn rules list, report, owners

Exit codes: 0 done, 1 fault, 2 wrong command line, 3 invalid settings or rules,
4 conflict with another edit, 5 platform not reachable, 6 a promise was broken,
7 rules written and not accepted yet.`

// app holds what all commands share.
type app struct {
	ctx            context.Context
	restoreSignals func() // see WithSignalRestore; may be nil
	out            io.Writer
	errOut         io.Writer
}

// Option changes how Main works.
type Option func(*app)

// WithSignalRestore sets a function that restores the default handling of signals. It is
// called when a shutdown begins, so that an interrupt ends the process at once from then on.
func WithSignalRestore(f func()) Option { return func(a *app) { a.restoreSignals = f } }

// Main runs the command line and returns the exit code.
//
//	os.Exit(cmds.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
func Main(ctx context.Context, args []string, out, errs io.Writer, opts ...Option) int {
	a := &app{ctx: ctx, out: out, errOut: errs}
	for _, opt := range opts {
		opt(a)
	}
	_, err := newParser(a).ParseArgs(args)
	var shown *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &shown) && shown.Type == flags.ErrHelp:
		fmt.Fprintln(out, shown.Message)
		return ExitOK
	case errors.As(err, &shown):
		fmt.Fprintf(errs, "hawthorn: %s\nTry: hawthorn --help\n", strings.TrimRight(shown.Message, "\n"))
		return ExitUsage
	case errors.Is(err, errCheckFailed):
		fmt.Fprintf(errs, "hawthorn: %v\n", err)
		return ExitCheckFailed
	case errors.Is(err, errPending):
		fmt.Fprintf(errs, "hawthorn: %v\n", err)
		return ExitPending
	}
	fmt.Fprintf(errs, "hawthorn: %s\n", withAdvice(err))
	if code, ok := exitCodes[kinds.Of(err)]; ok {
		return code
	}
	return ExitFault
}

// withAdvice returns the error's text with a hint for the operator.
func withAdvice(err error) string {
	switch kinds.Of(err) {
	case kinds.Unavailable:
		return err.Error() + "\nThe platform's object API did not answer. Nothing was changed; try again."
	case kinds.Ambiguous:
		return err.Error() + "\nThe platform did not say whether the change took effect: look at hawthorn rules history."
	case kinds.Conflict:
		return err.Error() + "\nNothing was changed. Look at hawthorn rules list and decide again."
	}
	return err.Error()
}

func newParser(a *app) *flags.Parser {
	p := flags.NewNamedParser("hawthorn", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = overview
	p.SubcommandsOptional = false
	add := func(c *flags.Command, err error) *flags.Command {
		if err != nil {
			panic(err) // a struct tag in this package is invalid
		}
		return c
	}
	add(p.AddCommand("serve", "run an entry VM", serveHelp, &serveCmd{app: a}))
	add(p.AddCommand("check", "check settings or rules", checkHelp, &checkCmd{app: a}))
	add(p.AddCommand("certs", "make keys and certificates for entry VMs", certsHelp, &certsCmd{app: a}))
	rules := add(p.AddCommand("rules", "list, edit and retire rules", rulesHelp, &struct{}{}))
	add(rules.AddCommand("list", "show the rules in force, in their order", listHelp, &listCmd{app: a}))
	add(rules.AddCommand("put", "add or replace rules", putHelp, &putCmd{editFlags: editFlags{app: a}}))
	add(rules.AddCommand("move", "change the order", moveHelp, &moveCmd{editFlags: editFlags{app: a}}))
	add(rules.AddCommand("retire", "take a rule out of force", retireHelp, &retireCmd{editFlags: editFlags{app: a}}))
	add(rules.AddCommand("history", "show who changed the rules and when", historyHelp, &historyCmd{app: a}))
	add(p.AddCommand("report", "who received what, when, why, under whose rule", reportHelp, &reportCmd{app: a}))
	add(p.AddCommand("owners", "which server owns what now", ownersHelp, &ownersCmd{app: a}))
	add(p.AddCommand("explain", "one request's story, from the logs of all VMs", explainHelp, &explainCmd{app: a}))
	add(p.AddCommand("demo", "see it work, in one process", demoHelp, &demoCmd{app: a}))
	measure := add(p.AddCommand("bench", "run the measurements", benchHelp, &benchCmd{app: a}))
	measure.SubcommandsOptional = true
	add(measure.AddCommand("compare", "print what got worse", compareHelp, &compareCmd{app: a}))
	return p
}

// platformFlags are the flags for the address of the platform. Commands that use its
// object API embed them.
type platformFlags struct {
	Settings string        `short:"c" long:"settings" value-name:"FILE" description:"take the platform's address and the services from this settings file"`
	Objects  string        `long:"objects" value-name:"IP:PORT" env:"HAWTHORN_OBJECTS" description:"the platform's object API"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"longest wait for the platform"`
}

// session is one command's connection to the platform.
type session struct {
	ctx   context.Context
	close context.CancelFunc
	store object.Store
	cfg   *config.Config // nil without a settings file
}

// open loads the settings file, if one is given, and returns a session with the object
// API. The caller must close the session.
func (t *platformFlags) open(ctx context.Context) (*session, error) {
	s := &session{}
	address := t.Objects
	if t.Settings != "" {
		cfg, err := config.Load(t.Settings)
		if err != nil {
			return nil, err
		}
		s.cfg = &cfg
		address = cmp.Or(address, cfg.Platform.Objects.String())
	}
	if address == "" {
		return nil, kinds.New(kinds.BadRequest, "say where the platform is: -c FILE, --objects IP:PORT or HAWTHORN_OBJECTS")
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, kinds.Wrap(kinds.BadRequest, err, "address of the object API")
	}
	s.ctx, s.close = context.WithTimeout(ctx, t.Timeout)
	s.store = objcli.New(addr)
	return s, nil
}

// knownServices returns the services of the settings, against which rules are checked.
// It returns nil for a nil cfg, which skips that check.
func knownServices(cfg *config.Config) map[ident.Service]match.Service {
	if cfg == nil {
		return nil
	}
	all := map[ident.Service]match.Service{}
	for _, s := range cfg.Services {
		all[s.Name] = match.Service{Divided: s.Divided}
	}
	return all
}

func rejectExtraArgs(args []string) error {
	if len(args) > 0 {
		return kinds.New(kinds.BadRequest, "too many arguments: "+strings.Join(args, " "))
	}
	return nil
}

func readFile(path string, maxSize int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, kinds.Wrap(kinds.NotFound, err, "read")
	}
	if info.Size() > maxSize {
		return nil, kinds.New(kinds.TooLarge, path+" is too large for a settings or rules file")
	}
	b, err := os.ReadFile(path)
	return b, kinds.Wrap(kinds.NotFound, err, "read")
}
