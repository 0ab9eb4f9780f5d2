package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

const (
	rulesHelp = `Rules are tried in their order; the first that matches decides. Every edit makes
a new revision of the whole list, and is written or refused as a whole. It is
accepted when more than half of the entry VMs hold it; nothing goes back.`
	listHelp = `Shows the rules in force, in their order, with the revision that an edit has to
name. With --rev an earlier revision.`
	putHelp = `Adds the rules of a file, or replaces those of the same name. A new rule goes to
the end unless --first or --before says otherwise. --all replaces the whole list.
--seen is the revision that you looked at (0 before the first): if another one is
in force by now, nothing is changed and both are named.`
	moveHelp    = `Puts a rule at another place in the order.`
	retireHelp  = `Takes a rule out of force. Earlier revisions keep it, so reports still show it.`
	historyHelp = `Lists the revisions, the one in force first: who, when, why.`
)

type listCmd struct {
	platformFlags
	app  *app
	Rev  uint64 `long:"rev" value-name:"N" description:"an earlier revision"`
	TOML bool   `long:"toml" description:"as a file that put --all takes"`
}

// Execute prints the rules.
func (c *listCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	s, err := c.open(c.app.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	rec, _, err := save.Load(s.ctx, s.store)
	if err == nil && c.Rev != 0 {
		rec, err = save.Revision(s.ctx, s.store, ident.Revision(c.Rev))
	}
	if err != nil {
		return err
	}
	if rec == nil {
		fmt.Fprintln(c.app.out, "no rules yet; an edit names --seen 0")
		return nil
	}
	if c.TOML {
		text, err := match.Render(rec.Rules)
		if err != nil {
			return err
		}
		_, err = c.app.out.Write(text)
		return err
	}
	if c.Rev == 0 {
		accepted, err := save.Accepted(s.ctx, s.store)
		if err != nil {
			return err
		}
		printAccepted(c.app.out, rec.Rev, accepted)
	}
	return printRules(c.app.out, rec)
}

func printAccepted(w io.Writer, rev ident.Revision, accepted quorum.Record) {
	switch {
	case accepted.Rev >= rev:
		fmt.Fprintf(w, "accepted: %d of %d entry VMs held it\n", accepted.Confirmed, accepted.Live)
	case accepted.Rev > 0:
		fmt.Fprintf(w, "not accepted yet; revision %d is\n", accepted.Rev)
	default:
		fmt.Fprintln(w, "not accepted yet")
	}
}

func printRules(w io.Writer, rec *revs.Record) error {
	fmt.Fprintf(w, "revision %d by %s, %s: %s\n\n", rec.Rev, rec.Author, rec.At.UTC().Format(time.DateTime), rec.Note)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "#\tNAME\tWHEN\tTHEN")
	for i := range rec.Rules {
		when, then := ruleText(&rec.Rules[i])
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", i+1, rec.Rules[i].Name, when, then)
	}
	return t.Flush()
}

// ruleText returns the contents of the tables "when" and "then" of the rule's TOML form.
func ruleText(r *match.Rule) (when, then string) {
	text, err := match.Render([]match.Rule{*r})
	if err != nil {
		return "?", "?"
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " = ")
		value = strings.TrimSuffix(strings.TrimPrefix(value, "{"), "}")
		switch name {
		case "when":
			when = value
		case "then":
			then = value
		}
	}
	if when == "" {
		when = "always"
	}
	return when, then
}

// editFlags are the flags of all commands that edit the rules.
type editFlags struct {
	platformFlags
	app  *app
	Seen uint64 `long:"seen" value-name:"N" required:"yes" description:"the revision that you looked at"`
	By   string `long:"by" value-name:"NAME" env:"USER" description:"who makes the edit"`
	Note string `long:"note" value-name:"TEXT" description:"why"`

	Wait time.Duration `long:"wait" default:"7s" description:"longest wait until the edit is accepted; 0s does not wait"`
}

// positionFlags are the flags for the position of a rule in the list.
type positionFlags struct {
	First  bool   `long:"first" description:"put it first"`
	Last   bool   `long:"last" description:"put it last"`
	Before string `long:"before" value-name:"RULE" description:"put it before this rule"`
}

func (p positionFlags) position() (revs.Position, error) {
	n := 0
	for _, set := range []bool{p.First, p.Last, p.Before != ""} {
		if set {
			n++
		}
	}
	if n > 1 {
		return revs.Position{}, kinds.New(kinds.BadRequest, "give one of --first, --last and --before")
	}
	return revs.Position{First: p.First, Last: p.Last, Before: p.Before}, nil
}

