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

func TestWordsAreChecked(t *testing.T) {
	for _, w := range []Policy{"", All, Submissions, None, "1/2", "1/100", "1/1000000", Sample(64)} {
		assert.NilError(t, w.Check(), "%s", w)
	}
	for _, w := range []Policy{"some", "1/", "1/0", "1/1", "1/1000001", "2/3", "1/-4", "1/+4", "1/04", "1/99999999999", "ALL"} {
		assert.Equal(t, kinds.Of(w.Check()), kinds.Malformed, "%s", w)
		assert.Assert(t, w.Retains(Case{Key: "a", Safe: true, Succeeded: true}), "a word that nobody knows keeps all: %s", w)
	}
}

// naive says the same in the words of the operator's page.
func naive(w Policy, c Case, sampled bool) bool {
	switch w {
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

func TestWhatIsKeptIsWhatTheWordSays(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := rapid.SampledFrom([]Policy{"", All, Submissions, None, "1/2", "1/7", "1/64"}).Draw(t, "word")
		key := ident.Key(rapid.StringN(0, 12, 12).Draw(t, "key"))
		for _, safe := range []bool{false, true} {
			for _, plain := range []bool{false, true} {
				c := Case{Key: key, Safe: safe, Succeeded: plain}
				assert.Equal(t, w.Retains(c), naive(w, c, w.RetainsKey(key)), "%s %+v", w, c)
			}
		}
		if w.RetainsAll() || w.Sampled() && w.RetainsKey(key) {
			assert.Assert(t, w.Retains(Case{Key: key, Safe: true, Succeeded: true}), "a whole history has a hole")
		}
	})
}

// A sample of one key in 64, in a service of 4,096 slices. Chosen by the slices'
// own hash it would hold every 64th slice and nothing of most servers.
func TestASampleIsSpreadOverTheSlices(t *testing.T) {
	const keys, slices = 200_000, 4096
	w := Sample(64)
	in, held := 0, map[ident.Slice]bool{}
	for i := range keys {
		k := ident.Key(fmt.Sprint("scale-", i))
		if w.RetainsKey(k) {
			in++
			held[ident.SliceOf(k, slices)] = true
		}
	}
	assert.Assert(t, in > keys/64*9/10 && in < keys/64*11/10, "%d", in)
	assert.Assert(t, len(held) > slices/3, "%d slices", len(held))
}

// The choice of keys must stay what it is: a report read later by a newer program
// asks it which histories are whole.
func TestTheChoiceOfKeysNeverChanges(t *testing.T) {
	var in []int
	for i := range 200 {
		if Sample(32).RetainsKey(ident.Key(fmt.Sprint("scale-", i))) {
			in = append(in, i)
		}
	}
	assert.DeepEqual(t, in, []int{37, 134, 136, 172, 178, 192})
}

func TestTheChoiceAllocatesNothing(t *testing.T) {
	w, c := Sample(100), Case{Key: "scale-7", Safe: true, Succeeded: true}
	assert.Equal(t, testing.AllocsPerRun(100, func() { w.Retains(c) }), 0.0)
}
