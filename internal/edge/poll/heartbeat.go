package poll

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Heartbeat is what the leader says of itself in the header of its answer. The rest may
// take seconds over a thin link, and whoever waited for its end would believe meanwhile
// that the leader is gone, take the lead from it, and so make all VMs ask for everything
// once more.
type Heartbeat struct {
	Epoch     uint64
	StoreDown bool // it does not reach the store
}

// Headers of a heartbeat. A VM that does not lead, or of an earlier version, sends none.
const (
	headerEpoch = "Hawthorn-Epoch"
	headerAway  = "Hawthorn-Away"
)

// heartbeatEvery is how often the heartbeat counts anew while the answer comes: well
// within the leader's silence after which others take over.
const heartbeatEvery = 200 * time.Millisecond

// heartbeat is that of an answer, if a leader gives it.
func (n *Response) heartbeat() (Heartbeat, bool) {
	return Heartbeat{Epoch: n.Lease.Epoch, StoreDown: n.StoreDown}, n.IsLeader
}

// write adds the heartbeat to the header of an answer.
func (b Heartbeat) write(h http.Header) {
	h.Set(headerEpoch, strconv.FormatUint(b.Epoch, 10))
	h.Set(headerAway, strconv.FormatBool(b.StoreDown))
}

// readHeartbeat reads the heartbeat in the header of an answer, if there is one.
func readHeartbeat(h http.Header) (Heartbeat, bool) {
	epoch, err := strconv.ParseUint(h.Get(headerEpoch), 10, 64)
	if err != nil {
		return Heartbeat{}, false
	}
	return Heartbeat{Epoch: epoch, StoreDown: h.Get(headerAway) == strconv.FormatBool(true)}, true
}

// heartbeatReader passes the heartbeat on as the answer comes.
type heartbeatReader struct {
	io.Reader
	beat  Heartbeat
	heard func(Heartbeat)
	next  time.Time
}

// Read passes the heartbeat on with the first bytes, and again and again as others follow.
func (s *heartbeatReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if now := time.Now(); n > 0 && !now.Before(s.next) {
		s.next = now.Add(heartbeatEvery)
		s.heard(s.beat)
	}
	return n, err
}
