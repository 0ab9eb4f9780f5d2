package cmds

import (
	"fmt"
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/admin/demo"
)

const demoHelp = `Runs both users' sites at their real sizes in this one process, with stand-ins for
the platform and the backend servers: a mixed run of lookups, submissions and
uploads in which a server is lost, servers leave, the rules change, an entry VM
leaves and the platform's store goes away. Prints what callers received and
whether every promise held. It takes about sixteen seconds, opens loopback
addresses only and leaves nothing.`

type demoCmd struct {
	app    *app
	Length time.Duration `long:"length" default:"12s" description:"how long callers send requests"`
	Log    bool          `long:"log" description:"the entry VMs' log lines on standard error"`
}

// Execute runs the demonstration.
func (c *demoCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	o := demo.Options{Length: c.Length}
	if c.Log {
		o.Log = slog.New(slog.NewJSONHandler(c.app.errOut, nil))
	}
	start := time.Now()
	passed, err := demo.Run(c.app.ctx, c.app.out, o)
	if err != nil {
		return err
	}
	if !passed {
		return errCheckFailed
	}
	fmt.Fprintf(c.app.out, "every promise was checked and held, in %v\n", time.Since(start).Round(100*time.Millisecond))
	return nil
}
