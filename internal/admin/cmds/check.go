package cmds

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

const checkHelp = `Checks a settings file or a rules file without starting anything. Every fault is
named by its line; a rule that can never match is named with the earlier one that
hides it. With -c, rules are also checked against the services of those settings.`

type checkCmd struct {
	app      *app
	Settings string `short:"c" long:"settings" value-name:"FILE" description:"check rules against the services of this settings file"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"settings or rules"`
	} `positional-args:"yes"`
}

// Execute checks the file and prints its faults.
func (c *checkCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	src, err := readFile(c.Args.File, config.MaxFile)
	if err != nil {
		return err
	}
	if isRules(src) {
		return c.checkRules(src)
	}
	return c.checkSettings(src)
}

// isRules reports whether src is a rules file and not a settings file, by its top-level
// names. A file that is no valid TOML counts as rules if it begins with [[rule]], and
// otherwise as settings; the check then names the faulty line.
func isRules(src []byte) bool {
	var top map[string]any
	if toml.Unmarshal(src, &top) != nil {
		return strings.HasPrefix(strings.TrimSpace(string(src)), "[[rule]]")
	}
	_, ok := top["rule"]
	return ok
}

func (c *checkCmd) checkSettings(src []byte) error {
	cfg, err := config.Parse(src)
	if err != nil {
		return c.reportFaults(err)
	}
	servers := 0
	for _, s := range cfg.Services {
		servers += len(s.Servers)
	}
	fmt.Fprintf(c.app.out, "%s: settings of %s in %s are fine: %d services, %d backend servers\n",
		c.Args.File, cfg.VM, cfg.Centre, len(cfg.Services), servers)
	if cfg.Rules.Text == "" {
		return nil
	}
	file, err := match.Parse([]byte(cfg.Rules.Text))
	if err == nil {
		_, err = file.Compile(match.WithServices(knownServices(&cfg)))
	}
	return c.reportFaults(err)
}

func (c *checkCmd) checkRules(src []byte) error {
	file, err := match.Parse(src)
	if err != nil {
		return c.reportFaults(err)
	}
	var opts []match.Option
	if c.Settings != "" {
		cfg, err := config.Load(c.Settings)
		if err != nil {
			return err
		}
		opts = append(opts, match.WithServices(knownServices(&cfg)))
	}
	if _, err := file.Compile(opts...); err != nil {
		return c.reportFaults(err)
	}
	fmt.Fprintf(c.app.out, "%s: %d rules are fine\n", c.Args.File, len(file.Rules))
	return nil
}

// reportFaults prints one fault per line, each after the file's name, and returns an
// error with their number. It returns nil for a nil error.
func (c *checkCmd) reportFaults(err error) error {
	if err == nil {
		return nil
	}
	var lines []string
	var settings config.Faults
	var rules match.Faults
	switch {
	case errors.As(err, &settings):
		for _, f := range settings {
			lines = append(lines, f.String())
		}
	case errors.As(err, &rules):
		for _, f := range rules {
			lines = append(lines, f.String())
		}
	default:
		lines = append(lines, err.Error())
	}
	for _, l := range lines {
		fmt.Fprintf(c.app.errOut, "%s: %s\n", c.Args.File, l)
	}
	return kinds.New(kinds.Malformed, fmt.Sprintf("%d faults in %s", len(lines), c.Args.File))
}
