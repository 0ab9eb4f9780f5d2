package revs

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// During an upgrade VMs of two program versions run side by side, and one accepts an edit
// that breaks the limits of the other. If VMs of the other version could not open the
// revision, they would count as behind and stop answering all callers four seconds later.
func TestOpenAcceptsRulesThatCompileRejects(t *testing.T) {
	r := &Record{FormatVersion: FormatVersion, Rev: 3, Rules: []match.Rule{
		{Name: "deeper", When: match.When{Path: "/deeper/{scale", Host: []string{"deep.example"}}, Then: match.Then{Service: "lookup", Once: "ever"}},
	}}
	for i := range match.MaxRules {
		r.Rules = append(r.Rules, rule("r"+strconv.Itoa(i)))
	}
	raw, err := r.Encode()
	assert.NilError(t, err)
	s, err := Open(raw)
	assert.NilError(t, err)
	got, ok := s.Set.Match(&match.Request{Path: "/deeper/7", Host: "deep.example"})
	assert.Assert(t, ok)
	assert.Equal(t, kinds.Of(got.Check()), kinds.NewerVersion, "only requests of the unusable rule are rejected")
	got, ok = s.Set.Match(&match.Request{Path: "/r" + strconv.Itoa(match.MaxRules-1), Host: "other.example"})
	assert.Assert(t, ok)
	assert.NilError(t, got.Check())
}
