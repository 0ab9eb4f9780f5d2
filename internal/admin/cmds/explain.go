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

// Execute reads the logs and prints the lines that concern the request.
func (c *explainCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	var all []logEntry
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
	story := relatedEntries(all, c.Args.ID)
	if len(story) == 0 {
		return kinds.New(kinds.NotFound, "no line speaks of "+c.Args.ID+
			"; plain successes beyond the rate are summed up, and lines left out are counted")
	}
	for _, e := range story {
		fmt.Fprintln(c.app.out, e.String())
	}
	return nil
}

// logEntry is one parsed log line.
type logEntry struct {
	at     time.Time
	vm     string
	msg    string
	id     string
	fields map[string]any
}

// maxLineBytes limits the length of a log line. The longest lines list all servers; those
// of a large system fit.
const maxLineBytes = 1 << 20

// readLog parses the lines that hold a JSON object, with or without a prefix. It skips
// other lines, because logs also hold the output of other programs.
func readLog(r io.Reader) []logEntry {
	var all []logEntry
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		prefix, text, found := strings.Cut(lines.Text(), "{")
		if !found {
			continue
		}
		e := logEntry{}
		if json.Unmarshal([]byte("{"+text), &e.fields) != nil {
			continue
		}
		e.parseFields(prefix)
		all = append(all, e)
	}
	return all
}

// parseFields moves the common fields out of e.fields. A line without the field "vm" is
// attributed to the last word of its prefix, which usually is the host's name.
func (e *logEntry) parseFields(prefix string) {
	text := func(name string) string {
		s, _ := e.fields[name].(string)
		delete(e.fields, name)
		return s
	}
	e.at, _ = time.Parse(time.RFC3339Nano, text("time"))
	e.msg, e.id, e.vm = text("msg"), text("id"), text("vm")
	delete(e.fields, "level")
	if words := strings.Fields(prefix); e.vm == "" && len(words) > 0 {
		e.vm = words[len(words)-1]
	}
}

// stateMessages are the messages that report a change of a VM's state. The last one of
// each kind before a decision shows the state in which the VM decided.
var stateMessages = map[string]bool{
	"start": true, "rules in force": true, "lead": true, "servers": true, "store lost": true, "store regained": true,
	"leader lost": true, "leader regained": true, "keys move": true, "server does not answer": true,
	"server answers again": true, "shutting down": true,
}

// fingerprintOf returns the fingerprint of a request, which its repeats share, and the
// time of the request's last line. The fingerprint is empty if no line has one.
func fingerprintOf(all []logEntry, id string) (fingerprint string, until time.Time) {
	for _, e := range all {
		if e.id != id {
			continue
		}
		if s, ok := e.fields["print"].(string); ok {
			fingerprint = s
		}
		until = e.at
	}
	return fingerprint, until
}

// relatedEntries returns, ordered by time: the lines of the request, earlier lines of its
// repeats that reached a server, and for each line of the request the last state messages
// of its VM.
func relatedEntries(all []logEntry, id string) []logEntry {
	slices.SortStableFunc(all, func(a, b logEntry) int { return a.at.Compare(b.at) })
	fingerprint, until := fingerprintOf(all, id)
	lastState := map[string]map[string]int{} // VM -> state message -> index of its last line
	var picked []int
	for i, e := range all {
		if stateMessages[e.msg] {
			if lastState[e.vm] == nil {
				lastState[e.vm] = map[string]int{}
			}
			lastState[e.vm][e.msg] = i
		}
		if e.id != id {
			ran := e.fields["kind"] != kinds.Quarantined.String()
			if fingerprint != "" && e.fields["print"] == fingerprint && !e.at.After(until) && ran {
				picked = append(picked, i)
			}
			continue
		}
		for _, j := range lastState[e.vm] {
			picked = append(picked, j)
		}
		picked = append(picked, i)
	}
	slices.Sort(picked)
	story := make([]logEntry, 0, len(picked))
	for _, i := range slices.Compact(picked) {
		story = append(story, all[i])
	}
	return story
}

// String formats the line for the operator: time, VM, message, and the fields in
// alphabetical order.
func (e logEntry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", e.at.Format("15:04:05.000"), e.vm, e.msg)
	names := make([]string, 0, len(e.fields))
	for name := range e.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if v := e.fields[name]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%s", name, formatValue(name, v))
		}
	}
	return b.String()
}

// formatValue formats the value of a field. The field "took" is in nanoseconds in the
// log and is shown as a duration.
func formatValue(name string, v any) string {
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
