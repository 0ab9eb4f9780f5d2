// Command rig runs one case of the review: it starts entry VMs of the project as processes and
// plays clients, instances and the platform's store around them. See ../REPORT.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(r *rig, trouble bool) int{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE, with RECORD and TROUBLE in the environment")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		cannotRun("stopped")
	}()
	r := newRig(3)
	broken := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.close()
	if broken > 0 {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// window says whether a disruption that may last for troubleFor at a time is on, a time after the
// first.
func window(since time.Duration) bool {
	return since >= 0 && since%(troubleFor+troublePause) < troubleFor
}

const (
	troubleFor   = 5500 * time.Millisecond
	troublePause = 1500 * time.Millisecond
)
