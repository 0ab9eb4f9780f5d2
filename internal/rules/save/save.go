// Package save carries an edit of the rules into the object API, and reads the
// history back.
//
// Two faults are answered here. An answer that is lost after the write took
// effect would make an operator repeat an edit that is already in force, or
// report a conflict with itself: so a write that may have happened is repeated
// unchanged under the same condition, and recognised by its token. And an
// operator's process can end between the acceptance of a revision and the copy
// for the history: so each edit first completes the copy of the revision that
// it replaces, and the history has no hole.
package save

import (
	"context"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Store is the part of the object API that is needed here.
type Store interface {
	Get(ctx context.Context, name string) (object.Object, error)
	Put(ctx context.Context, name string, value []byte, old object.Version) (object.Version, error)
}

// Load reads the revision in force and the version of its object. Before the
// first edit it returns a nil record and version zero.
func Load(ctx context.Context, s Store) (*revs.Record, object.Version, error) {
	o, err := s.Get(ctx, revs.Current)
	if kinds.Of(err) == kinds.NotFound {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := revs.Decode(o.Value)
	return r, o.Version, err
}

// EditFunc makes the next revision out of the one in force; see [force.Put] and
// its siblings.
type EditFunc func(cur *revs.Record) (*revs.Record, error)

// Save makes an edit and returns the accepted revision.
//
// Kind Conflict, with a [force.Conflict] inside, means that another edit came
// first and that nothing of this one took effect. Kind Ambiguous means that the
// store did not say whether it did: look for the token in the history before
// repeating it. Any other kind means that nothing took effect.
func Save(ctx context.Context, s Store, edit EditFunc) (*revs.Record, error) {
	cur, version, err := Load(ctx, s)
	if err != nil {
		return nil, err
	}
	next, err := edit(cur)
	if err != nil {
		return nil, err
	}
	raw, err := next.Encode()
	if err != nil {
		return nil, err
	}
	if err := keep(ctx, s, cur); err != nil {
		return nil, err
	}
	if err := accept(ctx, s, next, raw, version); err != nil {
		return nil, err
	}
	// The edit is accepted whatever becomes of this copy: the next edit, or a
	// reader of the history, finds the record in the current object.
	_ = keep(ctx, s, next)
	return next, nil
}

// keep writes the history's copy of a record, if there is none yet.
func keep(ctx context.Context, s Store, r *revs.Record) error {
	if r == nil {
		return nil
	}
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, revs.RevName(r.Rev), raw, 0)
	if kinds.Of(err) == kinds.Conflict {
		return nil
	}
	// A copy that may not have been written is no acceptance: the operator is
	// told that nothing took effect, and that is true of the edit.
	return notRun(err)
}

func notRun(err error) error {
	if kinds.Of(err) == kinds.Ambiguous {
		return kinds.Wrap(kinds.Unavailable, err, "keep the history of rules")
	}
	return err
}

// tries bounds the repetitions of a write whose answer was lost.
const tries = 5

// accept updates the current object, on the condition that it is still the one
// that the edit was made on.
func accept(ctx context.Context, s Store, next *revs.Record, raw []byte, old object.Version) error {
	maybe := false
	var err error
	for range tries {
		_, err = s.Put(ctx, revs.Current, raw, old)
		switch kinds.Of(err) {
		case kinds.None:
			return nil
		case kinds.Conflict:
			return lost(ctx, s, next, maybe)
		case kinds.Ambiguous:
			maybe = true
		default:
			if !maybe {
				return err
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return kinds.Wrap(kinds.Ambiguous, err, "accept rules")
}

// lost finds out what a conflict means: our own earlier try took effect, also
// if others followed on it, or another edit came first.
func lost(ctx context.Context, s Store, next *revs.Record, maybe bool) error {
	cur, _, err := Load(ctx, s)
	if err == nil && cur == nil {
		err = kinds.New(kinds.NotFound, "the rules were removed")
	}
	if err != nil {
		return uncertain(err, maybe)
	}
	at := cur
	if maybe && cur.Rev > next.Rev {
		if at, err = Revision(ctx, s, next.Rev); err != nil {
			return uncertain(err, maybe)
		}
	}
	if maybe && at.Rev == next.Rev && at.Token == next.Token {
		return nil
	}
	c := &revs.Conflict{Seen: next.Rev - 1, Actual: cur.Rev, Author: cur.Author, Note: cur.Note}
	return kinds.Wrap(kinds.Conflict, c, "edit rules")
}

func uncertain(err error, maybe bool) error {
	if maybe {
		return kinds.Wrap(kinds.Ambiguous, err, "read rules back")
	}
	return err
}

// Revision reads one revision from the history.
func Revision(ctx context.Context, s Store, n ident.Revision) (*revs.Record, error) {
	o, err := s.Get(ctx, revs.RevName(n))
	if err != nil {
		return nil, err
	}
	return revs.Decode(o.Value)
}

// History returns up to n revisions, the one in force first. It costs one call
// of the object API for each.
func History(ctx context.Context, s Store, n int) ([]*revs.Record, error) {
	cur, _, err := Load(ctx, s)
	if err != nil || cur == nil {
		return nil, err
	}
	all := []*revs.Record{cur}
	for rev := cur.Rev - 1; rev > 0 && len(all) < n; rev-- {
		r, err := Revision(ctx, s, rev)
		if err != nil {
			return all, err
		}
		all = append(all, r)
	}
	return all, nil
}
