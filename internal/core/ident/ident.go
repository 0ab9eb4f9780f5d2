// Package ident defines the identifier types that all other packages share: the
// names of VMs, data centres, callers and backend servers, the slice that a key
// hashes to, and the numbers (epoch, fence, revision) that only increase.
//
// It imports no other package of the module, so any package may import it.
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

// Process identifies one process of a backend server. A server that starts again may keep
// its name; what it did before says nothing about the new process.
type Process struct {
	Server Server
	// Incarnation is the start of the process as the server states it; zero if it does not,
	// or if it is not known.
	Incarnation int64
}

// Is reports whether two identifiers may be of one process. One without an incarnation may
// be any process of its server.
func (p Process) Is(other Process) bool {
	return p.Server == other.Server &&
		(p.Incarnation == other.Incarnation || p.Incarnation == 0 || other.Incarnation == 0)
}

// Replaces reports whether p is a later process of the same server than other.
func (p Process) Replaces(other Process) bool {
	return p.Server == other.Server && other.Incarnation != 0 && p.Incarnation > other.Incarnation
}

// VM names one entry VM. A replacement VM always gets a new name: a name that was
// once listed as gone is never reused.
type VM string

// Centre names a data centre.
type Centre string

// Region names a group of data centres that are close to each other.
type Region string

// Caller names the customer who sent a request, as identified by the front end.
type Caller string

// Key names a unit of data that one backend server of a service sharded by key
// owns exclusively, for example a scale or a ward.
type Key string

// Request is the identifier of a request. A caller may safely repeat a request
// that is not idempotent under the same identifier.
type Request string

// Slice numbers one of the equal parts that a service's keys hash to.
type Slice uint32

// Epoch numbers the successive holders of one authority, for example of the right
// to give orders about the keys of a backend server. It only increases.
type Epoch uint64

// Revision numbers the accepted versions of a configuration, such as rules or a
// set of slices. It only increases.
type Revision uint64

// Fence is a fencing token: it ranks every order ever sent to one backend server.
// A backend server that checks fences refuses an order with a lower fence than
// the highest it has seen.
//
// The epoch is compared first: the latest holder's orders supersede all orders of
// its predecessors, however many they sent.
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

// String formats the fence as "epoch.seq", the form used in headers and logs.
func (f Fence) String() string {
	const maxLen = 41 // two numbers of 20 digits and the dot
	b := strconv.AppendUint(make([]byte, 0, maxLen), uint64(f.Epoch), 10)
	return string(strconv.AppendUint(append(b, '.'), f.Seq, 10))
}

// SliceOf hashes a key to one of n slices. The hash is xxHash64, whose
// specification is fixed, so different versions of the program agree on it.
// SliceOf returns slice 0 if n is 0.
func SliceOf(k Key, n uint32) Slice {
	if n == 0 {
		return 0
	}
	return Slice(xxhash.Sum64String(string(k)) % uint64(n))
}
