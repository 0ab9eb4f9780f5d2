// Package delta encodes a value as its difference from an older one.
//
// Rules and slice tables are up to a megabyte long and change in a few places.
// Sending them whole to every entry VM at each change would exceed the 5 KB/s that
// a VM may spend on control traffic; a difference costs some tens of bytes. Blocks
// of the old value are found anywhere in the new one, so the format of the value
// does not matter.
package delta

import (
	"encoding/binary"
	"math"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// blockSize is the length in bytes of the pieces that are looked up in the old
// value. Smaller blocks also match between changes that are close together, but
// cost more memory.
const blockSize = 16

// MaxSize is the longest value in bytes that Apply builds. It keeps a malicious
// difference from using more memory than a valid value.
const MaxSize = 1 << 20

// Diff returns the difference that turns old into fresh: a sequence of literal
// runs and of copies from old.
func Diff(old, fresh []byte) []byte {
	d := differ{old: old, fresh: fresh, index: indexOf(old)}
	for d.pos < len(fresh) {
		if !d.copyRun() {
			d.pos++
		}
	}
	d.flush()
	return d.out
}

// differ builds a difference.
type differ struct {
	old, fresh   []byte
	index        map[[blockSize]byte]int
	out          []byte
	literalStart int // start of the literal bytes that are not written yet
	pos          int
	copyEnd      int // end of the last copy in old, near which the next one is likely
}

func indexOf(old []byte) map[[blockSize]byte]int {
	index := make(map[[blockSize]byte]int, len(old)/blockSize)
	for i := 0; i+blockSize <= len(old); i += blockSize {
		key := [blockSize]byte(old[i:])
		if _, ok := index[key]; !ok {
			index[key] = i
		}
	}
	return index
}

// copyRun writes a copy if a block of old matches at pos, and reports whether it
// did.
func (d *differ) copyRun() bool {
	if len(d.fresh)-d.pos < blockSize {
		return false
	}
	src, ok := d.find()
	if !ok {
		return false
	}
	start := d.pos
	for start > d.literalStart && src > 0 && d.old[src-1] == d.fresh[start-1] {
		start--
		src--
	}
	n := commonPrefix(d.old[src:], d.fresh[start:])
	d.pos = start
	d.flush()
	d.out = binary.AppendUvarint(d.out, uint64(n)<<1|1)
	d.out = binary.AppendUvarint(d.out, uint64(src))
	d.pos = start + n
	d.literalStart = d.pos
	d.copyEnd = src + n
	return true
}

// find returns the position in old of the block at pos. It tries the position that
// follows the last copy and the pending literal bytes first, then the index.
func (d *differ) find() (int, bool) {
	want := [blockSize]byte(d.fresh[d.pos:])
	skipped := d.copyEnd + d.pos - d.literalStart
	if skipped+blockSize <= len(d.old) && [blockSize]byte(d.old[skipped:]) == want {
		return skipped, true
	}
	src, ok := d.index[want]
	return src, ok
}

// flush writes the pending literal bytes before pos.
func (d *differ) flush() {
	if run := d.fresh[d.literalStart:d.pos]; len(run) > 0 {
		d.out = binary.AppendUvarint(d.out, uint64(len(run))<<1)
		d.out = append(d.out, run...)
	}
	d.literalStart = d.pos
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Apply turns old into the newer value. It fails with kind Malformed if the
// difference does not fit old; the caller must verify the result by its digest.
func Apply(old, diff []byte) ([]byte, error) {
	var out []byte
	for len(diff) > 0 {
		head, w := binary.Uvarint(diff)
		if w <= 0 || head>>1 > MaxSize || len(out)+int(head>>1) > MaxSize {
			return nil, errMismatch
		}
		diff = diff[w:]
		n, src := int(head>>1), diff
		if head&1 == 1 {
			from, w := binary.Uvarint(diff)
			if w <= 0 || from > math.MaxInt32 || int(from) > len(old) {
				return nil, errMismatch
			}
			src = old[from:]
			diff = diff[w:]
		}
		if n > len(src) {
			return nil, errMismatch
		}
		out = append(out, src[:n]...)
		if head&1 == 0 {
			diff = diff[n:]
		}
	}
	return out, nil
}

var errMismatch = kinds.New(kinds.Malformed, "difference does not fit the old value")
