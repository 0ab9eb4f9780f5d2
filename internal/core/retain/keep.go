// Package retain says what the journal keeps of the requests under a rule.
//
// The pattern it answers is thousands of lookups a second on each entry VM
// against a store that all of them share: at 2,500 a second and VM their journal
// alone would be fifteen times a VM's whole budget of control traffic. Without a
// choice the journal drops what comes last, whatever it is. With one, an operator
// says for each rule what an auditor will ask for, and what was left out is
// counted under its rule.
package retain

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Policy is one choice. The empty one counts as All.
type Policy string

// The choices, and "1/n", which is Sample(n).
const (
	// All keeps every decision.
	All Policy = "all"
	// Submissions keeps every request whose method is not a safe one, and of the
	// others those that did not end as a plain answer.
	Submissions Policy = "submissions"
	// None keeps nothing.
	None Policy = "none"
)

// MaxSample bounds n of a sample. Fewer than one key in a million is none.
const MaxSample = 1_000_000

const sampleMark = "1/"

// Sample keeps the requests of one key in n: all of them or none, so that the
// history of a key that is found is whole. Which keys is the same on every VM
// and in every version of the program.
func Sample(n uint64) Policy { return Policy(sampleMark + strconv.FormatUint(n, 10)) }

// Check fails with kind Malformed for a word that is none of the choices.
func (w Policy) Check() error {
	switch w {
	case "", All, Submissions, None:
		return nil
	}
	if w.Sampled() {
		return nil
	}
	return kinds.New(kinds.Malformed, `is all, submissions, none, or "1/n" with n from 2 to `+strconv.Itoa(MaxSample))
}

// RetainsAll reports whether nothing is left out.
func (w Policy) RetainsAll() bool { return w == "" || w == All }

// Sampled reports whether keys are chosen.
func (w Policy) Sampled() bool { return w.n() != 0 }

// n is of a sample, zero for other words and for samples out of bounds.
func (w Policy) n() uint64 {
	digits, ok := strings.CutPrefix(string(w), sampleMark)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n < 2 || n > MaxSample || digits[0] == '0' {
		return 0
	}
	return n
}

// Case is what the choice looks at.
type Case struct {
	Key       ident.Key
	Safe      bool // the method asks for nothing to be changed: GET, HEAD, OPTIONS
	Succeeded bool // it ended as the caller wished: not refused, not unknown, no 5xx
}

// Retains reports whether a request is kept. A word that is no choice, of a newer
// program, keeps everything: too much in the journal is noticed, too little
// isn't. So does a sample for a request that was refused before its key was
// read.
func (w Policy) Retains(c Case) bool {
	switch w {
	case Submissions:
		return !c.Safe || !c.Succeeded
	case None:
		return false
	}
	return !w.Sampled() || c.Key == "" || w.RetainsKey(c.Key)
}

// RetainsKey reports whether every request of a key is kept.
func (w Policy) RetainsKey(key ident.Key) bool {
	n := w.n()
	return w.RetainsAll() || n != 0 && spread(key)%n == 0
}

// spread hashes a key apart from how slices do. By the slices' own hash a sample
// of one in 64 would be every 64th slice: the keys of a few servers and none of
// the others.
func spread(key ident.Key) uint64 {
	x := xxhash.Sum64String(string(key))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
