package queue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a wrong order of service: with one class and random ranks, removals and
// expiries, the order must be that of a sorted list.
func TestAgreesWithASortedList(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var model []*Item[int]
		now := 0
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 3).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				it := &Item[int]{Value: i, Rank: at(rapid.IntRange(0, 20).Draw(t, "rank")), Deadline: at(now + rapid.IntRange(1, 60).Draw(t, "by"))}
				q.Push(at(now), it)
				model = append(model, it)
				slices.SortStableFunc(model, func(a, b *Item[int]) int { return a.Rank.Compare(b.Rank) })
			case 2:
				it := q.Pop(at(now))
				if len(model) == 0 {
					assert.Assert(t, it == nil)
					continue
				}
				assert.Equal(t, it.Value, model[0].Value)
				model = model[1:]
			case 3:
				if len(model) > 0 {
					k := rapid.IntRange(0, len(model)-1).Draw(t, "leaves")
					q.Remove(model[k])
					model = slices.Delete(model, k, k+1)
				}
			default:
				late := 0
				q.Expire(at(now), func(int) { late++ })
				before := len(model)
				model = slices.DeleteFunc(model, func(it *Item[int]) bool { return !it.Deadline.After(at(now)) })
				assert.Equal(t, late, before-len(model))
			}
			assert.Equal(t, q.Len(), len(model))
			if len(model) > 0 {
				assert.Assert(t, !q.NextExpiry().After(slices.MinFunc(model, func(a, b *Item[int]) int { return a.Deadline.Compare(b.Deadline) }).Deadline))
			}
		}
	})
}

// Guards against starvation of a class. While requests of all classes wait, each class must
// get its share.
func TestClassesShareByWeight(t *testing.T) {
	var q Queue[int]
	served := [Classes]int{}
	push := func(class int) { q.Push(start, &Item[int]{Value: class, Class: uint8(class), Deadline: at(1000)}) }
	for class := range Classes {
		push(class)
		push(class)
	}
	const rounds = 1300
	for range rounds {
		it := q.Pop(start)
		served[it.Value]++
		push(it.Value)
	}
	for class, w := range weights {
		want := int(float64(rounds) * w / 13)
		assert.Assert(t, served[class] >= want-1 && served[class] <= want+1, "class %d: %d, want %d", class, served[class], want)
	}
}

// Guards against taking a burst of 50 ms for a standing queue, which refuses requests that
// could be served, and against staying in that state long after an overload is over.
func TestStandingQueueIsNoticedAndForgotten(t *testing.T) {
	var q Queue[int]
	// serve adds one item each millisecond and keeps so many waiting that each waits wait ms.
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
	assert.Assert(t, q.Standing(), "ended before RecoveryTime")
	serve(700, 900, 0)
	assert.Assert(t, !q.Standing())
}

// Guards against taking a pause of the VM or the server for overload. The requests that
// follow the pause find the server idle, but would be refused for half a second.
func TestAPauseMakesNoStandingQueue(t *testing.T) {
	var q Queue[int]
	serveOne := func(from, to int) {
		q.Push(at(from), &Item[int]{Rank: at(from), Deadline: at(10_000)})
		q.Pop(at(to))
	}
	serveOne(100, 400)
	assert.Assert(t, !q.Standing())
	serveOne(500, 800)
	assert.Assert(t, !q.Standing(), "two pauses with an idle queue between them")
	q.Push(at(1000), &Item[int]{Rank: at(1000), Deadline: at(10_000)})
	for ms := 1050; ms <= 1200; ms += 50 {
		q.Push(at(ms), &Item[int]{Rank: at(ms), Deadline: at(10_000)})
		q.Pop(at(ms))
	}
	assert.Assert(t, q.Standing(), "waits of 50 ms for longer than the interval")
}

// Guards against shedding the wrong items. The items of one class have random deadlines;
// those to shed are found by simulating service in order, where only items that stay take
// time.
func TestShedAgreesWithServingInOrder(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var q Queue[int]
		serviceTime := rapid.IntRange(1, 10).Draw(t, "each")
		var stay []int
		var want []int
		clock := 0
		for i := range rapid.IntRange(0, 40).Draw(t, "items") {
			deadline := rapid.IntRange(0, 200).Draw(t, "by")
			q.Push(start, &Item[int]{Value: i, Rank: at(i), Deadline: at(deadline)})
			if clock+serviceTime > deadline {
				want = append(want, i)
				continue
			}
			clock += serviceTime
			stay = append(stay, i)
		}
		var shed []int
		q.Shed(func(ahead float64, it *Item[int]) bool {
			return at(int(ahead+1) * serviceTime).After(it.Deadline)
		}, func(v int) { shed = append(shed, v) })
		assert.DeepEqual(t, shed, want)
		var left []int
		for it := q.Pop(start); it != nil; it = q.Pop(start) {
			left = append(left, it.Value)
		}
		assert.DeepEqual(t, left, stay)
	})
}

// Guards against refusing items for waits that they do not have: with two classes that
// share the service, Shed must count the items ahead as Ahead does.
func TestShedCountsAsAhead(t *testing.T) {
	var q Queue[int]
	items := make([]*Item[int], 12)
	for i := range items {
		items[i] = &Item[int]{Value: i, Class: uint8(i % 2), Rank: at(i), Deadline: at(1000)}
		q.Push(start, items[i])
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
