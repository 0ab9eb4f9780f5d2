package cmds

import (
	"fmt"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/admin/bench"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const (
	benchHelp = `Runs the measurements behind every figure that the pages quote, and writes a
Markdown report with SVG plots and the raw results as JSON. It needs no network
beyond this machine and ends by itself. --quick takes seconds and is rough.`
	compareHelp = `Compares two files of raw results and prints what got worse. Exit code 6 when
anything did.`
)

type benchCmd struct {
	app   *app
	Out   string   `short:"o" long:"out" default:"out" value-name:"DIR" description:"where the report goes"`
	Only  []string `long:"only" value-name:"NAME" description:"only this experiment; may be repeated"`
	Quick bool     `long:"quick" description:"seconds in place of minutes"`
	List  bool     `long:"list" description:"name the experiments and end"`
}

// Execute runs the experiments and writes the report.
func (c *benchCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	all := bench.All()
	var names []string
	for _, e := range all {
		names = append(names, e.Name)
	}
	if c.List {
		fmt.Fprintln(c.app.out, strings.Join(names, "\n"))
		return nil
	}
	for _, name := range c.Only {
		if !slices.Contains(names, name) {
			return kinds.New(kinds.BadRequest, "no experiment is named "+name+"; there are "+strings.Join(names, ", "))
		}
	}
	if len(c.Only) > 0 {
		all = slices.DeleteFunc(all, func(e bench.Experiment) bool { return !slices.Contains(c.Only, e.Name) })
	}
	r := bench.Run(c.app.ctx, all, bench.Options{Quick: c.Quick, Log: c.app.errOut})
	if err := bench.Write(c.Out, r); err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "%d sections in %s/%s, raw results in %s/%s\n", len(r.Sections), c.Out, bench.ReportFile, c.Out, bench.ResultsFile)
	if len(r.Failed) > 0 {
		return kinds.New(kinds.Internal, "not measured: "+strings.Join(r.Failed, "; "))
	}
	return nil
}

type compareCmd struct {
	app  *app
	By   float64 `long:"by" default:"0.2" value-name:"SHARE" description:"how much worse counts: 0.2 is a fifth"`
	Args struct {
		Old string `positional-arg-name:"OLD" required:"yes"`
		New string `positional-arg-name:"NEW" required:"yes"`
	} `positional-args:"yes"`
}

// Execute compares two files of raw results and prints the figures that got worse.
func (c *compareCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	before, err := bench.Read(c.Args.Old)
	if err != nil {
		return err
	}
	after, err := bench.Read(c.Args.New)
	if err != nil {
		return err
	}
	worse, n := bench.Compare(before, after, c.By)
	for _, w := range worse {
		fmt.Fprintf(c.app.out, "%s, %s: %.4g to %.4g %s (%.0f%% worse)\n", w.Section, w.Name, w.Old, w.New, w.Unit, 100*w.Worse)
	}
	fmt.Fprintf(c.app.out, "%d of %d figures got worse by more than %.0f%%\n", len(worse), n, 100*c.By)
	if len(worse) > 0 {
		return errCheckFailed
	}
	return nil
}
