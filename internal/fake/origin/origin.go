// Package origin is a fake backend server over HTTP. Its data side has a limited number
// of slots, a short queue and a connection limit; its control side has fenced leases on
// the server's own clock, drain, health, load and cancellation.
//
// It decides by its own leases whether it owns a key, and records which requests it
// ran. Tests can make it freeze, slow down, truncate answers, break connections and
// restart.
package origin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Config describes one backend server. The zero value is a server with one slot that
// serves any key.
type Config struct {
	Service       ident.Service
	Server        ident.Server
	Centre        ident.Centre
	Keyed         bool          // serves only keys that its leases cover
	Slices        uint32        // slices of the service's key space
	FenceChecks   bool          // refuses orders with a fence below the highest one applied
	Slots         int           // requests worked on at once
	Queue         int           // requests waiting for a slot
	Conns         int           // open connections; zero means no limit
	ConnectDelay  time.Duration // delay of a new connection's first read
	Work          time.Duration // how long a request holds its slot
	LegacyControl bool          // control side speaks only HTTP/1.1 and JSON
	Record        *Record       // may be shared between servers; nil creates one
}

// Origin is one backend server. Serve its Handler, or let Start listen.
type Origin struct {
	faults
	Config

	startTime time.Time
	slots     chan struct{}

	mu            sync.Mutex
	bootID        uint64
	highestFences map[ident.Server]ident.Fence // highest fence applied, by lessor
	leases        map[ident.Server]*lease      // by lessor
	waiting       int
	draining      bool
	running       map[ident.Request]context.CancelFunc
	openConns     map[net.Conn]struct{}

	group      group.Group
	httpServer *http.Server
}

// New creates a backend server.
func New(cfg Config) *Origin {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.Record == nil {
		cfg.Record = &Record{}
	}
	o := &Origin{
		Config:    cfg,
		slots:     make(chan struct{}, cfg.Slots),
		openConns: map[net.Conn]struct{}{},
		running:   map[ident.Request]context.CancelFunc{},
	}
	o.thawed = closedChan()
	o.reset()
	return o
}

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// reset simulates the start of a new server process: no leases, a new boot id.
func (o *Origin) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startTime = time.Now()
	o.bootID = rand.Uint64() | 1
	o.highestFences = map[ident.Server]ident.Fence{}
	o.leases = map[ident.Server]*lease{}
	o.draining = false
}

// Start listens on loopback and returns the address.
func (o *Origin) Start() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	o.Serve(l)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Serve accepts connections from l until Close.
func (o *Origin) Serve(l net.Listener) {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(!o.LegacyControl)
	o.httpServer = &http.Server{Handler: o.Handler(), Protocols: p, ReadHeaderTimeout: time.Minute, ConnState: o.trackConn}
	o.group.Go(func(context.Context) error {
		_ = o.httpServer.Serve(&listener{Listener: l, o: o})
		return nil
	})
}

// Close stops the server at once, closes its connections and waits for its goroutines.
func (o *Origin) Close() error {
	o.Freeze(false)
	if o.httpServer != nil {
		o.httpServer.Close()
	}
	return o.group.Close()
}

// Restart closes all connections and drops all leases, like a crash followed by a
// quick start under the same address.
func (o *Origin) Restart() {
	o.reset()
	o.BreakAll()
}

// BreakAll closes every open connection.
func (o *Origin) BreakAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.openConns {
		c.Close()
	}
}

// OpenConns returns the number of open connections.
func (o *Origin) OpenConns() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.openConns)
}

func (o *Origin) trackConn(c net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateNew:
		o.openConns[c] = struct{}{}
		o.recordOpenConns(len(o.openConns))
	case http.StateClosed, http.StateHijacked:
		delete(o.openConns, c)
	}
}

// mark reads the server's own clock. The caller holds mu.
func (o *Origin) mark() server.Mark {
	return server.Mark{Boot: o.bootID, At: time.Since(o.startTime)}
}

// listener closes connections over the limit and delays the others.
type listener struct {
	net.Listener
	o *Origin
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.o.Conns > 0 && l.o.OpenConns() >= l.o.Conns {
			l.o.countRefusedConn()
			c.Close()
			continue
		}
		return &conn{Conn: c, delay: l.o.Config.ConnectDelay}, nil
	}
}

// conn delays its first read by the cost of opening a connection.
type conn struct {
	net.Conn
	delayOnce sync.Once
	delay     time.Duration
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(b)
}
