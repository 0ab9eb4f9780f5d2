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

// store is an object API in memory whose faults the test chooses.
type store struct {
	objects   map[string]object.Object
	fault     func(name string) fault // called before each write
	beforePut func()                  // called once, before the next write of the current object
}

// fault is the failure of one write.
type fault int

const (
	none fault = iota
	down
	lostBefore // ambiguous, did not take effect
	lostAfter  // ambiguous, took effect
)

func (s *store) Get(_ context.Context, name string) (object.Object, error) {
	o, ok := s.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, name)
	}
	return o, nil
}

func (s *store) Put(_ context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	if f := s.beforePut; f != nil && name == revs.Current {
		s.beforePut = nil
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

// add returns an edit that inserts a rule with the given name as the first one.
func add(name string, seen ident.Revision) EditFunc {
	return func(cur *revs.Record) (*revs.Record, error) {
		r := match.Rule{Name: name, When: match.When{Path: "/" + name}, Then: match.Then{Service: "lookup"}}
		e := revs.Edit{Seen: seen, Author: "op", Note: "add " + name, Token: name}
		return revs.Put(cur, e, r, revs.Position{First: true})
	}
}

// Two operators edit revision 1 of the rules at the same time. One must get a conflict
// with the numbers of both revisions, and the edit of the other must be complete.
func TestTheSlowerOfTwoOperatorsGetsAConflict(t *testing.T) {
	s := newStore()
	_, err := Save(t.Context(), s, add("a", 0))
	assert.NilError(t, err)
	s.beforePut = func() {
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

// The answer to an edit that took effect is lost, and another operator makes an edit
// before the first one reads the rules back. The first edit must be reported as made,
// not as a conflict with itself.
func TestALostAnswerIsRecognisedThroughALaterRevision(t *testing.T) {
	s := newStore()
	first := true
	s.fault = func(name string) fault {
		if name != revs.Current || !first {
			return none
		}
		first = false
		s.beforePut = func() {
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

// Writes fail in all ways while operators race. Every edit reported as made must be in the
// history, every edit reported as refused must not, and the history must have no gaps.
func TestHistoryHoldsExactlyTheEditsReportedAsMade(t *testing.T) {
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
				s.beforePut = func() { save("x"+strconv.Itoa(i), seen) }
			}
			save("a"+strconv.Itoa(i), seen)
			s.beforePut = nil
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
