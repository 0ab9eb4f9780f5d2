package poll

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// FleetReport is what a VM reports of the load of servers with a poll. It is left out while
// there is nothing to say, and by VMs of an earlier version.
type FleetReport struct {
	Wants    bool                          `json:"w,omitempty"` // the sender wants lists
	Rev      uint64                        `json:"v,omitempty"` // of the last list that the sender knows
	Naming   uint64                        `json:"g,omitempty"` // that Names and Packed refer to
	Names    int                           `json:"k,omitempty"` // how many names of it the sender knows
	StateRev uint64                        `json:"q,omitempty"` // of the leader's states that the sender knows
	States   map[ident.Service]fleet.State `json:"f,omitempty"` // states that the leader may not know
	Packed   []byte                        `json:"d,omitempty"` // samples
	Plain    LenientList[fleet.Sample]     `json:"s,omitempty"` // samples of servers without a number
}

// FleetList is what the leader sends of the load of servers with the response to a poll.
type FleetList struct {
	Rev    uint64        `json:"v,omitempty"`
	Age    time.Duration `json:"t,omitempty"` // since the list was made, when it was sent
	Held   time.Duration `json:"h,omitempty"` // how long the poll waited for the response
	Naming uint64        `json:"g,omitempty"`
	First  int           `json:"n,omitempty"` // number of the first of Names
	Names  []byte        `json:"i,omitempty"`
	Packed []byte        `json:"d,omitempty"` // entries

	StateRev uint64                        `json:"q,omitempty"`
	States   map[ident.Service]fleet.State `json:"f,omitempty"` // if the receiver does not know them
}

// UnmarshalJSON decodes a report. One that cannot be decoded says nothing, so that the rest
// of the poll stays readable.
func (r *FleetReport) UnmarshalJSON(b []byte) error {
	type plain FleetReport
	if json.Unmarshal(b, (*plain)(r)) != nil {
		*r = FleetReport{}
	}
	return nil
}

// UnmarshalJSON decodes a list, see [FleetReport.UnmarshalJSON].
func (l *FleetList) UnmarshalJSON(b []byte) error {
	type plain FleetList
	if json.Unmarshal(b, (*plain)(l)) != nil {
		*l = FleetList{}
	}
	return nil
}

// isEmpty reports whether a report says nothing.
func (r *FleetReport) isEmpty() bool {
	return !r.Wants && r.StateRev == 0 && len(r.States) == 0 && len(r.Packed) == 0 && len(r.Plain) == 0
}

// FleetSource provides the load of servers on the leader.
type FleetSource interface {
	// List returns what the sender of a report does not know, and nil if there is nothing.
	// The argument knows is false if the report refers to another leader's numbers, and the
	// report is nil if there was none.
	List(r *FleetReport, knows bool) *FleetList
}

// SetFleet sets the source of the load of servers. Its methods must not call the hub's.
func (h *Hub) SetFleet(s FleetSource) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleetSource = s
}

// addFleet adds the load of servers to a response that is about to be sent. It is no news
// that a poll is answered for: it changes all the time.
func (h *Hub) addFleet(req *Request, resp *Response) {
	h.mu.Lock()
	source := h.fleetSource
	h.mu.Unlock()
	if source == nil || !resp.IsLeader {
		return
	}
	resp.Fleet = source.List(req.Samples, req.Incarnation == h.incarnation)
	if resp.Fleet != nil {
		resp.Fleet.Held = max(clock.Now().Sub(req.receivedAt), 0).Truncate(time.Millisecond)
	}
}

// maxNames bounds the numbers of one naming. Each process of a server takes one.
const maxNames = 4096

// hashBytes is the length of a name: a hash of the process. All VMs know the list of servers;
// with their names in full, the first two polls of a new leader had 12 to 14 KB for 185
// servers, and have 4 to 6 KB now.
const hashBytes = 4

// FleetIndex finds the listed processes of servers by their names.
type FleetIndex map[uint32]ident.Process

