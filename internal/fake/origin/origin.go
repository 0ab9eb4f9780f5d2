// Package origin is a small stand-in for a backend server: its data side with
// few slots, a short queue and a connection limit, and its control side with
// fenced leases on its own clock, drain, health, load and cancellation.
//
// It decides by its own record whether it owns a key, and keeps its own record
// of what it ran. It is made to freeze, to be slow, to cut answers short, to
// break connections and to restart.
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

// Config describes one backend server. The zero value is a server that is not
// divided by key, with one slot.
type Config struct {
	Service       ident.Service
	Server        ident.Server
	Centre        ident.Centre
	Keyed         bool          // divided by key: serves only what its lease covers
	Slices        uint32        // slices of the service's key space
	FenceChecks   bool          // refuses orders below the highest fence obeyed
	Slots         int           // requests worked on at once
	Queue         int           // requests waiting for a slot
	Conns         int           // open connections; zero means no limit
	ConnectDelay  time.Duration // cost of a new connection
	Work          time.Duration // how long a request holds its slot
	LegacyControl bool          // speaks HTTP/1.1 and JSON alone on its control side
	Record        *Record       // shared record; nil makes an own one
}

// Origin is one backend server. Serve its Handler, or let Start listen.
type Origin struct {
	knobs
	Config

	start time.Time
	slots chan struct{}

	mu      sync.Mutex
	boot    uint64
	top     map[ident.Server]ident.Fence // highest fence obeyed, by seat
	leases  map[ident.Server]*lease      // by seat
	waiting int
	drain   bool
	running map[ident.Request]context.CancelFunc
	open    map[net.Conn]struct{}

	group group.Group
	web   *http.Server
}

// New makes a backend server.
func New(cfg Config) *Origin {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.Record == nil {
		cfg.Record = &Record{}
	}
	o := &Origin{
		Config:  cfg,
		slots:   make(chan struct{}, cfg.Slots),
		open:    map[net.Conn]struct{}{},
		running: map[ident.Request]context.CancelFunc{},
	}
	o.thaw = closedChan()
	o.reset()
	return o
}

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// reset begins a new start of the server: nothing held, a new boot number.
func (o *Origin) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.start = time.Now()
	o.boot = rand.Uint64() | 1
	o.top = map[ident.Server]ident.Fence{}
	o.leases = map[ident.Server]*lease{}
	o.drain = false
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

// Serve takes connections from l until Close.
func (o *Origin) Serve(l net.Listener) {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(!o.LegacyControl)
	o.web = &http.Server{Handler: o.Handler(), Protocols: p, ReadHeaderTimeout: time.Minute, ConnState: o.track}
	o.group.Go(func(context.Context) error {
		_ = o.web.Serve(&listener{Listener: l, o: o})
		return nil
	})
}

// Close stops the server at once, breaks its connections and waits.
func (o *Origin) Close() error {
	o.Freeze(false)
	if o.web != nil {
		o.web.Close()
	}
	return o.group.Close()
}

// Restart breaks all connections and forgets all leases, as a crash and a
// quick start under the same address do.
func (o *Origin) Restart() {
	o.reset()
	o.BreakAll()
}

// BreakAll closes every open connection.
func (o *Origin) BreakAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.open {
		c.Close()
	}
}

// OpenConns counts the connections that are open now.
func (o *Origin) OpenConns() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

func (o *Origin) track(c net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateNew:
		o.open[c] = struct{}{}
		o.noteOpen(len(o.open))
	case http.StateClosed, http.StateHijacked:
		delete(o.open, c)
	}
}

// mark reads the server's own clock. The caller holds mu.
func (o *Origin) mark() server.Mark {
	return server.Mark{Boot: o.boot, At: time.Since(o.start)}
}

// listener refuses connections over the limit and makes new ones cost time.
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
			l.o.refusedConn()
			c.Close()
			continue
		}
		return &conn{Conn: c, cost: l.o.Config.ConnectDelay}, nil
	}
}

// conn delays its first read by what opening a connection costs the server.
type conn struct {
	net.Conn
	once sync.Once
	cost time.Duration
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.cost) })
	return c.Conn.Read(b)
}
