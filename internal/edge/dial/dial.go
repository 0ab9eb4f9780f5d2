// Package dial opens connections to backend servers and finds out which of them this VM
// reaches. It carries out what package reach decides: it reports what connections show,
// and makes the probes that are due. Where this VM's own path is lost, it connects through
// another VM.
package dial

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
	"hawthornfield.org/hawthornfield/internal/load/reach"
)

// DefaultTimeout bounds the wait for a connection.
const DefaultTimeout = 400 * time.Millisecond

// tickInterval is how often due probes are looked for.
const tickInterval = 50 * time.Millisecond

// cutOffSettle is how long this VM must be cut off until the listeners are told. One that
// still reaches a slow server is cut off between two of its answers.
const cutOffSettle = 200 * time.Millisecond

// forgetInterval is how often servers that are not listed any more are forgotten.
const forgetInterval = 5 * time.Second

// Timing of connections through other VMs, in the manner of RFC 8305.
const (
	// directHeadStart is how long a direct connection may take before other VMs are asked
	// as well.
	directHeadStart = 80 * time.Millisecond
	// peerHeadStart is how long one VM may take before the next is asked as well.
	peerHeadStart = 60 * time.Millisecond
	// maxPeers is how many VMs are asked for one connection.
	maxPeers = 6
	// unreachableTime is how long other VMs are not asked for a server that none of them
	// reached either.
	unreachableTime = time.Second
	// unreachableTimeout bounds a direct connection to such a server over a lost path. Its
	// requests are better rejected soon, and probes notice when it is back.
	unreachableTimeout = 100 * time.Millisecond
	// relayMemory is how long after its connection was closed an order through another VM may
	// still be unanswered.
	relayMemory = 2 * time.Second
)

// Open opens a connection to an address.
type Open func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Config holds the settings of a Dialer. The zero value works.
type Config struct {
	Timeout time.Duration // zero means DefaultTimeout
	Open    Open          // opens a direct connection; nil means TCP
	// Peers opens connections through other VMs; nil if there are none.
	Peers *tunnel.Client
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

	// unreachable holds when no other VM reached a server either.
	unreachable map[netip.AddrPort]time.Time
	relayed     map[netip.AddrPort]*relayedOrders
	listeners   []Listener

	known       []netip.AddrPort // lost paths that the listeners know
	cutOffSince time.Time        // zero while some server is reached
	cutOffKnown bool             // the listeners know that this VM is cut off
}

// Listener is told of changes of the paths.
type Listener interface {
	// PathChanged is called when the path to a server was lost or is open again.
	PathChanged(to netip.AddrPort)
	// CutOffChanged is called when this VM has lost all servers or reaches one again.
	CutOffChanged(cutOff bool)
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
	if cfg.Peers == nil {
		cfg.Peers = &tunnel.Client{}
	}
	return &Dialer{cfg: cfg, unreachable: map[netip.AddrPort]time.Time{}, relayed: map[netip.AddrPort]*relayedOrders{}}
}

// Subscribe adds a listener. It must be called before Run.
func (d *Dialer) Subscribe(l Listener) { d.listeners = append(d.listeners, l) }

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
	nextForget := time.Now()
	for group.Sleep(ctx, tickInterval) {
		d.mu.Lock()
		due := d.monitor.Probes(time.Now())
		d.mu.Unlock()
		for _, to := range due {
			d.group.Go(func(ctx context.Context) error { d.probe(ctx, to); return nil })
		}
		d.notifyChanges(time.Now())
		if time.Now().After(nextForget) {
			nextForget = time.Now().Add(forgetInterval)
			d.forgetUnlisted()
		}
	}
	return nil
}

// forgetUnlisted forgets the servers that are not listed any more.
func (d *Dialer) forgetUnlisted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := func(to netip.AddrPort) bool { _, ok := d.cfg.NameOf(to); return ok }
	d.monitor.Retain(listed)
	maps.DeleteFunc(d.unreachable, func(to netip.AddrPort, _ time.Time) bool { return !listed(to) })
	maps.DeleteFunc(d.relayed, func(_ netip.AddrPort, r *relayedOrders) bool {
		return r.open == 0 && time.Since(r.closedAt) >= relayMemory
	})
}

// Close stops the probes and waits for them. Open connections are not affected.
func (d *Dialer) Close() error { return d.group.Close() }

// Dial opens a connection to a server for requests.
func (d *Dialer) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return d.dial(ctx, to, false)
}

