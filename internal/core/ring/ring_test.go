package ring

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

func TestRefuseCountsRejectedItems(t *testing.T) {
	r := New[int](2, Refuse)
	assert.Assert(t, r.Push(t.Context(), 1))
	assert.Assert(t, r.Push(t.Context(), 2))
	assert.Assert(t, !r.Push(t.Context(), 3))
	assert.Equal(t, r.Lost(), uint64(1))
	assert.Equal(t, r.Len(), 2)
	assert.Equal(t, r.Cap(), 2)
}

func TestDropOldKeepsTheNewest(t *testing.T) {
	r := New[int](2, DropOld)
	for i := range 5 {
		assert.Assert(t, r.Push(t.Context(), i))
	}
	first, _ := r.TryPop()
	second, _ := r.TryPop()
	assert.DeepEqual(t, []int{first, second}, []int{3, 4})
	assert.Equal(t, r.Lost(), uint64(3))
	_, ok := r.TryPop()
	assert.Assert(t, !ok)
}

func TestBlockWaitsUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int](1, Block)
		assert.Assert(t, r.Push(t.Context(), 1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !r.Push(ctx, 2))
		assert.Equal(t, r.Lost(), uint64(1))

		var g group.Group
		g.Go(func(ctx context.Context) error {
			r.Push(ctx, 3)
			return nil
		})
		synctest.Wait()
		first, ok := r.Pop(t.Context())
		assert.Assert(t, ok)
		synctest.Wait()
		second, ok := r.Pop(t.Context())
		assert.Assert(t, ok)
		assert.DeepEqual(t, []int{first, second}, []int{1, 3})
		assert.NilError(t, g.Close())
	})
}

func TestPopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, ok := New[int](0, Refuse).Pop(ctx)
		assert.Assert(t, !ok)
	})
}
