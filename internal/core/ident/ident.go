// Package ident holds the small typed names that every other package shares:
// who a VM, a data centre, a caller or a backend server is, which slice a key
// hashes to, and the numbers (epoch, fence, revision) that only ever rise.
//
// It imports nothing of the module, so any package may import it.
package ident

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Service names one group of interchangeable backend servers, for example
// "lookup" or "sanction".
type Service string

// Server names one backend server. Names are unique within the platform.
type Server string

// VM names one entry VM. A replacement VM always gets a new name: a name that
// has once been listed as gone never comes back.
type VM string

// Centre names a data centre.
type Centre string

// Region names a group of data centres that are close to each other.
type Region string

// Caller names who sent a request, as the front end identified it.
type Caller string

// Key is what a divided service owns exclusively, for example a scale or a
// ward.
type Key string

// Request is the identifier under which a caller may repeat a request that is
// not idempotent.
type Request string

// Slice is one of the equal parts that a service's keys hash to.
type Slice uint32

// Epoch numbers the successive holders of one authority. It only rises.
type Epoch uint64

// Revision numbers the accepted versions of a configuration. It only rises.
type Revision uint64

// Fence orders every grant ever given for one backend server. A backend server
// that checks fences refuses any order below the highest it has seen.
//
// The epoch comes first: whoever took over last wins over every order of its
// predecessors, however many they sent.
type Fence struct {
	Epoch Epoch  `cbor:"epoch" json:"epoch"`
	Seq   uint64 `cbor:"seq" json:"seq"`
}

// Compare orders two fences: negative when f is older than o.
func (f Fence) Compare(o Fence) int {
	return cmp.Or(cmp.Compare(f.Epoch, o.Epoch), cmp.Compare(f.Seq, o.Seq))
}

// Less reports whether f is older than o.
func (f Fence) Less(o Fence) bool { return f.Compare(o) < 0 }

// String renders the fence as "epoch.seq", the form used in headers and logs.
func (f Fence) String() string {
	const most = 41 // two numbers of 20 digits and the dot
	b := strconv.AppendUint(make([]byte, 0, most), uint64(f.Epoch), 10)
	return string(strconv.AppendUint(append(b, '.'), f.Seq, 10))
}

// SliceOf hashes a key to one of n slices. The hash is xxHash64, which is
// fixed by its specification: two versions of the program agree on it.
// It returns slice 0 when n is zero.
func SliceOf(k Key, n uint32) Slice {
	if n == 0 {
		return 0
	}
	return Slice(xxhash.Sum64String(string(k)) % uint64(n))
}