// Add adds a process. Two processes with one name are not found.
func (x FleetIndex) Add(p ident.Process) {
	h := nameOf(p)
	if _, ambiguous := x[h]; ambiguous {
		p = ident.Process{}
	}
	x[h] = p
}

func (x FleetIndex) find(h uint32) (ident.Process, bool) {
	p, ok := x[h]
	return p, ok && p.Server != ""
}

// nameOf returns the name by which a process is sent.
func nameOf(p ident.Process) uint32 {
	b := binary.LittleEndian.AppendUint64([]byte(p.Server), uint64(p.Incarnation))
	return uint32(xxhash.Sum64(b))
}

// FleetNames are the numbers by which VMs and the leader refer to processes of servers. The
// zero value names none. It is not safe for concurrent use.
type FleetNames struct {
	naming  uint64
	names   []uint32
	numbers map[uint32]uint32 // by name
}

// add gives the next number to a name that has none.
func (n *FleetNames) add(name uint32) {
	if _, ok := n.numbers[name]; ok {
		return
	}
	if n.numbers == nil || len(n.names) >= maxNames {
		n.restart(n.naming + 1)
	}
	n.numbers[name] = uint32(len(n.names))
	n.names = append(n.names, name)
}

func (n *FleetNames) restart(naming uint64) {
	*n = FleetNames{naming: naming, numbers: map[uint32]uint32{}}
}

// Samples returns the samples of a report, on the leader, and how many of them, the first,
// are of servers with a number. The argument knows is as for [FleetSource].
func (n *FleetNames) Samples(r *FleetReport, knows bool, index FleetIndex) (all []fleet.Sample, packed int) {
	if r == nil {
		return nil, 0
	}
	if knows && r.Naming == n.naming {
		all = unpackSamples(r.Packed, n.names, index)
	}
	return append(all, r.Plain...), len(all)
}

// Pack encodes entries, on the leader.
func (n *FleetNames) Pack(all []fleet.Entry) []byte {
	for i := range all {
		n.add(nameOf(all[i].Process()))
	}
	return packEntries(all, n.numbers)
}

// AddNames adds the names to a list that the sender of a report does not know.
func (n *FleetNames) AddNames(l *FleetList, r *FleetReport, knows bool) {
	l.Naming = n.naming
	if knows && r.Naming == n.naming {
		l.First = min(max(r.Names, 0), len(n.names))
	}
	for _, name := range n.names[l.First:] {
		l.Names = binary.LittleEndian.AppendUint32(l.Names, name)
	}
}

// Report encodes samples for the leader whose names these are, and sets which are known. It
// returns the samples of servers that have a number, which only a leader of this version
// gives them.
func (n *FleetNames) Report(r *FleetReport, all []fleet.Sample) (packed []fleet.Sample) {
	r.Packed, packed, r.Plain = packSamples(all, n.numbers)
	if r.Wants || len(r.Packed) > 0 {
		r.Naming, r.Names = n.naming, len(n.names)
	}
	return packed
}

// Entries learns the names of the leader's list and returns its entries. Those whose names
// are not known yet, or are of servers that are not listed here, are left out.
func (n *FleetNames) Entries(l *FleetList, index FleetIndex) []fleet.Entry {
	if l.Naming != n.naming || n.numbers == nil {
		n.restart(l.Naming)
	}
	names := l.Names
	for i := l.First; len(names) >= hashBytes; i++ {
		name := binary.LittleEndian.Uint32(names)
		names = names[hashBytes:]
		if i == len(n.names) && i < maxNames {
			n.numbers[name] = uint32(i)
			n.names = append(n.names, name)
		}
	}
	return unpackEntries(l.Packed, n.names, index)
}

// OrNil returns the report, or nil if it says nothing.
func (r *FleetReport) OrNil() *FleetReport {
	if r.isEmpty() {
		return nil
	}
	return r
}
