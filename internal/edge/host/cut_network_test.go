package host

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/dial"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// cutMode says how a cut path treats connections.
type cutMode int

const (
	whole   cutMode = iota
	silent          // open connections hang, new ones get no answer
	refused         // open connections are reset, new ones are refused
	closing         // open connections live on, new ones are refused
)

// vmPaths are the network paths of one VM to the backend servers. They can be cut.
type vmPaths struct {
	mu      sync.Mutex
	mode    cutMode
	spared  netip.AddrPort // a server that is reached all the same
	changed chan struct{}  // closed at the next change of the mode
	conns   []*pathConn
}

// cut changes the mode of the paths to all servers but the spared one, if any.
func (p *vmPaths) cut(mode cutMode, spared netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.spared = mode, spared
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
	if mode != refused {
		return
	}
	for _, c := range p.conns {
		if c.to != spared {
			_ = c.Conn.Close()
		}
	}
}

// modeOf returns the mode of the path to a server, and a channel that is closed when it may
// have changed.
func (p *vmPaths) modeOf(to netip.AddrPort) (cutMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if to == p.spared {
		return whole, p.changed
	}
	return p.mode, p.changed
}

func (p *vmPaths) open(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	switch mode, _ := p.modeOf(to); mode {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case refused, closing:
		return nil, syscall.ECONNREFUSED
	}
	c, err := dial.OpenTCP(ctx, to)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := &pathConn{Conn: c, paths: p, to: to, closed: make(chan struct{})}
	p.conns = append(p.conns, pc)
	return pc, nil
}

// pathConn is a connection over a path that can be cut.
type pathConn struct {
	net.Conn
	paths  *vmPaths
	to     netip.AddrPort
	once   sync.Once
	closed chan struct{}
}

// Read reads what arrives. What arrives while the path is cut is lost.
func (c *pathConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		mode, changed := c.paths.modeOf(c.to)
		if mode == refused && err != nil {
			return n, syscall.ECONNRESET
		}
		if mode != silent {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

func (c *pathConn) Write(b []byte) (int, error) {
	if mode, _ := c.paths.modeOf(c.to); mode == silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pathOrders sends orders over a VM's own paths.
type pathOrders struct {
	tc   *testCluster
	dial flow.Dial
}

// SetDial sets how connections are opened.
func (o *pathOrders) SetDial(d flow.Dial) { o.dial = d }

// CloseIdle does nothing: each order opens a connection of its own.
func (o *pathOrders) CloseIdle() {}

// connect opens a connection to a server as an order would.
func (o *pathOrders) connect(ctx context.Context, to netip.AddrPort) error {
	c, err := o.dial(ctx, "tcp", to.String())
	if err != nil {
		return kinds.Wrap(kinds.Ambiguous, err, "order")
	}
	return c.Close()
}

func (o *pathOrders) Grant(ctx context.Context, to netip.AddrPort, name ident.Server, g feed.Grant) error {
	if err := o.connect(ctx, to); err != nil {
		return err
	}
	return o.tc.Grant(ctx, to, name, g)
}

func (o *pathOrders) Release(ctx context.Context, to netip.AddrPort, name ident.Server, s ranges.Span, fence uint64) (string, error) {
	if err := o.connect(ctx, to); err != nil {
		return "", err
	}
	return o.tc.Release(ctx, to, name, s, fence)
}

// setPaths gives VM i its own paths to the backend servers.
func (tc *testCluster) setPaths(i int, p *Platform) {
	paths, orders := &vmPaths{}, &pathOrders{tc: tc}
	tc.paths[i] = paths
	p.Open, p.Orders, p.OrderConns = paths.open, orders, orders
}
