package retain

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func TestPolicyCheck(t *testing.T) {
	for _, p := range []Policy{"", All, Submissions, None, "1/2", "1/100", "1/1000000", Sample(64)} {
		assert.NilError(t, p.Check(), "%s", p)
	}
	for _, p := range []Policy{"some", "1/", "1/0", "1/1", "1/1000001", "2/3", "1/-4", "1/+4", "1/04", "1/99999999999", "ALL"} {
		assert.Equal(t, kinds.Of(p.Check()), kinds.Malformed, "%s", p)
		assert.Assert(t, p.Retains(Case{Key: "a", Safe: true, Succeeded: true}), "an unknown policy must retain everything: %s", p)
	}
}

// expectedRetains is a direct implementation of the documented policies.
func expectedRetains(p Policy, c Case, sampled bool) bool {
	switch p {
	case "", All:
		return true
	case None:
		return false
	case Submissions:
		if !c.Safe {
			return true // a submission
		}
		return !c.Succeeded // a failure
	}
	return c.Key == "" || sampled
}

func TestRetainsMatchesReference(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom([]Policy{"", All, Submissions, None, "1/2", "1/7", "1/64"}).Draw(t, "word")
		key := ident.Key(rapid.StringN(0, 12, 12).Draw(t, "key"))
		for _, safe := range []bool{false, true} {
			for _, succeeded := range []bool{false, true} {
				c := Case{Key: key, Safe: safe, Succeeded: succeeded}
				assert.Equal(t, p.Retains(c), expectedRetains(p, c, p.RetainsKey(key)), "%s %+v", p, c)
			}
		}
		if p.RetainsAll() || p.Sampled() && p.RetainsKey(key) {
			assert.Assert(t, p.Retains(Case{Key: key, Safe: true, Succeeded: true}), "the history of a retained key is incomplete")
		}
	})
}

// With the slices' own hash, a sample of one key in 64 of a service with 4,096
// slices would hold only every 64th slice and nothing of most servers.
func TestSampleCoversManySlices(t *testing.T) {
	const keys, slices = 200_000, 4096
	p := Sample(64)
	sampled, sampledSlices := 0, map[ident.Slice]bool{}
	for i := range keys {
		k := ident.Key(fmt.Sprint("scale-", i))
		if p.RetainsKey(k) {
			sampled++
			sampledSlices[ident.SliceOf(k, slices)] = true
		}
	}
	assert.Assert(t, sampled > keys/64*9/10 && sampled < keys/64*11/10, "%d", sampled)
	assert.Assert(t, len(sampledSlices) > slices/3, "%d slices", len(sampledSlices))
}

// The selected keys must never change: a newer version of the program that reads an
// old journal recomputes which histories are complete.
func TestSampledKeysAreStable(t *testing.T) {
	var sampled []int
	for i := range 200 {
		if Sample(32).RetainsKey(ident.Key(fmt.Sprint("scale-", i))) {
			sampled = append(sampled, i)
		}
	}
	assert.DeepEqual(t, sampled, []int{37, 134, 136, 172, 178, 192})
}

func TestRetainsAllocatesNothing(t *testing.T) {
	p, c := Sample(100), Case{Key: "scale-7", Safe: true, Succeeded: true}
	assert.Equal(t, testing.AllocsPerRun(100, func() { p.Retains(c) }), 0.0)
}
