package fair

import "math/bits"

// slot is an entry of the hash table; not to be confused with a server's slots.
type slot struct {
	flow Flow    // zero when the slot is empty
	due  float64 // debt of the flow plus Debts.paid; no debt is left when it is at most paid
}

// flows is a hash table with open addressing, at most half full. It is looked up four times
// for each request under overload; a Go map with a ring buffer took a third of the time of
// admission. The zero value is empty.
type flows struct {
	slots  []slot // their number is a power of two
	n      int    // number of flows
	cursor int    // index of the next slot to examine for removal
}

// initialSlots holds 64 flows before any is removed, more than the fifty for which an equal
// share is MinRateShare.
const initialSlots = 128

// homeSlot returns the preferred index of a flow: the high bits of its product with 2^64
// divided by the golden ratio, because flows may be small numbers.
func (t *flows) homeSlot(f Flow) int {
	const golden = 0x9E3779B97F4A7C15
	return int(uint64(f) * golden >> (64 - bits.TrailingZeros(uint(len(t.slots)))))
}

func (t *flows) next(i int) int { return (i + 1) & (len(t.slots) - 1) }

// find returns the slot of a flow, nil if it is not in the table.
func (t *flows) find(f Flow) *slot {
	if t.n == 0 {
		return nil
	}
	for i := t.homeSlot(f); t.slots[i].flow != 0; i = t.next(i) {
		if t.slots[i].flow == f {
			return &t.slots[i]
		}
	}
	return nil
}

// full reports whether the table must grow before another flow is added.
func (t *flows) full() bool { return 2*(t.n+1) > len(t.slots) }

// add returns a slot for a flow that is not in the table. Slots returned before become
// invalid.
func (t *flows) add(f Flow) *slot {
	if t.full() {
		t.grow()
	}
	i := t.homeSlot(f)
	for t.slots[i].flow != 0 {
		i = t.next(i)
	}
	t.slots[i] = slot{flow: f}
	t.n++
	return &t.slots[i]
}

func (t *flows) grow() {
	old := t.slots
	t.slots, t.n, t.cursor = make([]slot, max(2*len(old), initialSlots)), 0, 0
	for _, s := range old {
		if s.flow != 0 {
			t.add(s.flow).due = s.due
		}
	}
}

// removePaid examines the next count slots and removes the flows without debt.
func (t *flows) removePaid(count int, paid float64) {
	for range min(count, len(t.slots)) {
		if s := t.slots[t.cursor]; s.flow != 0 && s.due <= paid {
			t.remove(t.cursor) // another flow may have moved here, it is examined next
			continue
		}
		t.cursor = t.next(t.cursor)
	}
}

// evictNext removes the next flow, whatever its debt. The table must not be empty.
func (t *flows) evictNext() {
	for t.slots[t.cursor].flow == 0 {
		t.cursor = t.next(t.cursor)
	}
	t.remove(t.cursor)
	t.cursor = t.next(t.cursor)
}

// remove empties a slot and moves up the flows behind it that would otherwise not be found,
// since a search ends at the first empty slot.
func (t *flows) remove(i int) {
	t.n--
	for j := t.next(i); t.slots[j].flow != 0; j = t.next(j) {
		home := t.homeSlot(t.slots[j].flow)
		if (j-home)&(len(t.slots)-1) >= (j-i)&(len(t.slots)-1) {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot{}
}
