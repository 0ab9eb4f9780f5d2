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

// link is a network link with a rate that all connections share. It counts what leaves.
type link struct {
	net.Listener
	rate float64 // bytes a second

	mu   sync.Mutex
	free time.Time // all that was written before has left by then
	sent int
}

const (
	// packet is how much one connection sends before the next has its turn, in bytes.
	packet = 1500
	// wakeup is by how much a sleep may last too long without the link losing its rate.
	wakeup = 50 * time.Millisecond
)

// pass waits until a packet has left.
func (l *link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now.Add(-wakeup)) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.sent += n
	left := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(left))
}

func (l *link) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return pacedConn{c, l}, err
}

type pacedConn struct {
	net.Conn
	link *link
}

func (c pacedConn) Write(b []byte) (int, error) {
	sent := 0
	for len(b) > 0 {
		n := min(len(b), packet)
		c.link.pass(n)
		n, err := c.Conn.Write(b[:n])
		sent += n
		if err != nil {
			return sent, err
		}
		b = b[n:]
	}
	return sent, nil
}

// thin is a VM that leads and does nothing else, behind a link with a rate.
type thin struct {
	*poll.Hub
	link  *link
	seq   uint64
	asked atomic.Int64 // questions
}

const thinEpoch = 7

// lead lets a VM behind such a link hold the lead.
func (w *world) lead(rate float64) *thin {
	at := free(w.t)
	l, err := net.Listen("tcp", at.String())
	assert.NilError(w.t, err)
	board := poll.NewHub("leader", "leader-1")
	lease := elect.Lease{Epoch: thinEpoch, Holder: "leader", Incarnation: "leader-1", Addr: at}
	board.SetLease(lease, true)
	th := &thin{Hub: board, link: &link{Listener: l, rate: rate}}
	web := &http.Server{Handler: board.Handler(func(*poll.Request) { th.asked.Add(1) })}
	var g group.Group
	g.Go(func(context.Context) error { _ = web.Serve(th.link); return nil })
	w.t.Cleanup(func() {
		_ = web.Close()
		_ = g.Close()
	})
	w.store.write("own/"+leaseName, lease)
	return th
}

// move gives all keys of a service to a server, in a change of its own.
func (th *thin) move(to ident.Server) uint64 {
	th.seq++
	th.Publish("lookup", poll.Change{
		Epoch: thinEpoch, Seq: th.seq, Full: th.seq == 1,
		Spans: []ranges.Assignment{{Span: ranges.Span{First: 0, Last: ranges.KeySpace - 1}, Server: to}},
	})
	return th.seq
}

// moved reports whether VM i knows of a change of owners.
func (w *world) moved(i int, seq uint64) func() bool {
	return func() bool {
		svc, ok := w.vms[i].d.p.State.Service("lookup")
		if !ok {
			return false
		}
		view, _ := svc.Finder().(*ranges.View)
		return view != nil && view.Seq == seq
	}
}

// follower starts the one VM of a world whose leader is behind such a link, and waits until
// it is ready. What it logs is in w.text.
func (w *world) follower(rate float64) (*thin, *Host) {
	w.log = slog.New(slog.NewTextHandler(&w.text, nil))
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	leader := w.lead(rate)
	leader.move("l1")
	h := w.start(0)
	w.within(patient, "ready", w.ready(0))
	return leader, h
}
