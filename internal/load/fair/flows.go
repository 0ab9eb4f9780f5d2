package fair

import "math/bits"

// slot is what is remembered of one flow.
type slot struct {
	flow Flow    // zero when the slot is empty
	due  float64 // debt plus paid
}

// flows is a hash table with open addressing, at most half full. It is looked
// into four times for each request under overload; a map with a ring beside it,
// which was used first, took a third of the time of admission. The zero value is
// empty.
type flows struct {
	slots []slot // a power of two
	n     int
	hand  int // the next slot to be looked at, to forget its flow
}

// firstSlots holds 64 flows before any is forgotten, so that a book can tell few
// from the fifty among which Least is an equal share.
const firstSlots = 128

// home is where a flow belongs if nobody is there: the high bits of its product
// with 2^64 over the golden ratio, because flows may be small numbers.
func (t *flows) home(f Flow) int {
	const golden = 0x9E3779B97F4A7C15
	return int(uint64(f) * golden >> (64 - bits.TrailingZeros(uint(len(t.slots)))))
}

func (t *flows) after(i int) int { return (i + 1) & (len(t.slots) - 1) }

// find returns the flow's slot, nil if it is not remembered.
func (t *flows) find(f Flow) *slot {
	if t.n == 0 {
		return nil
	}
	for i := t.home(f); t.slots[i].flow != 0; i = t.after(i) {
		if t.slots[i].flow == f {
			return &t.slots[i]
		}
	}
	return nil
}

// full reports whether the table must grow before another flow is added.
func (t *flows) full() bool { return 2*(t.n+1) > len(t.slots) }

// add gives a slot to a flow that has none. Slots that were returned before are
// no longer valid.
func (t *flows) add(f Flow) *slot {
	if t.full() {
		t.grow()
	}
	i := t.home(f)
	for t.slots[i].flow != 0 {
		i = t.after(i)
	}
	t.slots[i] = slot{flow: f}
	t.n++
	return &t.slots[i]
}

func (t *flows) grow() {
	old := t.slots
	t.slots, t.n, t.hand = make([]slot, max(2*len(old), firstSlots)), 0, 0
	for _, s := range old {
		if s.flow != 0 {
			t.add(s.flow).due = s.due
		}
	}
}

// forget looks at so many slots and empties those whose flows owe nothing.
func (t *flows) forget(look int, paid float64) {
	for range min(look, len(t.slots)) {
		if s := t.slots[t.hand]; s.flow != 0 && s.due <= paid {
			t.remove(t.hand) // another may have moved here, and is looked at next
			continue
		}
		t.hand = t.after(t.hand)
	}
}

// drop empties the next slot that has a flow.
func (t *flows) drop() {
	for t.slots[t.hand].flow == 0 {
		t.hand = t.after(t.hand)
	}
	t.remove(t.hand)
	t.hand = t.after(t.hand)
}

// remove empties a slot and moves those up that stand behind it because of it:
// a search ends at the first empty slot.
func (t *flows) remove(i int) {
	t.n--
	for j := t.after(i); t.slots[j].flow != 0; j = t.after(j) {
		home := t.home(t.slots[j].flow)
		if (j-home)&(len(t.slots)-1) >= (j-i)&(len(t.slots)-1) {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot{}
}
