// Package retain decides which requests of a rule the journal retains.
//
// Each entry VM may serve thousands of lookups a second, while all VMs share one
// object store: at 2,500 lookups a second per VM, their journal alone would take
// fifteen times a VM's whole budget for control traffic. Without a policy the
// journal drops the latest entries, whatever they are. With one, an operator says
// for each rule which requests an auditor will ask for, and the omitted requests
// are counted per rule.
package retain

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Policy says which requests are retained. The empty policy means All.
type Policy string

// The policies, besides "1/n", which [Sample] returns.
const (
	// All retains every request.
	All Policy = "all"
	// Submissions retains every request with an unsafe method, and those with a
	// safe method that did not succeed.
	Submissions Policy = "submissions"
	// None retains nothing.
	None Policy = "none"
)

// MaxSample is the largest n of a sample. Less than one key in a million is
// practically none.
const MaxSample = 1_000_000

const samplePrefix = "1/"

// Sample returns the policy that retains the requests of one key in n. All requests
// of a key are retained or none, so the history of a retained key is complete.
// Every VM and every version of the program selects the same keys.
func Sample(n uint64) Policy { return Policy(samplePrefix + strconv.FormatUint(n, 10)) }

// Check returns an error of kind Malformed if the policy is unknown.
func (p Policy) Check() error {
	switch p {
	case "", All, Submissions, None:
		return nil
	}
	if p.Sampled() {
		return nil
	}
	return kinds.New(kinds.Malformed, `is all, submissions, none, or "1/n" with n from 2 to `+strconv.Itoa(MaxSample))
}

// RetainsAll reports whether every request is retained.
func (p Policy) RetainsAll() bool { return p == "" || p == All }

// Sampled reports whether the policy is a sample of keys.
func (p Policy) Sampled() bool { return p.sampleDivisor() != 0 }

// sampleDivisor returns the n of a sample "1/n", and 0 for other policies and for
// samples out of bounds.
func (p Policy) sampleDivisor() uint64 {
	digits, ok := strings.CutPrefix(string(p), samplePrefix)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n < 2 || n > MaxSample || digits[0] == '0' {
		return 0
	}
	return n
}

// Case holds the properties of a request that a policy depends on.
type Case struct {
	Key       ident.Key
	Safe      bool // the method is safe (changes nothing): GET, HEAD, OPTIONS
	Succeeded bool // it was not refused, its outcome is known, and it has no 5xx status
}

// Retains reports whether a request is retained. An unknown policy, set by a newer
// version of the program, retains everything: too much in the journal is noticed,
// too little is not. A sample also retains requests without a key, which were
// refused before their key was read.
func (p Policy) Retains(c Case) bool {
	switch p {
	case Submissions:
		return !c.Safe || !c.Succeeded
	case None:
		return false
	}
	return !p.Sampled() || c.Key == "" || p.RetainsKey(c.Key)
}

// RetainsKey reports whether every request of a key is retained.
func (p Policy) RetainsKey(key ident.Key) bool {
	n := p.sampleDivisor()
	return p.RetainsAll() || n != 0 && sampleHash(key)%n == 0
}

// sampleHash hashes a key independently of ident.SliceOf. With the hash of the
// slices, a sample of 1 in 64 would be every 64th slice: all keys of a few servers
// and none of the others.
func sampleHash(key ident.Key) uint64 {
	x := xxhash.Sum64String(string(key))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
