// Package delta expresses a value as its difference from an older one.
//
// Rules and slice tables are up to a megabyte long and change in a few places.
// Sent whole to every entry VM at each change they would use up the 5 KB/s that
// a VM may spend on control traffic; sent as differences they cost some tens of
// bytes. The difference is found over blocks of the old value that stand
// anywhere in the new one, so it needs no knowledge of the format.
package delta

import (
	"encoding/binary"
	"math"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// block is the length of the pieces that are looked up in the old value.
// Shorter ones find smaller gaps between changes and cost more memory.
const block = 16

// MaxSize is the longest value that Apply builds, in bytes. It keeps a hostile
// difference from costing more memory than an honest value.
const MaxSize = 1 << 20

// Diff returns the difference that turns old into fresh.
func Diff(old, fresh []byte) []byte {
	d := differ{old: old, fresh: fresh, index: indexOf(old)}
	for d.at < len(fresh) {
		if !d.copyRun() {
			d.at++
		}
	}
	d.flush()
	return d.out
}

type differ struct {
	old, fresh []byte
	index      map[[block]byte]int
	out        []byte
	from       int // start of the literal run that is not written yet
	at         int
	last       int // end of the last copy in old, the likely place of the next
}

func indexOf(old []byte) map[[block]byte]int {
	index := make(map[[block]byte]int, len(old)/block)
	for i := 0; i+block <= len(old); i += block {
		key := [block]byte(old[i:])
		if _, ok := index[key]; !ok {
			index[key] = i
		}
	}
	return index
}

// copyRun writes a copy if one begins at the present place.
func (d *differ) copyRun() bool {
	if len(d.fresh)-d.at < block {
		return false
	}
	src, ok := d.find()
	if !ok {
		return false
	}
	start := d.at
	for start > d.from && src > 0 && d.old[src-1] == d.fresh[start-1] {
		start--
		src--
	}
	n := common(d.old[src:], d.fresh[start:])
	d.at = start
	d.flush()
	d.out = binary.AppendUvarint(d.out, uint64(n)<<1|1)
	d.out = binary.AppendUvarint(d.out, uint64(src))
	d.at = start + n
	d.from = d.at
	d.last = src + n
	return true
}

// find looks where the last copy ended, a little beyond, and in the index.
func (d *differ) find() (int, bool) {
	want := [block]byte(d.fresh[d.at:])
	skipped := d.last + d.at - d.from
	if skipped+block <= len(d.old) && [block]byte(d.old[skipped:]) == want {
		return skipped, true
	}
	src, ok := d.index[want]
	return src, ok
}

// flush writes the literal run before the present place.
func (d *differ) flush() {
	if run := d.fresh[d.from:d.at]; len(run) > 0 {
		d.out = binary.AppendUvarint(d.out, uint64(len(run))<<1)
		d.out = append(d.out, run...)
	}
	d.from = d.at
}

func common(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Apply turns old into the newer value. It fails with kind Malformed when the
// difference does not fit; that the outcome is right is for the caller to check
// by its digest.
func Apply(old, diff []byte) ([]byte, error) {
	var out []byte
	for len(diff) > 0 {
		head, w := binary.Uvarint(diff)
		if w <= 0 || head>>1 > MaxSize || len(out)+int(head>>1) > MaxSize {
			return nil, errBad
		}
		diff = diff[w:]
		n, src := int(head>>1), diff
		if head&1 == 1 {
			from, w := binary.Uvarint(diff)
			if w <= 0 || from > math.MaxInt32 || int(from) > len(old) {
				return nil, errBad
			}
			src = old[from:]
			diff = diff[w:]
		}
		if n > len(src) {
			return nil, errBad
		}
		out = append(out, src[:n]...)
		if head&1 == 0 {
			diff = diff[n:]
		}
	}
	return out, nil
}

var errBad = kinds.New(kinds.Malformed, "a difference that does not fit")
