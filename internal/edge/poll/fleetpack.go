package poll

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// Samples and entries are sent as columns of small numbers, each as many bits wide as its
// greatest needs. As JSON, a list of 128 entries has 16 KB, several times a second, where all
// control traffic of a VM may take 5 KB/s. Servers are referred to by numbers that the leader
// gives them, and ages, times and rates are rounded to a fraction of an octave.

// Steps of the rounded values.
const (
	agesPerOctave  = 4 // ages are rounded up, by at most 19 %
	ratesPerOctave = 8 // rates and service times are rounded to 4 %
	// leastRate is the unit of rates, in requests per second.
	leastRate = 0.01
)

// maxRows bounds the rows of a message of another VM.
const maxRows = 2048

// upCode returns the number of the step at or above v, which is in units of the least value;
// zero if there is no value.
func upCode(v float64, perOctave int) uint32 {
	if v <= 0 {
		return 0
	}
	const tolerance = 1e-9 // of the logarithm, so that a step's own value stays in it
	return uint32(max(math.Ceil(math.Log2(v)*float64(perOctave)-tolerance), 0)) + 1
}

// nearCode is upCode for the nearest step.
func nearCode(v float64, perOctave int) uint32 {
	if v <= 0 {
		return 0
	}
	return uint32(max(math.Round(math.Log2(v)*float64(perOctave)), 0)) + 1
}

func codeValue(code uint32, perOctave int) float64 {
	if code == 0 {
		return 0
	}
	return math.Exp2(float64(min(code, 1<<10)-1) / float64(perOctave))
}

// differenceCode encodes a step by its difference from another one, which is small for values
// that are mostly equal.
func differenceCode(code, from uint32) uint32 {
	d := int32(code) - int32(from)
	return uint32(d<<1) ^ uint32(d>>31)
}

