package pipe

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// conns are the open connections of a Reader. Their number can be bounded: a new one then takes
// the place of the one that has waited for its caller for longest, be it for a first request, the
// next one, or the rest of a head. A caller that is served keeps its connection.
type conns struct {
	mu      sync.Mutex
	all     map[*Conn]struct{}
	waiting list.List // of *Conn, the one that waits for longest first

	evicted, refused atomic.Int64
}

// minWait is how long a connection has waited at least before another one takes its place. A
// caller that has just connected or was just answered may be about to send.
const minWait = 100 * time.Millisecond

// maxCandidates is how many waiting connections are looked at for one that may be closed.
const maxCandidates = 8

// add adds a connection that was accepted, and reports whether there is room for it.
func (l *conns) add(c *Conn, bound int) bool {
	l.mu.Lock()
	if l.all == nil {
		l.all = map[*Conn]struct{}{}
	}
	full := bound > 0 && len(l.all) >= bound
	var candidates []*Conn
	for e := l.waiting.Front(); full && e != nil && len(candidates) < maxCandidates; e = e.Next() {
		if w := e.Value.(*Conn); time.Since(w.waitsSince) >= minWait {
			candidates = append(candidates, w)
		}
	}
	l.mu.Unlock()
	if full && !l.evictOne(candidates) {
		l.refused.Add(1)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[c] = struct{}{}
	l.pushWaiting(c)
	return true
}

// evictOne closes one of the connections, and reports whether there was one that may be closed.
func (l *conns) evictOne(candidates []*Conn) bool {
	for _, c := range candidates {
		if c.closeIfWaiting() {
			l.evicted.Add(1)
			return true
		}
	}
	return false
}

// closeIfWaiting closes a connection that waits for its caller, and reports whether it did. A
// request that was read whole is not dropped; where it is not known where heads end, nothing of
// one may have been read.
func (c *Conn) closeIfWaiting() bool {
	c.mu.Lock()
	waiting := c.inHead && !c.handling && !c.pending() && (c.scanner.phase != unknown || c.head.bytes == 0)
	if waiting {
		c.end()
	}
	c.mu.Unlock()
	if waiting {
		c.reader.conns.remove(c)
		_ = c.Conn.Close()
	}
	return waiting
}

// pushWaiting notes that a connection waits for its caller. The caller holds mu.
func (l *conns) pushWaiting(c *Conn) {
	if c.place == nil {
		c.waitsSince, c.place = time.Now(), l.waiting.PushBack(c)
	}
}

// wait notes that a connection waits for its caller.
func (l *conns) wait(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.all[c]; open {
		l.pushWaiting(c)
	}
}

// serve notes that a request of a connection is being handled.
func (l *conns) serve(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeWaiting(c)
}

func (l *conns) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, c)
	l.removeWaiting(c)
}

func (l *conns) removeWaiting(c *Conn) {
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
}

// list returns the open connections.
func (l *conns) list() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Conn, 0, len(l.all))
	for c := range l.all {
		all = append(all, c)
	}
	return all
}

func (l *conns) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// ConnState is a function for http.Server.ConnState. Without it the heads of later requests are
// not counted, and a connection that has carried a request keeps its place until it is closed.
func ConnState(c net.Conn, s http.ConnState) {
	if c, ok := c.(*Conn); ok && s == http.StateIdle {
		c.startHead()
		c.reader.conns.wait(c)
	}
}
