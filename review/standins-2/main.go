// Command standins plays the cases of a review: it starts entry VMs as processes, with stand-ins
// for the platform's store, the instances and the clients, and judges what these see. It ends
// with 1 if a rule was broken, 0 if none was, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// longest is the longest time that a case may run.
const longest = 115 * time.Second

var start = time.Now()

// record is the file record.txt of a case.
var record struct {
	mu sync.Mutex
	f  *os.File
}

func logf(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if record.f != nil {
		_, _ = record.f.WriteString(line)
	}
}

func say(format string, args ...any) {
	logf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends a case that cannot run.
func fatal(format string, args ...any) {
	say("cannot run: "+format, args...)
	cleanup()
	os.Exit(2)
}

func main() {
	if len(os.Args) < 2 {
		fatal("name a case")
	}
	if p := os.Getenv("RECORD"); p != "" {
		f, err := os.Create(p)
		if err != nil {
			fatal("%v", err)
		}
		record.f = f
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ends:
			fatal("it was stopped")
		case <-time.After(longest):
			fatal("it took too long")
		}
	}()
	code := 2
	switch os.Args[1] {
	case "explore":
		code = explore()
	case "term":
		code = exploreTerm()
	case "forgotten":
		code = forgotten(troubleOn())
	case "behind":
		code = behind(troubleOn())
	case "garble":
		code = exploreGarble()
	default:
		fatal("no case %q", os.Args[1])
	}
	cleanup()
	os.Exit(code)
}
