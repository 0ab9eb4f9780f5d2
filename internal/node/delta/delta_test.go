package delta

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func TestApplyUndoesDiff(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		letters := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 400)
		old := letters.Draw(t, "old")
		fresh := bytes.Clone(old)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			i := rapid.IntRange(0, len(fresh)).Draw(t, "from")
			j := rapid.IntRange(i, len(fresh)).Draw(t, "to")
			piece := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "piece")
			fresh = append(append(bytes.Clone(fresh[:i]), piece...), fresh[j:]...)
		}
		got, err := Apply(old, Diff(old, fresh))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, fresh))
	})
}

// A table of 64k slices in which some rows change must not be sent whole.
func TestAFewChangedRowsCostAFewBytes(t *testing.T) {
	old := make([]byte, 128<<10)
	for i := range old {
		old[i] = byte(i * 7 / 5)
	}
	fresh := bytes.Clone(old)
	for i := range 50 {
		fresh[i*2600+13]++
	}
	d := Diff(old, fresh)
	assert.Assert(t, len(d) < 50*12, "%d bytes", len(d))
}

// FuzzApply applies arbitrary differences: none may cause a panic or build more
// than the longest valid value.
func FuzzApply(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123"), Diff([]byte("0123456789abcdef0123"), []byte("x0123456789abcdef01y")))
	f.Add([]byte{}, []byte{3, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte("a"), bytes.Repeat([]byte{3, 0}, 100))
	f.Fuzz(func(t *testing.T, old, diff []byte) {
		out, err := Apply(old, diff)
		if err != nil {
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
			return
		}
		assert.Assert(t, len(out) <= MaxSize)
	})
}