// DialOrders opens a connection to a server for orders, for an [http.Transport]. The address
// must be an IP address and port.
func (d *Dialer) DialOrders(ctx context.Context, _, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	c, err := d.dial(ctx, to, true)
	if err != nil {
		return nil, err
	}
	return d.trackOrders(c, to), nil
}

// dial tries this VM's own path and those of other VMs, and returns the first connection.
func (d *Dialer) dial(caller context.Context, to netip.AddrPort, orders bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(caller, d.cfg.Timeout)
	defer cancel()
	r := &race{group: &d.group}
	lost := d.noteUse(to)
	peers := d.peerAttempts(to, orders)
	if !lost || len(peers) == 0 {
		timeout := d.cfg.Timeout
		if lost {
			timeout = unreachableTimeout
		}
		// The attempt goes on if another one is faster: its end tells about the path.
		r.add(directHeadStart, func(context.Context) (net.Conn, error) {
			return d.DialDirect(context.WithoutCancel(ctx), to, timeout, nil)
		})
	}
	for _, dial := range peers {
		r.add(peerHeadStart, dial)
	}
	c, err := r.run(ctx)
	if err != nil && caller.Err() == nil && len(peers) > 0 {
		d.mu.Lock()
		d.unreachable[to] = time.Now()
		d.mu.Unlock()
	}
	return c, err
}

// noteUse records that a connection is wanted, and reports whether the path is lost.
func (d *Dialer) noteUse(to netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.Used(time.Now(), to)
	return d.monitor.Lost(to)
}

// peerAttempts returns the attempts to connect through other VMs.
func (d *Dialer) peerAttempts(to netip.AddrPort, orders bool) []Attempt {
	name, listed := d.cfg.NameOf(to)
	now := time.Now()
	d.mu.Lock()
	failedAt, failed := d.unreachable[to]
	if failed && now.Sub(failedAt) >= unreachableTime {
		delete(d.unreachable, to)
		failed = false
	}
	d.mu.Unlock()
	if !listed || failed {
		return nil
	}
	var all []Attempt
	for _, via := range d.cfg.Peers.Peers(now, maxPeers) {
		all = append(all, func(ctx context.Context) (net.Conn, error) {
			return d.cfg.Peers.Dial(ctx, via, name, orders)
		})
	}
	return all
}

// DialDirect opens a connection over this VM's own path. It calls prepare, if there is one,
// before anything is sent.
func (d *Dialer) DialDirect(ctx context.Context, to netip.AddrPort, timeout time.Duration, prepare func(net.Conn) error) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := d.cfg.Open(dialCtx, to)
	if err == nil && prepare != nil {
		err = prepare(c)
	}
	if err != nil && c != nil {
		_ = c.Close()
	}
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
	c, err := d.DialDirect(ctx, to, reach.ProbeTimeout, nil)
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

// Lost reports whether this VM's path to a server is lost.
func (d *Dialer) Lost(to netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.Lost(to)
}

// LostPaths returns the number of servers whose path is lost.
func (d *Dialer) LostPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.monitor.LostPaths())
}

// notifyChanges logs which paths were lost and which are open again since the last call, and
// tells the listeners.
func (d *Dialer) notifyChanges(now time.Time) {
	d.mu.Lock()
	lost, cutOff := d.monitor.LostPaths(), d.monitor.CutOff()
	d.mu.Unlock()
	if !slices.Equal(lost, d.known) {
		gone, open := without(lost, d.known), without(d.known, lost)
		d.known = lost
		d.cfg.Log.Info("paths to servers", "lost", d.names(gone), "open", d.names(open), "count", len(lost))
		for _, to := range slices.Concat(gone, open) {
			for _, l := range d.listeners {
				l.PathChanged(to)
			}
		}
	}
	d.notifyCutOff(now, cutOff, len(lost))
}

// notifyCutOff tells the listeners once this VM has been cut off for cutOffSettle, and when
// that is over.
func (d *Dialer) notifyCutOff(now time.Time, cutOff bool, lost int) {
	switch {
	case cutOff && d.cutOffSince.IsZero():
		d.cutOffSince = now
		return
	case cutOff && !d.cutOffKnown && now.Sub(d.cutOffSince) >= cutOffSettle:
		d.cfg.Log.Warn("cut off from all servers", "lost", lost)
	case !cutOff && d.cutOffKnown:
		d.cfg.Log.Info("servers reached again", "after", now.Sub(d.cutOffSince))
		d.cutOffSince = time.Time{}
	case !cutOff:
		d.cutOffSince = time.Time{}
		return
	default:
		return
	}
	d.cutOffKnown = cutOff
	for _, l := range d.listeners {
		l.CutOffChanged(cutOff)
	}
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
