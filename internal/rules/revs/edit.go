package revs

import (
	"fmt"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Edit says who changes the rules, why, and which revision the change is based on.
type Edit struct {
	Seen   ident.Revision // revision the operator looked at, zero for none
	Author string
	Note   string
	Token  string
	At     time.Time
	// Known lists the services that rules may name; nil leaves services unchecked.
	Known map[ident.Service]match.Service
}

// Conflict is the error of an edit that is based on a revision which is no longer in
// force. Nothing of the edit takes effect and nothing is merged: the operator reviews the
// difference and decides again.
type Conflict struct {
	Seen   ident.Revision // revision the edit is based on
	Actual ident.Revision // revision in force
	Author string         // author of the revision in force
	Note   string         // its note
}

// Error names both revisions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the edit is based on revision %d, but revision %d by %q (%s) is in force", c.Seen, c.Actual, c.Author, c.Note)
}

// conflictError wraps a Conflict in an error of kind Conflict.
func conflictError(seen ident.Revision, cur *Record) error {
	c := &Conflict{Seen: seen, Actual: cur.Rev, Author: cur.Author, Note: cur.Note}
	return kinds.Wrap(kinds.Conflict, c, "edit rules")
}

// Position is the place of a rule in the order. The zero value means the end for a new
// rule, and the present place for a rule that is replaced.
type Position struct {
	Before string // name of the rule to insert before
	First  bool
	Last   bool
}

// Put returns the next revision with the rule added, or replaced if a rule of that name
// exists.
func Put(cur *Record, e Edit, r match.Rule, at Position) (*Record, error) {
	return applyEdit(cur, e, func(rules []match.Rule) ([]match.Rule, error) {
		i := indexOf(rules, r.Name)
		if i >= 0 && at == (Position{}) {
			rules[i] = r
			return rules, nil
		}
		if i >= 0 {
			rules = slices.Delete(rules, i, i+1)
		}
		return insertAt(rules, r, at)
	})
}

// Move returns the next revision with the named rule at another position.
func Move(cur *Record, e Edit, name string, at Position) (*Record, error) {
	return applyEdit(cur, e, func(rules []match.Rule) ([]match.Rule, error) {
		i := indexOf(rules, name)
		if i < 0 {
			return nil, errUnknownRule(name)
		}
		r := rules[i]
		return insertAt(slices.Delete(rules, i, i+1), r, at)
	})
}

// Remove returns the next revision without the named rule. Earlier revisions keep it, so
// reports can still show its text.
func Remove(cur *Record, e Edit, name string) (*Record, error) {
	return applyEdit(cur, e, func(rules []match.Rule) ([]match.Rule, error) {
		i := indexOf(rules, name)
		if i < 0 {
			return nil, errUnknownRule(name)
		}
		return slices.Delete(rules, i, i+1), nil
	})
}

// Replace returns the next revision with an entirely new list, for example from a file.
func Replace(cur *Record, e Edit, rules []match.Rule) (*Record, error) {
	return applyEdit(cur, e, func([]match.Rule) ([]match.Rule, error) { return slices.Clone(rules), nil })
}

// applyEdit checks the revision the edit is based on, applies f to a copy of the rules and
// checks the result as a whole. A nil cur means that there are no rules yet.
func applyEdit(cur *Record, e Edit, f func([]match.Rule) ([]match.Rule, error)) (*Record, error) {
	if cur == nil {
		cur = emptySnapshot.Record
	}
	if e.Seen != cur.Rev {
		return nil, conflictError(e.Seen, cur)
	}
	if e.Author == "" || e.Token == "" {
		return nil, kinds.New(kinds.BadRequest, "an edit of the rules needs an author and a token")
	}
	rules, err := f(slices.Clone(cur.Rules))
	if err != nil {
		return nil, err
	}
	if _, err := match.Compile(rules, match.WithServices(e.Known)); err != nil {
		return nil, err
	}
	return &Record{
		FormatVersion: FormatVersion, Rev: cur.Rev + 1, Author: e.Author, Note: e.Note,
		At: e.At.UTC(), Token: e.Token, Rules: rules,
	}, nil
}

func indexOf(rules []match.Rule, name string) int {
	return slices.IndexFunc(rules, func(r match.Rule) bool { return r.Name == name })
}

func errUnknownRule(name string) error {
	return kinds.New(kinds.NotFound, "no rule is named "+name)
}

func insertAt(rules []match.Rule, r match.Rule, at Position) ([]match.Rule, error) {
	switch {
	case at.First:
		return slices.Insert(rules, 0, r), nil
	case at.Before != "":
		i := indexOf(rules, at.Before)
		if i < 0 {
			return nil, errUnknownRule(at.Before)
		}
		return slices.Insert(rules, i, r), nil
	default:
		return append(rules, r), nil
	}
}
