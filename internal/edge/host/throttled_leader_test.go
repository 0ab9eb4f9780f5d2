package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// throttledLink is a network link with a rate that all connections share. It counts the
// bytes sent.
type throttledLink struct {
	net.Listener
	rate float64 // bytes per second

	mu     sync.Mutex
	idleAt time.Time // when all data written so far will have been sent
	sent   int
}

const (
	// packetSize is how many bytes one connection sends before the next has its turn.
	packetSize = 1500
	// maxOversleep is how much longer than planned a sleep may take without lowering the
	// rate.
	maxOversleep = 50 * time.Millisecond
)

// transmit waits until a packet of n bytes has been sent.
func (l *throttledLink) transmit(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now.Add(-maxOversleep)) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.sent += n
	left := l.idleAt
	l.mu.Unlock()
	time.Sleep(time.Until(left))
}

func (l *throttledLink) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *throttledLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return pacedConn{c, l}, err
}

type pacedConn struct {
	net.Conn
	link *throttledLink
}

func (c pacedConn) Write(b []byte) (int, error) {
	sent := 0
	for len(b) > 0 {
		n := min(len(b), packetSize)
		c.link.transmit(n)
		n, err := c.Conn.Write(b[:n])
		sent += n
		if err != nil {
			return sent, err
		}
		b = b[n:]
	}
	return sent, nil
}

// throttledLeader is a VM that only leads, behind a throttled link.
type throttledLeader struct {
	*poll.Hub
	link  *throttledLink
	seq   uint64
	polls atomic.Int64 // poll requests received
}

const throttledLeaderEpoch = 7

// startThrottledLeader starts a leader behind a link with a rate in bytes per second.
func (tc *testCluster) startThrottledLeader(rate float64) *throttledLeader {
	at := freeAddr(tc.t)
	l, err := net.Listen("tcp", at.String())
	assert.NilError(tc.t, err)
	hub := poll.NewHub("leader", "leader-1")
	lease := elect.Lease{Epoch: throttledLeaderEpoch, Holder: "leader", Incarnation: "leader-1", Addr: at}
	hub.SetLease(lease, true)
	ll := &throttledLeader{Hub: hub, link: &throttledLink{Listener: l, rate: rate}}
	web := &http.Server{Handler: hub.Handler(func(*poll.Request) { ll.polls.Add(1) })}
	var g group.Group
	g.Go(func(context.Context) error { _ = web.Serve(ll.link); return nil })
	tc.t.Cleanup(func() {
		_ = web.Close()
		_ = g.Close()
	})
	tc.store.write("own/"+leaseObject, lease)
	return ll
}

// assignAllKeys publishes a change that gives all keys of the lookup service to one
// server. It returns the change's sequence number.
func (ll *throttledLeader) assignAllKeys(to ident.Server) uint64 {
	ll.seq++
	ll.Publish("lookup", poll.Change{
		Epoch: throttledLeaderEpoch, Seq: ll.seq, Full: ll.seq == 1,
		Spans: []ranges.Assignment{{Span: ranges.Span{First: 0, Last: ranges.KeySpace - 1}, Server: to}},
	})
	return ll.seq
}

// knowsOwners returns a condition: VM i knows the change of owners with a sequence
// number.
func (tc *testCluster) knowsOwners(i int, seq uint64) func() bool {
	return func() bool {
		svc, ok := tc.vms[i].listeners.parts.State.Service("lookup")
		if !ok {
			return false
		}
		view, _ := svc.Finder().(*ranges.View)
		return view != nil && view.Seq == seq
	}
}

// startFollower starts the only VM of a cluster, with its leader behind a throttled link,
// and waits until it is ready. Its log goes to tc.logText.
func (tc *testCluster) startFollower(rate float64) (*throttledLeader, *Host) {
	tc.log = slog.New(slog.NewTextHandler(&tc.logText, nil))
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	leader := tc.startThrottledLeader(rate)
	leader.assignAllKeys("l1")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "ready", tc.ready(0))
	return leader, h
}
