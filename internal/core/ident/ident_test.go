package ident

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFenceOrdersByEpochFirst(t *testing.T) {
	assert.Assert(t, Fence{1, 900}.Less(Fence{2, 0}))
	assert.Assert(t, Fence{2, 1}.Less(Fence{2, 2}))
	assert.Assert(t, !Fence{2, 2}.Less(Fence{2, 2}))
	assert.Equal(t, Fence{7, 3}.String(), "7.3")
}

func TestSliceOfSpreadsKeysEvenlyAndNeverChanges(t *testing.T) {
	const n, keys = 64, 64_000
	var count [n]int
	for i := range keys {
		count[SliceOf(Key(fmt.Sprintf("ward-%d", i)), n)]++
	}
	for s, c := range count {
		assert.Assert(t, c > 800 && c < 1200, "slice %d got %d of an expected 1000", s, c)
	}
	assert.Equal(t, SliceOf("scale-7", 4096), Slice(1065))
	assert.Equal(t, SliceOf("scale-7", 0), Slice(0))
}
