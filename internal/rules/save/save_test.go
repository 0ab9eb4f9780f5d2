package save

import (
	"context"
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// store is a small object API whose answers the test chooses.
type store struct {
	objects map[string]object.Object
	fault   func(name string) fault // asked before each write
	between func()                  // called once between a read and a write
}

type fault int

const (
	none fault = iota
	down
	lostBefore // ambiguous, did not happen
	lostAfter  // ambiguous, happened
)

func (s *store) Get(_ context.Context, name string) (object.Object, error) {
	o, ok := s.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, name)
	}
	return o, nil
}

func (s *store) Put(_ context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	if f := s.between; f != nil && name == revs.Current {
		s.between = nil
		f()
	}
	f := none
	if s.fault != nil {
		f = s.fault(name)
	}
	switch {
	case f == down:
		return 0, kinds.New(kinds.Unavailable, name)
	case f == lostBefore:
		return 0, kinds.New(kinds.Ambiguous, name)
	case s.objects[name].Version != old:
		return 0, kinds.New(kinds.Conflict, name)
	}
	s.objects[name] = object.Object{Name: name, Version: old + 1, Value: value}
	if f == lostAfter {
		return 0, kinds.New(kinds.Ambiguous, name)
	}
	return old + 1, nil
}

func newStore() *store { return &store{objects: map[string]object.Object{}} }

// add is an edit that puts a rule of the given name first.
func add(name string, seen ident.Revision) EditFunc {
	return func(cur *revs.Record) (*revs.Record, error) {
		r := match.Rule{Name: name, When: match.When{Path: "/" + name}, Then: match.Then{Service: "lookup"}}
		e := revs.Edit{Seen: seen, Author: "op", Note: "add " + name, Token: name}
		return revs.Put(cur, e, r, revs.Position{First: true})
	}
}

// Two operators change the rules at the same moment, each having looked at
// revision 1. One is told that the other came first, by the numbers of both
// revisions, and the winner's change is complete.
func TestTheSlowerOfTwoOperatorsGetsAConflict(t *testing.T) {
	s := newStore()
	_, err := Save(t.Context(), s, add("a", 0))
	assert.NilError(t, err)
	s.between = func() {
		_, err := Save(t.Context(), s, add("b", 1))
		assert.NilError(t, err)
	}
	_, err = Save(t.Context(), s, add("c", 1))
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	var c *revs.Conflict
	assert.Assert(t, errors.As(err, &c))
	assert.Equal(t, *c, revs.Conflict{Seen: 1, Actual: 2, Author: "op", Note: "add b"})
	cur, _, err := Load(t.Context(), s)
	assert.NilError(t, err)
	assert.Equal(t, len(cur.Rules), 2)
	_, err = Save(t.Context(), s, add("c", 1))
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
}

// The store's answer to an accepted edit is lost, and another operator edits
// before the first one looks again. The first one's edit is in force all the
// same, and is reported as accepted rather than as a conflict with itself.
func TestALostAnswerIsRecognisedThroughALaterRevision(t *testing.T) {
	s := newStore()
	first := true
	s.fault = func(name string) fault {
		if name != revs.Current || !first {
			return none
		}
		first = false
		s.between = func() {
			_, err := Save(t.Context(), s, add("b", 1))
			assert.NilError(t, err)
		}
		return lostAfter
	}
	r, err := Save(t.Context(), s, add("a", 0))
	assert.NilError(t, err)
	assert.Equal(t, r.Rev, ident.Revision(1))
	all, err := History(t.Context(), s, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].Token+all[1].Token, "ba")
}

// The store fails in every way at any write while operators race. Whatever is
// reported as accepted is in the history, whatever is reported as not done is
// nowhere, and the history has no hole.
func TestNothingAcceptedIsLostAndNothingRefusedIsThere(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		s := newStore()
		s.fault = func(string) fault {
			return rapid.SampledFrom([]fault{none, none, none, down, lostBefore, lostAfter}).Draw(t, "fault")
		}
		verdicts := map[string]kinds.Kind{}
		save := func(name string, seen ident.Revision) {
			_, err := Save(context.Background(), s, add(name, seen))
			verdicts[name] = kinds.Of(err)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			cur, _, _ := Load(context.Background(), s)
			var seen ident.Revision
			if cur != nil {
				seen = cur.Rev
			}
			if rapid.Bool().Draw(t, "race") {
				s.between = func() { save("x"+strconv.Itoa(i), seen) }
			}
			save("a"+strconv.Itoa(i), seen)
			s.between = nil
		}
		s.fault = nil
		all, err := History(context.Background(), s, 100)
		assert.NilError(t, err)
		present := map[string]bool{}
		for i, r := range all {
			present[r.Token] = true
			assert.Equal(t, r.Rev, all[0].Rev-ident.Revision(i))
		}
		for name, k := range verdicts {
			switch k {
			case kinds.None:
				assert.Assert(t, present[name], "%s was accepted and is lost", name)
			case kinds.Ambiguous:
			default:
				assert.Assert(t, !present[name], "%s was refused as %s and is there", name, k)
			}
		}
	})
}
