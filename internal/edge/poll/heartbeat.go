package poll

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Heartbeat is the leader's status in the header of its response. Over a slow link the
// body may take seconds. A VM that waited for its end would consider the leader lost and
// take over, and all VMs would then ask for everything again.
type Heartbeat struct {
	Epoch     uint64
	StoreDown bool // the leader cannot reach the store
}

// Headers of a heartbeat. A VM that does not lead, or runs an earlier version, sends
// none.
const (
	headerEpoch     = "Hawthorn-Epoch"
	headerStoreDown = "Hawthorn-Away"
)

// heartbeatInterval is how often the heartbeat is repeated to the reader while the body
// arrives. It is well below the silence after which other VMs take over.
const heartbeatInterval = 200 * time.Millisecond

// heartbeat returns the heartbeat of a response, and false if it is not from a leader.
func (r *Response) heartbeat() (Heartbeat, bool) {
	return Heartbeat{Epoch: r.Lease.Epoch, StoreDown: r.StoreDown}, r.IsLeader
}

// write adds the heartbeat to the header of a response.
func (b Heartbeat) write(h http.Header) {
	h.Set(headerEpoch, strconv.FormatUint(b.Epoch, 10))
	h.Set(headerStoreDown, strconv.FormatBool(b.StoreDown))
}

// readHeartbeat reads the heartbeat from the header of a response, if there is one.
func readHeartbeat(h http.Header) (Heartbeat, bool) {
	epoch, err := strconv.ParseUint(h.Get(headerEpoch), 10, 64)
	if err != nil {
		return Heartbeat{}, false
	}
	return Heartbeat{Epoch: epoch, StoreDown: h.Get(headerStoreDown) == strconv.FormatBool(true)}, true
}

// heartbeatReader calls onHeartbeat while the body of a response arrives.
type heartbeatReader struct {
	io.Reader
	heartbeat   Heartbeat
	onHeartbeat func(Heartbeat)
	next        time.Time
}

// Read calls onHeartbeat with the first bytes, and again each heartbeatInterval as others
// follow.
func (r *heartbeatReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if now := time.Now(); n > 0 && !now.Before(r.next) {
		r.next = now.Add(heartbeatInterval)
		r.onHeartbeat(r.heartbeat)
	}
	return n, err
}
