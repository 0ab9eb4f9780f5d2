package keep

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
	for _, w := range []Word{"", All, Submissions, None, "1/2", "1/100", "1/1000000", Sample(64)} {
		assert.NilError(t, w.Check(), "%s", w)
	}
	for _, w := range []Word{"some", "1/", "1/0", "1/1", "1/1000001", "2/3", "1/-4", "1/+4", "1/04", "1/99999999999", "ALL"} {
		assert.Equal(t, kinds.Of(w.Check()), kinds.Malformed, "%s", w)
		assert.Assert(t, w.Keeps(Case{Key: "a", Safe: true, Plain: true}), "a word that nobody knows keeps all: %s", w)
	}
}

// naive says the same in the words of the operator's page.
func naive(w Word, c Case, sampled bool) bool {
	switch w {
	case "", All:
		return true
	case None:
		return false
	case Submissions:
		if !c.Safe {
			return true // a submission
		}
		return !c.Plain // a failure
	}
	return c.Key == "" || sampled
}

func TestWhatIsKeptIsWhatTheWordSays(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		w := rapid.SampledFrom([]Word{"", All, Submissions, None, "1/2", "1/7", "1/64"}).Draw(t, "word")
		key := ident.Key(rapid.StringN(0, 12, 12).Draw(t, "key"))
		for _, safe := range []bool{false, true} {
			for _, plain := range []bool{false, true} {
				c := Case{Key: key, Safe: safe, Plain: plain}
				assert.Equal(t, w.Keeps(c), naive(w, c, w.Has(key)), "%s %+v", w, c)
			}
		}
		if w.Whole() || w.Sampled() && w.Has(key) {
			assert.Assert(t, w.Keeps(Case{Key: key, Safe: true, Plain: true}), "a whole history has a hole")
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
		if w.Has(k) {
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
		if Sample(32).Has(ident.Key(fmt.Sprint("scale-", i))) {
			in = append(in, i)
		}
	}
	assert.DeepEqual(t, in, []int{37, 134, 136, 172, 178, 192})
}

func TestTheChoiceAllocatesNothing(t *testing.T) {
	w, c := Sample(100), Case{Key: "scale-7", Safe: true, Plain: true}
	assert.Equal(t, testing.AllocsPerRun(100, func() { w.Keeps(c) }), 0.0)
}
