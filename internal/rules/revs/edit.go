package revs

import (
	"fmt"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Edit says who changes the rules, why, and on which revision the decision was
// made.
type Edit struct {
	Seen   ident.Revision // what the operator looked at, zero for none
	Author string
	Note   string
	Token  string
	At     time.Time
	// Known makes unknown services a fault; nil leaves them unchecked.
	Known map[ident.Service]match.Service
}

// Conflict is the answer to an edit that was decided on a revision which is no
// longer in force. Nothing of the edit took effect, and nothing was merged: the
// operator looks at the difference and decides again.
type Conflict struct {
	Seen   ident.Revision // what the edit was decided on
	Actual ident.Revision // what is in force
	Author string         // who made that one
	Note   string
}

// Error names both revisions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the edit was made on revision %d, in force is %d by %q (%s)", c.Seen, c.Actual, c.Author, c.Note)
}

// conflict wraps the answer with kind Conflict.
func conflict(seen ident.Revision, cur *Record) error {
	c := &Conflict{Seen: seen, Actual: cur.Rev, Author: cur.Author, Note: cur.Note}
	return kinds.Wrap(kinds.Conflict, c, "edit rules")
}

// Position says where in the order a rule goes. The zero value means the end for a
// new rule, and its present place for one that is replaced.
type Position struct {
	Before string // name of the rule that follows
	First  bool
	Last   bool
}

// Put returns the next revision with the rule added, or replaced if one of its
// name exists.
func Put(cur *Record, e Edit, r match.Rule, at Position) (*Record, error) {
	return change(cur, e, func(rules []match.Rule) ([]match.Rule, error) {
		i := find(rules, r.Name)
		if i >= 0 && at == (Position{}) {
			rules[i] = r
			return rules, nil
		}
		if i >= 0 {
			rules = slices.Delete(rules, i, i+1)
		}
		return insert(rules, r, at)
	})
}

// Move returns the next revision with the named rule at another place.
func Move(cur *Record, e Edit, name string, at Position) (*Record, error) {
	return change(cur, e, func(rules []match.Rule) ([]match.Rule, error) {
		i := find(rules, name)
		if i < 0 {
			return nil, unknown(name)
		}
		r := rules[i]
		return insert(slices.Delete(rules, i, i+1), r, at)
	})
}

// Remove returns the next revision without the named rule. Earlier revisions
// keep it, so reports can still show what it said.
func Remove(cur *Record, e Edit, name string) (*Record, error) {
	return change(cur, e, func(rules []match.Rule) ([]match.Rule, error) {
		i := find(rules, name)
		if i < 0 {
			return nil, unknown(name)
		}
		return slices.Delete(rules, i, i+1), nil
	})
}

// Replace returns the next revision with another list altogether, for example
// from a file.
func Replace(cur *Record, e Edit, rules []match.Rule) (*Record, error) {
	return change(cur, e, func([]match.Rule) ([]match.Rule, error) { return slices.Clone(rules), nil })
}

// change checks the revision, applies f to a copy of the rules and checks the
// outcome as a whole. A nil cur means that there are no rules yet.
func change(cur *Record, e Edit, f func([]match.Rule) ([]match.Rule, error)) (*Record, error) {
	if cur == nil {
		cur = empty.Record
	}
	if e.Seen != cur.Rev {
		return nil, conflict(e.Seen, cur)
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
		Form: FormatVersion, Rev: cur.Rev + 1, Author: e.Author, Note: e.Note,
		At: e.At.UTC(), Token: e.Token, Rules: rules,
	}, nil
}

func find(rules []match.Rule, name string) int {
	return slices.IndexFunc(rules, func(r match.Rule) bool { return r.Name == name })
}

func unknown(name string) error {
	return kinds.New(kinds.NotFound, "no rule is named "+name)
}

func insert(rules []match.Rule, r match.Rule, at Position) ([]match.Rule, error) {
	switch {
	case at.First:
		return slices.Insert(rules, 0, r), nil
	case at.Before != "":
		i := find(rules, at.Before)
		if i < 0 {
			return nil, unknown(at.Before)
		}
		return slices.Insert(rules, i, r), nil
	default:
		return append(rules, r), nil
	}
}
