// Command hawthorn is the router's one program: the entry VM's daemon, the
// operator's tools and the demonstration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hawthornfield.org/hawthornfield/internal/admin/cmds"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return cmds.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, cmds.WithSignalRestore(stop))
}
