package gossip

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// FuzzSet decodes arbitrary bytes as a set. No member of a decoded set may be
// beyond the list: it would denote another VM after the next change of the list,
// or cause a panic.
func FuzzSet(f *testing.F) {
	f.Add([]byte{encodedBits, 0xff}, 8)
	f.Add([]byte{encodedGaps, 0, 3}, 9)
	f.Add([]byte{encodedHoles}, 520)
	f.Add([]byte{encodedGaps, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, 9)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		if n < 0 {
			return
		}
		s, ok := decodeSet(b, n)
		if !ok {
			return
		}
		for i := n; i < 64*len(s); i++ {
			assert.Assert(t, !s.has(i), "%d of %d", i, n)
		}
		again, ok := decodeSet(s.encode(n), n)
		assert.Assert(t, ok)
		assert.DeepEqual(t, again, s)
	})
}

func TestSetEncodingRoundTripsAndIsShort(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 600).Draw(t, "n")
		s := newSet(n)
		want := map[int]bool{}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, max(0, n-1))).Draw(t, "in") {
			if i < n {
				s.add(i)
				want[i] = true
			}
		}
		b := s.encode(n)
		assert.Assert(t, len(b) <= 1+(n+7)/8)
		back, ok := decodeSet(b, n)
		assert.Assert(t, ok)
		for i := range n {
			assert.Equal(t, back.has(i), want[i])
		}
		assert.Equal(t, back.count(), len(want))
	})
	full := newSet(520)
	full.flip(520)
	assert.Equal(t, full.count(), 520)
	assert.Equal(t, len(full.encode(520)), 1)
}
