package leases

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Every lessor sends a heartbeat ten times a second, so heartbeats have a compact
// encoding: numbers for field names, an 8-byte hash for the names of service and
// server, and times in whole milliseconds where finer precision does not matter.
// A heartbeat takes about 60 bytes instead of 114.
//
// Rounding must never give a deputy more time than the holder granted. The rest
// of the term and the echoed reading of the deputy's clock are rounded down; both
// only shorten the term that the deputy counts. The server's mark is not rounded.

// heartbeatWire is the encoding of a lessor.HeartbeatMsg.
type heartbeatWire struct {
	Epoch       ident.Epoch    `cbor:"1,keyasint"`
	Left        int64          `cbor:"2,keyasint,omitempty"` // milliseconds
	Echo        int64          `cbor:"3,keyasint,omitempty"` // milliseconds
	Incarnation int64          `cbor:"4,keyasint,omitempty"`
	Boot        uint64         `cbor:"5,keyasint,omitempty"`
	At          time.Duration  `cbor:"6,keyasint,omitempty"`
	Rev         ident.Revision `cbor:"7,keyasint,omitempty"`
	NoStandby   bool           `cbor:"8,keyasint,omitempty"`
}

func heartbeatToWire(m lessor.HeartbeatMsg) *heartbeatWire {
	return &heartbeatWire{
		Epoch: m.Epoch, Left: m.Left.Milliseconds(), Echo: m.Echo.Milliseconds(), Incarnation: m.Incarnation,
		Boot: m.Mark.Boot, At: m.Mark.At, Rev: m.Rev, NoStandby: m.NoStandby,
	}
}

// maxMillis is the longest time, in milliseconds, that a message may contain. A
// longer one would overflow when converted to nanoseconds, and a term that has
// ended would seem to last.
const maxMillis = int64(1<<63-1) / int64(time.Millisecond)

// millis converts milliseconds to a duration, limited to maxMillis.
func millis(n int64) time.Duration {
	return time.Duration(max(-maxMillis, min(n, maxMillis))) * time.Millisecond
}

func (w *heartbeatWire) msg(from ident.VM) lessor.HeartbeatMsg {
	return lessor.HeartbeatMsg{
		From: from, Epoch: w.Epoch, Left: millis(w.Left), Echo: millis(w.Echo), Incarnation: w.Incarnation,
		Mark: server.Mark{Boot: w.Boot, At: w.At}, Rev: w.Rev, NoStandby: w.NoStandby,
	}
}

// clockWire is the encoding of a lessor.ClockMsg.
type clockWire struct {
	Epoch       ident.Epoch `cbor:"1,keyasint"`
	At          int64       `cbor:"2,keyasint"` // milliseconds
	Incarnation int64       `cbor:"3,keyasint"`
}

func (w *clockWire) msg(from ident.VM) lessor.ClockMsg {
	return lessor.ClockMsg{From: from, Epoch: w.Epoch, At: millis(w.At), Incarnation: w.Incarnation}
}

// lessorIndex finds lessors by the 8-byte hash of their names. Lessors whose hashes
// collide are left out, and messages name them in full: confusing two of them would
// give a deputy the marks of another server.
type lessorIndex struct {
	once   sync.Once
	byHash map[uint64]*hostedLessor
}

func (id lessorID) hash() uint64 { return xxhash.Sum64String(string(id.svc) + "\x00" + string(id.srv)) }

// lessorByHash returns the lessor with a hash, nil if there is none or several.
func (mgr *Manager) lessorByHash(hash uint64) *hostedLessor {
	mgr.index.once.Do(func() { mgr.index.byHash = indexLessors(mgr.lessors, lessorID.hash) })
	return mgr.index.byHash[hash]
}

// indexLessors maps hashes to lessors, without those that collide. A hash of 0
// marks an absent field and is left out too.
func indexLessors(lessors map[lessorID]*hostedLessor, hash func(lessorID) uint64) map[uint64]*hostedLessor {
	byHash := make(map[uint64]*hostedLessor, len(lessors))
	ambiguous := map[uint64]bool{}
	for id, h := range lessors {
		sum := hash(id)
		_, taken := byHash[sum]
		ambiguous[sum] = ambiguous[sum] || taken || sum == 0
		byHash[sum] = h
	}
	for sum, yes := range ambiguous {
		if yes {
			delete(byHash, sum)
		}
	}
	return byHash
}

// setAddress names the lessor that a message is for, by its hash where that is
// unambiguous.
func (mgr *Manager) setAddress(m *message, id lessorID) {
	if s := id.hash(); mgr.lessorByHash(s) != nil {
		m.Hash = s
		return
	}
	m.Svc, m.Srv = id.svc, id.srv
}

// lessorOf finds the lessor that a message is for.
func (mgr *Manager) lessorOf(m *message) (*hostedLessor, bool) {
	if m.Hash != 0 {
		h := mgr.lessorByHash(m.Hash)
		return h, h != nil
	}
	h, ok := mgr.lessors[lessorID{m.Svc, m.Srv}]
	return h, ok
}
