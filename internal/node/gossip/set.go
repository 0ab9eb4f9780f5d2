package gossip

import (
	"encoding/binary"
	"math/bits"
)

// set is some of the VMs of a list, by their place in it.
type set []uint64

func newSet(n int) set { return make(set, (n+63)/64) }

func (s set) add(i int) { s[i/64] |= 1 << (i % 64) }

func (s set) has(i int) bool { return i/64 < len(s) && s[i/64]>>(i%64)&1 == 1 }

func (s set) join(o set) {
	for i := range min(len(s), len(o)) {
		s[i] |= o[i]
	}
}

func (s set) keep(o set) {
	for i := range s {
		if i < len(o) {
			s[i] &= o[i]
		} else {
			s[i] = 0
		}
	}
}

// less counts those that are not in the other.
func (s set) less(o set) (n int) {
	for i := range min(len(s), len(o)) {
		n += bits.OnesCount64(s[i] &^ o[i])
	}
	return n
}

func (s set) count() (n int) {
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Ways of writing a set down, the first byte of it.
const (
	byBits   = 0 // a bit for each place
	byGaps   = 1 // the distances between those in it
	byHoles  = 2 // the distances between those not in it
	maxPlace = 1 << 12
)

// pack writes the set of a list of n in the shortest way. A set that is full, as
// that of all VMs nearly always is, takes one byte.
func (s set) pack(n int) []byte {
	best := []byte{byBits}
	for i := 0; i < n; i += 8 {
		best = append(best, byte(s[i/64]>>(i%64)))
	}
	for _, way := range []byte{byGaps, byHoles} {
		if b := s.gaps(n, way); len(b) < len(best) {
			best = b
		}
	}
	return best
}

func (s set) gaps(n int, way byte) []byte {
	b := []byte{way}
	next := 0
	for i := range n {
		if s.has(i) == (way == byGaps) {
			b = binary.AppendUvarint(b, uint64(i-next))
			next = i + 1
		}
	}
	return b
}

// unpack reads a set of a list of n. It reports false for anything that pack
// does not write.
func unpack(b []byte, n int) (set, bool) {
	if len(b) == 0 || n > maxPlace {
		return nil, false
	}
	way, b := b[0], b[1:]
	s := newSet(n)
	switch way {
	case byBits:
		return s, s.readBits(b, n)
	case byGaps, byHoles:
		if !s.readGaps(b, n) {
			return nil, false
		}
		if way == byHoles {
			s.flip(n)
		}
		return s, true
	}
	return nil, false
}

func (s set) readBits(b []byte, n int) bool {
	if len(b) != (n+7)/8 {
		return false
	}
	for i := range n {
		if b[i/8]>>(i%8)&1 == 1 {
			s.add(i)
		}
	}
	return true
}

func (s set) readGaps(b []byte, n int) bool {
	at := 0
	for len(b) > 0 {
		gap, w := binary.Uvarint(b)
		if w <= 0 || gap > maxPlace || at+int(gap) >= n {
			return false
		}
		at += int(gap)
		s.add(at)
		at++
		b = b[w:]
	}
	return true
}

func (s set) flip(n int) {
	for i := range s {
		s[i] = ^s[i]
	}
	if n%64 != 0 {
		s[len(s)-1] &= 1<<(n%64) - 1
	}
}
