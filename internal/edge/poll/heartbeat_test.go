package poll

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// newLoadedLeader returns a leader with a hundred kilobytes of news.
func newLoadedLeader() *Hub {
	h := newLeader()
	list := ServerList{Rev: 9}
	for i := range 1000 {
		list.List = append(list.List, feed.Server{Name: ident.Server(fmt.Sprintf("i-%010d", i)), Service: "lookup"})
	}
	h.SetServers(list)
	h.Publish("lookup", Change{Epoch: 3, Seq: 1, Full: true, Spans: []ranges.Assignment{{Span: allKeys, Server: "i-0000000001"}}})
	return h
}

// Guards against takeovers from a leader that is still sending a long response over a
// slow link, and against none from a leader that died while sending it. Heartbeats must
// be reported as long as bytes arrive, and no longer.
func TestHeartbeatsLastAsLongAsResponseArrives(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := newLoadedLeader()
		h.SetStoreDown(true)
		tn.serve(firstVM, h.Handler(func(*Request) {}))
		start, last := time.Now(), time.Now()
		count := 0
		onHeartbeat := func(w Heartbeat) {
			assert.Equal(t, w, Heartbeat{Epoch: 3, StoreDown: true})
			assert.Assert(t, time.Since(last) < elect.ElectionTimeout/2, "after %v", time.Since(last))
			count, last = count+1, time.Now()
		}
		n, err := tn.client(func() time.Duration { return 30 * time.Millisecond }).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, onHeartbeat)
		assert.NilError(t, err)
		assert.Equal(t, len(n.Servers.List), 1000)
		assert.Assert(t, time.Since(start) > PollTimeout+answerTimeout, "the response must be slow: %v", time.Since(start))
		assert.Assert(t, !n.ReceivedAt.Before(start) && n.ReceivedAt.Sub(start) < PollTimeout, "the news is as of the start of the response")
		assert.Assert(t, count > 1 && time.Since(last) <= 2*heartbeatInterval)

		left := 20
		start, last = time.Now(), time.Now()
		_, err = tn.client(func() time.Duration {
			if left--; left < 0 {
				return time.Hour
			}
			return 30 * time.Millisecond
		}).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, onHeartbeat)
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		assert.Assert(t, time.Since(start) < 2*bodyIdleTimeout, "after %v", time.Since(start))

		start, last = time.Now(), time.Now()
		_, err = tn.client(func() time.Duration { return 150 * time.Millisecond }).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, onHeartbeat)
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		assert.Equal(t, time.Since(start), pollDeadline, "even a response that keeps arriving is limited")
	})
}

// A response that does not begin in time counts as silence of the leader.
func TestResponseMustBeginInTime(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := newLoadedLeader()
		tn.serve(firstVM, h.Handler(func(*Request) { time.Sleep(time.Second) }))
		start := time.Now()
		_, err := tn.client(nil).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, func(Heartbeat) { t.Error("unexpected heartbeat") })
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		assert.ErrorContains(t, err, flow.ErrTimeout.Error())
		assert.Equal(t, time.Since(start), PollTimeout+answerTimeout)
		time.Sleep(time.Second) // until the other VM's handler has ended
	})
}

// Guards against a takeover that is delayed by a VM that does not lead: its response must
// carry no heartbeat.
func TestOnlyALeaderSendsHeartbeats(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := NewHub("vm-3", "vm-3-a")
		h.SetLease(elect.Lease{Epoch: 3, Holder: "vm-1", Incarnation: "vm-1-a"}, false)
		tn.serve(firstVM, h.Handler(func(*Request) {}))
		n, err := tn.client(nil).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, func(Heartbeat) { t.Error("unexpected heartbeat") })
		assert.NilError(t, err)
		assert.Assert(t, !n.IsLeader)
	})
}

// Guards against a VM that drops out of the count while it reads a large response. Each
// VM takes a share of the connections that a server allows, and with too low a count they
// would together take more than that.
func TestAVMReadingItsResponseIsCounted(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := newLoadedLeader()
		tn.serve(firstVM, h.Handler(func(*Request) {}))
		start := time.Now()
		count := func(Heartbeat) {
			assert.Equal(t, h.VMs(time.Now()), 2, "after %v", time.Since(start))
		}
		_, err := tn.client(func() time.Duration { return 40 * time.Millisecond }).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, count)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) > PeerTimeout, "the response must be slow: %v", time.Since(start))
		assert.Equal(t, h.VMs(time.Now().Add(PeerTimeout+pollDeadline)), 1)
		assert.Equal(t, readTime(300) < 10*time.Millisecond, true, "a typical response is read at once")
		assert.Equal(t, readTime(1<<30), pollDeadline)
	})
}
