package queue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var begin = time.Unix(1000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// One class, any ranks, anyone may leave or be too late: the order must be that
// of a plain sorted list.
func TestAgreesWithASortedList(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var naive []*Item[int]
		now := 0
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 3).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				it := &Item[int]{Value: i, Rank: at(rapid.IntRange(0, 20).Draw(t, "rank")), Deadline: at(now + rapid.IntRange(1, 60).Draw(t, "by"))}
				q.Push(at(now), it)
				naive = append(naive, it)
				slices.SortStableFunc(naive, func(a, b *Item[int]) int { return a.Rank.Compare(b.Rank) })
			case 2:
				it := q.Pop(at(now))
				if len(naive) == 0 {
					assert.Assert(t, it == nil)
					continue
				}
				assert.Equal(t, it.Value, naive[0].Value)
				naive = naive[1:]
			case 3:
				if len(naive) > 0 {
					k := rapid.IntRange(0, len(naive)-1).Draw(t, "leaves")
					q.Remove(naive[k])
					naive = slices.Delete(naive, k, k+1)
				}
			default:
				late := 0
				q.Expire(at(now), func(int) { late++ })
				before := len(naive)
				naive = slices.DeleteFunc(naive, func(it *Item[int]) bool { return !it.Deadline.After(at(now)) })
				assert.Equal(t, late, before-len(naive))
			}
			assert.Equal(t, q.Len(), len(naive))
			if len(naive) > 0 {
				assert.Assert(t, !q.NextExpiry().After(slices.MinFunc(naive, func(a, b *Item[int]) int { return a.Deadline.Compare(b.Deadline) }).Deadline))
			}
		}
	})
}

// Requests of every class keep waiting. Each class must get its share, the
// lowest one too: it would otherwise never be served while others are busy.
func TestClassesShareByWeight(t *testing.T) {
	var q Queue[int]
	served := [Classes]int{}
	push := func(class int) { q.Push(begin, &Item[int]{Value: class, Class: uint8(class), Deadline: at(1000)}) }
	for class := range Classes {
		push(class)
		push(class)
	}
	const rounds = 1300
	for range rounds {
		it := q.Pop(begin)
		served[it.Value]++
		push(it.Value)
	}
	for class, w := range weights {
		want := int(float64(rounds) * w / 13)
		assert.Assert(t, served[class] >= want-1 && served[class] <= want+1, "class %d: %d, want %d", class, served[class], want)
	}
}

// A burst fills the queue for 50 ms, an overload for longer. Only the second is
// standing; a queue that calls a burst an overload refuses what it could serve,
// and one that never leaves the state refuses long after the overload is over.
func TestStandingQueueIsNoticedAndForgotten(t *testing.T) {
	var q Queue[int]
	// serve keeps as many waiting as it takes for each to wait so long.
	serve := func(from, to, wait int) {
		for ms := from; ms < to; ms++ {
			q.Push(at(ms), &Item[int]{Rank: at(ms), Deadline: at(10_000)})
			for q.Len() > wait {
				q.Pop(at(ms))
			}
		}
	}
	serve(100, 150, 20)
	assert.Assert(t, !q.Standing())
	serve(150, 160, 0)
	serve(160, 300, 20)
	assert.Assert(t, q.Standing())
	serve(300, 700, 0)
	assert.Assert(t, q.Standing(), "left before Settle")
	serve(700, 900, 0)
	assert.Assert(t, !q.Standing())
}

// The VM is paused for a moment, or the server is, while one request waits. The
// requests that come after it find the server idle; a queue that took the pause
// for an overload would turn them away for half a second.
func TestAPauseMakesNoStandingQueue(t *testing.T) {
	var q Queue[int]
	one := func(from, to int) {
		q.Push(at(from), &Item[int]{Rank: at(from), Deadline: at(10_000)})
		q.Pop(at(to))
	}
	one(100, 400)
	assert.Assert(t, !q.Standing())
	one(500, 800)
	assert.Assert(t, !q.Standing(), "two pauses with an idle queue between them")
	q.Push(at(1000), &Item[int]{Rank: at(1000), Deadline: at(10_000)})
	for ms := 1050; ms <= 1200; ms += 50 {
		q.Push(at(ms), &Item[int]{Rank: at(ms), Deadline: at(10_000)})
		q.Pop(at(ms))
	}
	assert.Assert(t, q.Standing(), "waits of 50 ms for longer than the interval")
}

// Each item of one class can wait until its own time, and each turn takes as
// long. Who must be told that it is too late is found by serving a copy of the
// list in order: the others must stay, in their order, and only they count.
func TestShedAgreesWithServingInOrder(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var q Queue[int]
		each := rapid.IntRange(1, 10).Draw(t, "each")
		var stay []int
		var gone []int
		clock := 0
		for i := range rapid.IntRange(0, 40).Draw(t, "items") {
			by := rapid.IntRange(0, 200).Draw(t, "by")
			q.Push(begin, &Item[int]{Value: i, Rank: at(i), Deadline: at(by)})
			if clock+each > by {
				gone = append(gone, i)
				continue
			}
			clock += each
			stay = append(stay, i)
		}
		var shed []int
		q.Shed(func(ahead float64, it *Item[int]) bool {
			return at(int(ahead+1) * each).After(it.Deadline)
		}, func(v int) { shed = append(shed, v) })
		assert.DeepEqual(t, shed, gone)
		var left []int
		for it := q.Pop(begin); it != nil; it = q.Pop(begin) {
			left = append(left, it.Value)
		}
		assert.DeepEqual(t, left, stay)
	})
}

// Two classes share the service, so an item waits also for the other class's
// part. Shed must count as Ahead does, or one class would be refused for waits
// that it does not have.
func TestShedCountsAsAhead(t *testing.T) {
	var q Queue[int]
	items := make([]*Item[int], 12)
	for i := range items {
		items[i] = &Item[int]{Value: i, Class: uint8(i % 2), Rank: at(i), Deadline: at(1000)}
		q.Push(begin, items[i])
	}
	i := 0
	q.Shed(func(ahead float64, _ *Item[int]) bool {
		it := items[2*(i%6)+i/6]
		assert.Equal(t, ahead, q.Ahead(it.Class, it.Rank.Add(-1)), "item %d", it.Value)
		i++
		return false
	}, func(int) { t.Fatal("dropped") })
	assert.Equal(t, i, len(items))
}
