// Package dial opens connections to backend servers and finds out which of them this VM
// reaches. It carries out what package reach decides: it reports what connections show,
// and makes the probes that are due.
package dial

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/reach"
)

// DefaultTimeout bounds the wait for a connection.
const DefaultTimeout = 400 * time.Millisecond

// tickInterval is how often due probes are looked for.
const tickInterval = 50 * time.Millisecond

// Open opens a connection to an address.
type Open func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Config holds the settings of a Dialer. The zero value works.
type Config struct {
	Timeout time.Duration // zero means DefaultTimeout
	Open    Open          // opens a direct connection; nil means TCP
	// NameOf returns the server that is listed at an address. Paths to other addresses are
	// forgotten. It must not block. A nil function knows none.
	NameOf func(netip.AddrPort) (ident.Server, bool)
	Log    *slog.Logger // nil means [slog.Default]
}

// Dialer opens connections to backend servers. Create one with New and close it with Close;
// its methods are safe for concurrent use.
type Dialer struct {
	cfg   Config
	group group.Group

	mu      sync.Mutex
	monitor reach.Monitor

	logged      []netip.AddrPort // lost paths at the last log line
	cutOffSince time.Time        // zero while some server is reached
}

// New returns a Dialer that knows of no server.
func New(cfg Config) *Dialer {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Open == nil {
		cfg.Open = OpenTCP
	}
	if cfg.NameOf == nil {
		cfg.NameOf = func(netip.AddrPort) (ident.Server, bool) { return "", false }
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	return &Dialer{cfg: cfg}
}

// OpenTCP opens a TCP connection that is reset when it is closed. Otherwise an abandoned
// request that a network partition holds up would reach its server when the partition
// heals.
func OpenTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	return c, err
}

// Run looks for due probes and logs changes until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	for group.Sleep(ctx, tickInterval) {
		d.mu.Lock()
		due := d.monitor.Probes(time.Now())
		d.mu.Unlock()
		for _, to := range due {
			d.group.Go(func(ctx context.Context) error { d.probe(ctx, to); return nil })
		}
		d.logChanges(time.Now())
		d.mu.Lock()
		d.monitor.Retain(func(to netip.AddrPort) bool { _, listed := d.cfg.NameOf(to); return listed })
		d.mu.Unlock()
	}
	return nil
}

// Close stops the probes and waits for them. Open connections are not affected.
func (d *Dialer) Close() error { return d.group.Close() }

// Dial opens a connection to a server.
func (d *Dialer) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d.mu.Lock()
	d.monitor.Used(time.Now(), to)
	d.mu.Unlock()
	return d.dialDirect(ctx, to, d.cfg.Timeout)
}

// DialContext is Dial for an [http.Transport]. The address must be an IP address and port.
func (d *Dialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return d.Dial(ctx, to)
}

func (d *Dialer) dialDirect(ctx context.Context, to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := d.cfg.Open(dialCtx, to)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if showsLostPath(ctx, err) {
			d.monitor.ConnectFailed(time.Now(), to)
		}
		return nil, err
	}
	d.monitor.Connected(time.Now(), to)
	return &conn{Conn: c, dialer: d, to: to}, nil
}

// showsLostPath reports whether a failure to connect says something about the path. One for
// which the caller gave up, or for lack of descriptors, does not.
func showsLostPath(caller context.Context, err error) bool {
	return caller.Err() == nil && !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE)
}

func (d *Dialer) probe(ctx context.Context, to netip.AddrPort) {
	c, err := d.dialDirect(ctx, to, reach.ProbeTimeout)
	if err == nil {
		_ = c.Close()
	}
}

// CutOff reports whether this VM reaches no backend server.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.CutOff()
}

// LostPaths returns the number of servers whose path is lost.
func (d *Dialer) LostPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.monitor.LostPaths())
}

// logChanges logs which paths were lost and which are open again since the last line.
func (d *Dialer) logChanges(now time.Time) {
	d.mu.Lock()
	lost, cutOff := d.monitor.LostPaths(), d.monitor.CutOff()
	d.mu.Unlock()
	if !slices.Equal(lost, d.logged) {
		d.cfg.Log.Info("paths to servers", "lost", d.names(without(lost, d.logged)), "open", d.names(without(d.logged, lost)), "count", len(lost))
		d.logged = lost
	}
	if cutOff == !d.cutOffSince.IsZero() {
		return
	}
	if cutOff {
		d.cutOffSince = now
		d.cfg.Log.Warn("cut off from all servers", "lost", len(lost))
		return
	}
	d.cfg.Log.Info("servers reached again", "after", now.Sub(d.cutOffSince))
	d.cutOffSince = time.Time{}
}

// names returns the servers at the addresses, or the addresses of those that are unknown.
func (d *Dialer) names(all []netip.AddrPort) []string {
	list := make([]string, 0, len(all))
	for _, to := range all {
		if s, ok := d.cfg.NameOf(to); ok {
			list = append(list, string(s))
			continue
		}
		list = append(list, to.String())
	}
	return list
}

func without(all, removed []netip.AddrPort) []netip.AddrPort {
	var left []netip.AddrPort
	for _, a := range all {
		if !slices.Contains(removed, a) {
			left = append(left, a)
		}
	}
	return left
}
