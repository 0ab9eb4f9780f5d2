// Package save writes edits of the rules to the object API, and reads the history of the
// rules.
//
// It handles two faults. The answer to a write may be lost after the write took effect;
// an operator would then repeat an edit that is in force already, or get a conflict with
// their own edit. So a write that may have taken effect is repeated unchanged under the
// same condition, and recognised by its token. And the operator's process may end after
// it wrote a revision, but before it wrote the copy for the history. So each edit first
// writes the missing copy of the revision that it replaces, and the history has no gaps.
package save

import (
	"context"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// Store is the part of the object API that saving needs.
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

// EditFunc makes the next revision from the one in force, for example with [revs.Put].
type EditFunc func(cur *revs.Record) (*revs.Record, error)

// Save makes an edit and returns the revision that it wrote.
//
// An error of kind Conflict wraps a [revs.Conflict]: another edit came first, and this one
// did not take effect. Kind Ambiguous means that it is not known whether the edit took
// effect: look for its token in the history before repeating it. Any other kind means
// that it did not take effect.
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
	if err := saveHistory(ctx, s, cur); err != nil {
		return nil, err
	}
	if err := putCurrent(ctx, s, next, raw, version); err != nil {
		return nil, err
	}
	// The edit is written even if this copy fails: the next edit, or a reader of the
	// history, finds the record in the current object.
	_ = saveHistory(ctx, s, next)
	return next, nil
}

// saveHistory writes the copy of a record for the history, if there is none yet.
func saveHistory(ctx context.Context, s Store, r *revs.Record) error {
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
	// The current object is not written yet, so the edit did not take effect even if
	// the copy was written.
	return asUnavailable(err)
}

// asUnavailable converts an error of kind Ambiguous to kind Unavailable, because the edit
// itself certainly did not take effect.
func asUnavailable(err error) error {
	if kinds.Of(err) == kinds.Ambiguous {
		return kinds.Wrap(kinds.Unavailable, err, "write the history of rules")
	}
	return err
}

// maxTries is the largest number of tries of a write whose answer was lost.
const maxTries = 5

// putCurrent updates the current object, provided that it still has the version that the
// edit was made from.
func putCurrent(ctx context.Context, s Store, next *revs.Record, raw []byte, old object.Version) error {
	mayBeWritten := false
	var err error
	for range maxTries {
		_, err = s.Put(ctx, revs.Current, raw, old)
		switch kinds.Of(err) {
		case kinds.None:
			return nil
		case kinds.Conflict:
			return resolveConflict(ctx, s, next, mayBeWritten)
		case kinds.Ambiguous:
			mayBeWritten = true
		default:
			if !mayBeWritten {
				return err
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return kinds.Wrap(kinds.Ambiguous, err, "write rules")
}

// resolveConflict finds out the cause of a conflict: either an earlier try of this edit
// took effect, possibly with later edits after it, or another edit came first. It returns
// nil in the first case. mayBeWritten reports whether an earlier try may have taken effect.
func resolveConflict(ctx context.Context, s Store, next *revs.Record, mayBeWritten bool) error {
	cur, _, err := Load(ctx, s)
	if err == nil && cur == nil {
		err = kinds.New(kinds.NotFound, "the rules were removed")
	}
	if err != nil {
		return asAmbiguous(err, mayBeWritten)
	}
	ours := cur
	if mayBeWritten && cur.Rev > next.Rev {
		if ours, err = Revision(ctx, s, next.Rev); err != nil {
			return asAmbiguous(err, mayBeWritten)
		}
	}
	if mayBeWritten && ours.Rev == next.Rev && ours.Token == next.Token {
		return nil
	}
	c := &revs.Conflict{Seen: next.Rev - 1, Actual: cur.Rev, Author: cur.Author, Note: cur.Note}
	return kinds.Wrap(kinds.Conflict, c, "edit rules")
}

// asAmbiguous converts an error to kind Ambiguous if the write may have taken effect.
func asAmbiguous(err error, mayBeWritten bool) error {
	if mayBeWritten {
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

// History returns up to n revisions, the one in force first. It makes one call to the
// object API for each revision.
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
