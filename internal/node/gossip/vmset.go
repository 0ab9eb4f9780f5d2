package gossip

import (
	"encoding/binary"
	"math/bits"
)

// vmSet is a bit set of VMs of a peer list, by their index in peerList.names.
type vmSet []uint64

// newSet returns an empty set for a list of n VMs.
func newSet(n int) vmSet { return make(vmSet, (n+63)/64) }

func (s vmSet) add(i int) { s[i/64] |= 1 << (i % 64) }

func (s vmSet) has(i int) bool { return i/64 < len(s) && s[i/64]>>(i%64)&1 == 1 }

func (s vmSet) union(o vmSet) {
	for i := range min(len(s), len(o)) {
		s[i] |= o[i]
	}
}

func (s vmSet) intersect(o vmSet) {
	for i := range s {
		if i < len(o) {
			s[i] &= o[i]
		} else {
			s[i] = 0
		}
	}
}

// countMissing returns the number of members that are not in o.
func (s vmSet) countMissing(o vmSet) (n int) {
	for i := range min(len(s), len(o)) {
		n += bits.OnesCount64(s[i] &^ o[i])
	}
	return n
}

func (s vmSet) count() (n int) {
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Encodings of a set; the first byte states which one is used.
const (
	encodedBits  = 0 // one bit per VM
	encodedGaps  = 1 // distances between members
	encodedHoles = 2 // distances between VMs that are not members

	maxVMs = 1 << 12 // longest list for which a set is decoded
)

// encode returns the shortest encoding of the set over a list of n VMs. A full set
// takes one byte, as the set of responders nearly always is.
func (s vmSet) encode(n int) []byte {
	best := []byte{encodedBits}
	for i := 0; i < n; i += 8 {
		best = append(best, byte(s[i/64]>>(i%64)))
	}
	for _, way := range []byte{encodedGaps, encodedHoles} {
		if b := s.encodeGaps(n, way); len(b) < len(best) {
			best = b
		}
	}
	return best
}

// encodeGaps encodes the distances between members, or between the others for
// encodedHoles.
func (s vmSet) encodeGaps(n int, way byte) []byte {
	b := []byte{way}
	next := 0
	for i := range n {
		if s.has(i) == (way == encodedGaps) {
			b = binary.AppendUvarint(b, uint64(i-next))
			next = i + 1
		}
	}
	return b
}

// decodeSet decodes a set over a list of n VMs. It reports false for anything that
// encode does not produce.
func decodeSet(b []byte, n int) (vmSet, bool) {
	if len(b) == 0 || n > maxVMs {
		return nil, false
	}
	way, b := b[0], b[1:]
	s := newSet(n)
	switch way {
	case encodedBits:
		return s, s.readBits(b, n)
	case encodedGaps, encodedHoles:
		if !s.readGaps(b, n) {
			return nil, false
		}
		if way == encodedHoles {
			s.flip(n)
		}
		return s, true
	}
	return nil, false
}

func (s vmSet) readBits(b []byte, n int) bool {
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

func (s vmSet) readGaps(b []byte, n int) bool {
	at := 0
	for len(b) > 0 {
		gap, w := binary.Uvarint(b)
		if w <= 0 || gap > maxVMs || at+int(gap) >= n {
			return false
		}
		at += int(gap)
		s.add(at)
		at++
		b = b[w:]
	}
	return true
}

func (s vmSet) flip(n int) {
	for i := range s {
		s[i] = ^s[i]
	}
	if n%64 != 0 {
		s[len(s)-1] &= 1<<(n%64) - 1
	}
}