// save writes the edit as a new revision and waits until it is accepted.
func (e *editFlags) save(change func(cur *revs.Record, e revs.Edit) (*revs.Record, error)) error {
	s, err := e.open(e.app.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	if e.By == "" {
		return kinds.New(kinds.BadRequest, "say who you are: --by NAME")
	}
	rec, err := e.write(s, func(cur *revs.Record) (*revs.Record, error) {
		return change(cur, revs.Edit{
			Seen: ident.Revision(e.Seen), Author: e.By, Note: e.Note, Token: rand.Text(), At: time.Now(), Known: knownServices(s.cfg),
		})
	})
	if err != nil {
		return err
	}
	return e.awaitAcceptance(s, rec.Rev)
}

// awaitAcceptance waits until the revision is accepted and prints the result. Before
// that, an entry VM that is cut off may still apply an older revision, so the operator
// must not be told that the edit is in force.
func (e *editFlags) awaitAcceptance(s *session, rev ident.Revision) error {
	if e.Wait <= 0 {
		fmt.Fprintf(e.app.out, "written as revision %d; hawthorn rules list shows when it is accepted\n", rev)
		return nil
	}
	ctx, cancel := context.WithTimeout(e.app.ctx, e.Wait)
	defer cancel()
	accepted, err := save.Await(ctx, s.store, rev)
	if err != nil {
		return fmt.Errorf("written as revision %d and %w after %v: it stays, and is accepted once more than half of the entry VMs hold it.\n"+
			"Entry VMs that are cut off may answer under an older revision meanwhile; hawthorn rules list shows when it is accepted", rev, errPending, e.Wait)
	}
	fmt.Fprintf(e.app.out, "accepted as revision %d: %d of %d entry VMs hold it; in force everywhere within seconds\n", rev, accepted.Confirmed, accepted.Live)
	return nil
}

// write writes the edit to the store. For a conflict, the error names the revision in
// force and its author.
func (e *editFlags) write(s *session, f save.EditFunc) (*revs.Record, error) {
	rec, err := save.Save(s.ctx, s.store, f)
	var c *revs.Conflict
	if errors.As(err, &c) {
		return nil, kinds.New(kinds.Conflict, fmt.Sprintf("you looked at revision %d, but revision %d by %s is in force (%s)", c.Seen, c.Actual, c.Author, c.Note))
	}
	return rec, err
}

type putCmd struct {
	editFlags
	positionFlags
	All  bool `long:"all" description:"replace the whole list by the file"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"rules"`
	} `positional-args:"yes"`
}

// Execute adds the rules of the file to the list, or replaces the list.
func (c *putCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	src, err := readFile(c.Args.File, match.MaxFile)
	if err != nil {
		return err
	}
	file, err := match.Parse(src)
	if err != nil {
		return kinds.Wrap(kinds.Of(err), err, c.Args.File)
	}
	if len(file.Rules) == 0 && !c.All {
		return kinds.New(kinds.Malformed, c.Args.File+" holds no rule")
	}
	at, err := c.positionFlags.position()
	if err != nil {
		return err
	}
	return c.save(func(cur *revs.Record, e revs.Edit) (*revs.Record, error) {
		if c.All {
			return revs.Replace(cur, e, file.Rules)
		}
		return putAll(cur, e, file.Rules, at)
	})
}

// putAll adds several rules in one revision. They keep their order in the file.
func putAll(cur *revs.Record, e revs.Edit, rules []match.Rule, at revs.Position) (*revs.Record, error) {
	rules = slices.Clone(rules)
	if at.First {
		slices.Reverse(rules)
	}
	next := cur
	for _, r := range rules {
		var err error
		if next, err = revs.Put(next, e, r, at); err != nil {
			return nil, err
		}
		e.Seen = next.Rev
	}
	next.Rev = 1
	if cur != nil {
		next.Rev = cur.Rev + 1
	}
	return next, nil
}

type moveCmd struct {
	editFlags
	positionFlags
	Args struct {
		Name string `positional-arg-name:"RULE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute moves the rule.
func (c *moveCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	at, err := c.positionFlags.position()
	if err != nil {
		return err
	}
	if at == (revs.Position{}) {
		return kinds.New(kinds.BadRequest, "say where: --first, --last or --before RULE")
	}
	return c.save(func(cur *revs.Record, e revs.Edit) (*revs.Record, error) {
		return revs.Move(cur, e, c.Args.Name, at)
	})
}

type retireCmd struct {
	editFlags
	Args struct {
		Name string `positional-arg-name:"RULE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute retires the rule.
func (c *retireCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	return c.save(func(cur *revs.Record, e revs.Edit) (*revs.Record, error) {
		return revs.Remove(cur, e, c.Args.Name)
	})
}

type historyCmd struct {
	platformFlags
	app *app
	N   int `short:"n" default:"20" value-name:"N" description:"how many revisions"`
}

// Execute lists the revisions.
func (c *historyCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	s, err := c.open(c.app.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	all, err := save.History(s.ctx, s.store, c.N)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REV\tAT\tBY\tRULES\tNOTE")
	for _, r := range all {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\n", r.Rev, r.At.UTC().Format(time.DateTime), r.Author, len(r.Rules), r.Note)
	}
	return t.Flush()
}
