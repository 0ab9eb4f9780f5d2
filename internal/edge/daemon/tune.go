package daemon

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector for a process that is an entry VM and
// nothing else.
//
// The heap of an entry VM is small, some ten megabytes, and at 5,000 requests a
// second it turns over in a third of a second. At the runtime's default the
// collector then runs several times a second, and each run takes processor time
// from requests under way: the p99 shows it. Letting the heap grow to five times
// what is live makes that rarer. The limit is for a VM that holds unusually
// much, a long outage's journal for example: beyond it the collector runs more
// often again, in place of a process that is ended for its size.
const (
	GCPercent   = 400
	MemoryLimit = 128 << 20
)

// Tune sets the garbage collector for this process, unless the operator did by
// GOGC or GOMEMLIMIT. Programs that embed an entry VM beside other work leave it
// out.
func Tune() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(GCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(MemoryLimit)
	}
}
