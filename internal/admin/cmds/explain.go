package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const explainHelp = `Reads log lines of any number of VMs, from files or standard input, and prints the
story of one request in the order of time: what was decided about it, and what the
VM that decided believed at that moment: which rules were in force, who led, which
servers were listed, whether the store answered. Lines may have anything in front of
their JSON, for example a host name.`

type explainCmd struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints the story.
func (c *explainCmd) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	var all []entry
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return kinds.Wrap(kinds.NotFound, err, "read log")
		}
		all = append(all, readLog(f)...)
		f.Close()
	}
	if len(c.Args.Files) == 0 {
		all = readLog(os.Stdin)
	}
	story := storyOf(all, c.Args.ID)
	if len(story) == 0 {
		return kinds.New(kinds.NotFound, "no line speaks of "+c.Args.ID+
			"; plain successes beyond the rate are summed up, and lines left out are counted")
	}
	for _, e := range story {
		fmt.Fprintln(c.app.out, e.String())
	}
	return nil
}

// entry is one line of a log.
type entry struct {
	at     time.Time
	vm     string
	msg    string
	id     string
	fields map[string]any
}

// longestLine is above what a line with all servers of a large system takes.
const longestLine = 1 << 20

// readLog reads lines that hold a JSON object, whatever stands in front of it. Others
// are passed over: a log holds what other programs print, too.
func readLog(r io.Reader) []entry {
	var all []entry
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		front, text, found := strings.Cut(lines.Text(), "{")
		if !found {
			continue
		}
		e := entry{}
		if json.Unmarshal([]byte("{"+text), &e.fields) != nil {
			continue
		}
		e.read(front)
		all = append(all, e)
	}
	return all
}

func (e *entry) read(front string) {
	text := func(name string) string {
		s, _ := e.fields[name].(string)
		delete(e.fields, name)
		return s
	}
	e.at, _ = time.Parse(time.RFC3339Nano, text("time"))
	e.msg, e.id, e.vm = text("msg"), text("id"), text("vm")
	delete(e.fields, "level")
	if words := strings.Fields(front); e.vm == "" && len(words) > 0 {
		e.vm = words[len(words)-1]
	}
}

// beliefs are the lines that change what a VM believes; the last of each before a
// decision is what it was decided by.
var beliefs = map[string]bool{
	"start": true, "rules in force": true, "lead": true, "servers": true, "store lost": true, "store regained": true,
	"leader lost": true, "leader regained": true, "keys move": true, "server does not answer": true,
	"server answers again": true, "shutting down": true,
}

// printOf is the print of a request, by which its repeats are known, and when its last
// line was written; empty where no line has a print.
func printOf(all []entry, id string) (text string, until time.Time) {
	for _, e := range all {
		if e.id != id {
			continue
		}
		if s, ok := e.fields["print"].(string); ok {
			text = s
		}
		until = e.at
	}
	return text, until
}

// storyOf picks the lines about a request, before it those about repeats of it that
// reached a server, and before each of its own those that say what its VM believed.
func storyOf(all []entry, id string) []entry {
	slices.SortStableFunc(all, func(a, b entry) int { return a.at.Compare(b.at) })
	repeats, until := printOf(all, id)
	last := map[string]map[string]int{} // VM -> belief -> its last line
	var picked []int
	for i, e := range all {
		if beliefs[e.msg] {
			if last[e.vm] == nil {
				last[e.vm] = map[string]int{}
			}
			last[e.vm][e.msg] = i
		}
		if e.id != id {
			ran := e.fields["kind"] != kinds.Quarantined.String()
			if repeats != "" && e.fields["print"] == repeats && !e.at.After(until) && ran {
				picked = append(picked, i)
			}
			continue
		}
		for _, j := range last[e.vm] {
			picked = append(picked, j)
		}
		picked = append(picked, i)
	}
	slices.Sort(picked)
	story := make([]entry, 0, len(picked))
	for _, i := range slices.Compact(picked) {
		story = append(story, all[i])
	}
	return story
}

// String renders a line for a reader: time, VM, what happened, and its fields by name.
func (e entry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", e.at.Format("15:04:05.000"), e.vm, e.msg)
	names := make([]string, 0, len(e.fields))
	for name := range e.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if v := e.fields[name]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%s", name, short(name, v))
		}
	}
	return b.String()
}

// short renders a value; how long a request took is in nanoseconds in the log.
func short(name string, v any) string {
	if n, ok := v.(float64); ok && name == "took" {
		return time.Duration(n).Round(10 * time.Microsecond).String()
	}
	if s, ok := v.(string); ok {
		if strings.ContainsRune(s, ' ') {
			return fmt.Sprintf("%q", s)
		}
		return s
	}
	b, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(b)
}
