package revs

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// VMs of two versions of the program run side by side during an upgrade, and an
// operator's edit is accepted by one that allows more than the other. The VMs of the
// other version could not open the revision, counted as behind, and stopped answering
// all callers four seconds later.
func TestAnAcceptedRevisionOpensWhateverAnAuthorMayWriteHere(t *testing.T) {
	r := &Record{Form: FormatVersion, Rev: 3, Rules: []match.Rule{
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
	assert.Equal(t, kinds.Of(got.Check()), kinds.NewerVersion, "its own requests alone are told to come back")
	got, ok = s.Set.Match(&match.Request{Path: "/r" + strconv.Itoa(match.MaxRules-1), Host: "other.example"})
	assert.Assert(t, ok)
	assert.NilError(t, got.Check())
}