// addDifference returns the step that differenceCode has encoded.
func addDifference(from, difference uint32) uint32 {
	return uint32(max(int32(from)+(int32(difference>>1)^-int32(difference&1)), 0))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ageCode(d time.Duration) uint32 { return upCode(millis(d), agesPerOctave) }

func workCode(d time.Duration) uint32 { return nearCode(millis(d), ratesPerOctave) }

func durationOf(code uint32, perOctave int) time.Duration {
	const longest = float64(time.Hour)
	return time.Duration(min(codeValue(code, perOctave)*float64(time.Millisecond), longest))
}

// maxCount bounds a count that is sent.
const maxCount = 1 << 20

func count(n int) uint32 { return uint32(min(max(n, 0), maxCount)) }

// packRows encodes rows of numbers of the same length column by column.
func packRows(rows [][]uint32, columns int) []byte {
	if len(rows) == 0 {
		return nil
	}
	out := binary.AppendUvarint(nil, uint64(len(rows)))
	var w bitWriter
	for c := range columns {
		least, most := rows[0][c], rows[0][c]
		for _, r := range rows {
			least, most = min(least, r[c]), max(most, r[c])
		}
		width := bits.Len32(most - least)
		out = append(binary.AppendUvarint(out, uint64(least)), byte(width))
		for _, r := range rows {
			w.write(r[c]-least, width)
		}
	}
	return append(out, w.finish()...)
}

// unpackRows decodes what packRows has encoded. It returns nil for anything else.
func unpackRows(b []byte, columns int) [][]uint32 {
	n, size := binary.Uvarint(b)
	if size <= 0 || n == 0 || n > maxRows {
		return nil
	}
	b = b[size:]
	type column struct {
		least uint32
		width int
	}
	heads := make([]column, columns)
	total := 0
	for c := range heads {
		least, size := binary.Uvarint(b)
		if size <= 0 || len(b) <= size || least > math.MaxUint32 || b[size] > 32 {
			return nil
		}
		heads[c] = column{uint32(least), int(b[size])}
		total += heads[c].width * int(n)
		b = b[size+1:]
	}
	if len(b) != (total+7)/8 {
		return nil
	}
	rows := make([][]uint32, n)
	cells := make([]uint32, int(n)*columns)
	for i := range rows {
		rows[i] = cells[i*columns : (i+1)*columns]
	}
	r := bitReader{in: b}
	for c, head := range heads {
		for i := range rows {
			rows[i][c] = head.least + r.read(head.width)
		}
	}
	return rows
}

// bitWriter packs numbers of any width, the lowest bit first.
type bitWriter struct {
	out  []byte
	rest uint64
	n    int
}

func (w *bitWriter) write(v uint32, width int) {
	w.rest |= uint64(v) << w.n
	for w.n += width; w.n >= 8; w.n -= 8 {
		w.out = append(w.out, byte(w.rest))
		w.rest >>= 8
	}
}

func (w *bitWriter) finish() []byte {
	if w.n > 0 {
		w.out = append(w.out, byte(w.rest))
	}
	return w.out
}

// bitReader reads what a bitWriter has written.
type bitReader struct {
	in   []byte
	rest uint64
	n    int
}

func (r *bitReader) read(width int) uint32 {
	for r.n < width {
		r.rest |= uint64(r.in[0]) << r.n
		r.in = r.in[1:]
		r.n += 8
	}
	v := uint32(r.rest & (1<<width - 1))
	r.rest >>= width
	r.n -= width
	return v
}

// Columns of samples and entries. The first one is the server's number, less that of the row
// before: rows are in the order of their numbers.
const (
	sampleColumns = 10
	entryColumns  = 7
)

// numbered is a row of a server with a number.
type numbered[T any] struct {
	n    uint32
	item T
}

// byNumber returns the items whose servers have a number in that order, and the others.
func byNumber[T any](all []T, process func(*T) ident.Process, numbers map[uint32]uint32) (with []numbered[T], without []T) {
	for _, item := range all {
		n, ok := numbers[nameOf(process(&item))]
		if !ok {
			without = append(without, item)
			continue
		}
		with = append(with, numbered[T]{n, item})
	}
	slices.SortFunc(with, func(x, y numbered[T]) int { return cmp.Compare(x.n, y.n) })
	return with, without
}

// packSamples encodes the samples of servers with a number, and returns them and the others.
func packSamples(all []fleet.Sample, numbers map[uint32]uint32) (b []byte, packed, without []fleet.Sample) {
	with, without := byNumber(all, (*fleet.Sample).Process, numbers)
	rows := make([][]uint32, 0, len(with))
	last := uint32(0)
	for _, x := range with {
		s := &x.item
		packed = append(packed, *s)
		mean := s.Work / time.Duration(max(s.Answered, 1))
		rows = append(rows, []uint32{
			x.n - last, count(s.Sent), count(s.Offered), count(s.Answered), workCode(mean),
			count(s.Load), ageCode(s.LoadAge), ageCode(s.ServedAge), count(s.Refused), count(s.Silent),
		})
		last = x.n
	}
	return packRows(rows, sampleColumns), packed, without
}

func unpackSamples(b []byte, names []uint32, index FleetIndex) []fleet.Sample {
	var all []fleet.Sample
	n := uint64(0)
	for _, r := range unpackRows(b, sampleColumns) {
		if n += uint64(r[0]); n >= uint64(len(names)) {
			break
		}
		p, ok := index.find(names[n])
		if !ok {
			continue
		}
		s := fleet.Sample{
			Server: p.Server, Incarnation: p.Incarnation,
			Sent: int(min(r[1], maxCount)), Offered: int(min(r[2], maxCount)), Answered: int(min(r[3], maxCount)),
			Load: int(min(r[5], maxCount)), LoadAge: durationOf(r[6], agesPerOctave), ServedAge: durationOf(r[7], agesPerOctave),
			Refused: int(min(r[8], maxCount)), Silent: int(min(r[9], maxCount)),
		}
		s.Work = time.Duration(s.Answered) * durationOf(r[4], ratesPerOctave)
		all = append(all, s)
	}
	return all
}

// packEntries encodes the entries of servers with a number.
func packEntries(all []fleet.Entry, numbers map[uint32]uint32) []byte {
	with, _ := byNumber(all, (*fleet.Entry).Process, numbers)
	rows := make([][]uint32, 0, len(with))
	last := uint32(0)
	for _, x := range with {
		e := &x.item
		sent := nearCode(e.Sent/leastRate, ratesPerOctave)
		rows = append(rows, []uint32{
			x.n - last, count(e.Load), ageCode(e.LoadAge), ageCode(e.ServedAge),
			sent, differenceCode(nearCode(e.Offered/leastRate, ratesPerOctave), sent), workCode(e.Work),
		})
		last = x.n
	}
	return packRows(rows, entryColumns)
}

func unpackEntries(b []byte, names []uint32, index FleetIndex) []fleet.Entry {
	var all []fleet.Entry
	n := uint64(0)
	for _, r := range unpackRows(b, entryColumns) {
		if n += uint64(r[0]); n >= uint64(len(names)) {
			break
		}
		p, ok := index.find(names[n])
		if !ok {
			continue
		}
		all = append(all, fleet.Entry{
			Server: p.Server, Incarnation: p.Incarnation,
			Load: int(min(r[1], maxCount)), LoadAge: durationOf(r[2], agesPerOctave), ServedAge: durationOf(r[3], agesPerOctave),
			Sent: codeValue(r[4], ratesPerOctave) * leastRate, Offered: codeValue(addDifference(r[4], r[5]), ratesPerOctave) * leastRate, Work: durationOf(r[6], ratesPerOctave),
		})
	}
	return all
}
