package match

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// Rules accepted by another version of the program may break the limits of this one. A VM
// that rejected them would go on under its previous rules, visibly to callers.
func TestCompileAcceptedNeverRejects(t *testing.T) {
	many := make([]Rule, MaxRules+1)
	for i := range many {
		name := "r" + strconv.Itoa(i)
		many[i] = Rule{Name: name, When: When{Prefix: "/" + name + "/"}, Then: Then{Service: "ledger"}}
	}
	invalid := []Rule{
		{Name: "a name with spaces", When: When{Prefix: "/odd"}, Then: Then{Service: "ledger", Retry: 99, Wait: -1}},
		{Name: "hidden", When: When{Prefix: "/odd/below/"}, Then: Then{Service: "ledger"}},
		{Name: "hidden", When: When{Host: []string{"a*b*c"}}, Then: Then{Service: "ledger", Deadline: -1, Hedge: 1}},
	}
	for _, rules := range [][]Rule{many, invalid} {
		_, err := Compile(rules)
		assert.Assert(t, err != nil, "Compile rejects the rules")
		set, _ := CompileAccepted(rules)
		assert.Equal(t, len(set.Rules()), len(rules))
		for i := range set.Rules() {
			assert.NilError(t, set.Rules()[i].Check())
		}
	}
	set, faults := CompileAccepted(invalid)
	assert.Assert(t, len(faults) >= 5, "%v", faults)
	r, ok := set.Match(&Request{Path: "/odd/below/x"})
	assert.Assert(t, ok)
	assert.Equal(t, r.Name, "a name with spaces")
	assert.Equal(t, r.Then.Retry, MaxRetry)
	assert.Equal(t, set.Rules()[2].Then.Hedge.String(), "0s", "a request that is not idempotent is never sent twice")
}

// A rule has a key source, split, guarantee or path pattern that this program does not
// know. Its requests must be rejected with NewerVersion and not fall through to a later
// rule that was never meant for them.
func TestUnusableRuleKeepsItsPosition(t *testing.T) {
	for _, r := range []Rule{
		{Name: "path", When: When{Path: "/receipt/{scale"}, Then: Then{Service: "ledger"}},
		{Name: "key", Then: Then{Service: "ledger", Key: "cookie:ward"}},
		{Name: "split", Then: Then{Split: []Part{{Service: "ledger"}}}},
		{Name: "durable", Then: Then{Service: "ledger", Durable: "twice"}},
		{Name: "once", Then: Then{Service: "ledger", Once: "ever"}},
	} {
		set, faults := CompileAccepted([]Rule{r, {Name: "rest", Then: Then{Service: "lookup"}}})
		assert.Equal(t, len(faults), 1)
		got, ok := set.Match(&Request{Path: "/receipt/1"})
		assert.Assert(t, ok)
		assert.Equal(t, got.Name, r.Name)
		err := got.Check()
		assert.Equal(t, kinds.Of(err), kinds.NewerVersion, "%v", err)
		assert.Equal(t, kinds.Of(err).Answer().Ran, kinds.RanNo)
	}
}

// The path pattern of one rule cannot be parsed. Requests of later rules must still be
// served, except those whose path begins with the pattern's literal prefix.
func TestInvalidPatternAffectsOnlyItsLiteralPrefix(t *testing.T) {
	set, _ := CompileAccepted([]Rule{
		{Name: "odd", When: When{Path: "/receipt/a%20b/{scale"}, Then: Then{Service: "ledger"}},
		{Name: "rest", Then: Then{Service: "lookup"}},
	})
	for path, want := range map[string]string{"/receipt/x/1": "odd", "/scales/1": "rest", "/receipt": "rest"} {
		r, ok := set.Match(&Request{Path: path})
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, want, path)
	}
}

// A rule was accepted elsewhere in a form that cannot be read here. Its placeholder must
// keep the position, reject its requests and report the reason.
func TestUnreadableRuleKeepsItsPosition(t *testing.T) {
	unreadable := Rule{Name: "odd", When: When{Prefix: "/receipt/"}}
	unreadable.MarkUnreadable("its target cannot be read")
	set, faults := CompileAccepted([]Rule{unreadable, {Name: "rest", Then: Then{Service: "lookup"}}})
	assert.Assert(t, len(faults) > 0 && faults[0].Text == "its target cannot be read", "%v", faults)
	got, ok := set.Match(&Request{Path: "/receipt/1"})
	assert.Assert(t, ok)
	assert.Equal(t, got.Name, "odd")
	assert.Equal(t, kinds.Of(got.Check()), kinds.NewerVersion)
	assert.ErrorContains(t, got.Check(), "its target cannot be read")
	rest, ok := set.Match(&Request{Path: "/other/1"})
	assert.Assert(t, ok)
	assert.NilError(t, rest.Check())
}

// Valid rules must match the same requests whether they come through Compile or
// CompileAccepted.
func TestCompileAcceptedAgreesWithCompile(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		set := compileWithoutHidden(t, drawRules(t, 40))
		accepted, faults := CompileAccepted(set.Rules())
		assert.Equal(t, len(faults), 0, "%v", faults)
		for range 20 {
			req := drawRequest(t)
			want, wanted := set.Match(req)
			got, ok := accepted.Match(req)
			assert.Equal(t, ok, wanted)
			if ok {
				assert.Equal(t, got.Name, want.Name)
			}
		}
	})
}
