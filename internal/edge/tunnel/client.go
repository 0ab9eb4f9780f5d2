package tunnel

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// avoidTime is how long a VM that could not open a tunnel is asked last.
const avoidTime = time.Second

// Client opens tunnels through other VMs. The zero value knows of no VM. Its methods are
// safe for concurrent use.
type Client struct {
	mu       sync.Mutex
	peers    []netip.AddrPort
	failedAt map[netip.AddrPort]time.Time
}

// SetPeers sets the addresses of the other VMs.
func (c *Client) SetPeers(all []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = slices.Clone(all)
	failedAt := map[netip.AddrPort]time.Time{}
	for _, p := range all {
		if at, ok := c.failedAt[p]; ok {
			failedAt[p] = at
		}
	}
	c.failedAt = failedAt
}

// Peers returns up to n VMs to ask, in random order, so that no single VM carries the load
// of all tunnels. Those that failed lately come last.
func (c *Client) Peers(now time.Time, n int) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.peers)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	failed := func(p netip.AddrPort) int {
		if at, ok := c.failedAt[p]; ok && now.Sub(at) < avoidTime {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b netip.AddrPort) int { return failed(a) - failed(b) })
	return all[:min(n, len(all))]
}

// Dial opens a connection to a server through another VM. A connection for orders ends
// rather than pass anything on late, see [MaxDelay].
func (c *Client) Dial(ctx context.Context, via netip.AddrPort, server ident.Server, orders bool) (net.Conn, error) {
	near, err := c.dial(ctx, via, server, orders)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failedAt, via)
		return near, nil
	}
	if ctx.Err() == nil && slices.Contains(c.peers, via) {
		c.failedAt[via] = time.Now()
	}
	return nil, err
}

func (c *Client) dial(ctx context.Context, via netip.AddrPort, server ident.Server, orders bool) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	tcp, err := d.DialContext(ctx, "tcp", via.String())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	near, err := handshake(ctx, tcp, via, server, orders)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return near, nil
}

// handshake asks the VM at the other end of a connection to open the tunnel.
func handshake(ctx context.Context, tcp net.Conn, via netip.AddrPort, server ident.Server, orders bool) (net.Conn, error) {
	if t, ok := tcp.(*net.TCPConn); ok {
		// The other VM must notice at once when this end gives the tunnel up.
		if err := t.SetLinger(0); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+via.String()+Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	req.Header.Set(headerServer, string(server))
	req.Header.Set(headerOrders, strconv.FormatBool(orders))
	req.Header.Set(headerDrain, strconv.FormatBool(!orders))
	req.Header.Set(headerCount, strconv.FormatBool(true))
	if err := req.Write(tcp); err != nil {
		return nil, err
	}
	r := bufio.NewReader(tcp)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols || resp.Header.Get("Upgrade") != protocol {
		_ = resp.Body.Close()
		return nil, errNoPath
	}
	return &conn{Conn: tcp, r: r, via: via.String()}, nil
}
