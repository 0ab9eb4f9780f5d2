package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// Paths are the paths of this VM to backend servers.
type Paths interface {
	// Address returns the address of a listed server.
	Address(s ident.Server) (netip.AddrPort, bool)
	// DialDirect opens a connection over this VM's own path. It calls prepare, if there is
	// one, before anything is sent.
	DialDirect(ctx context.Context, to netip.AddrPort, timeout time.Duration, prepare func(net.Conn) error) (net.Conn, error)
	// Lost reports whether this VM's path to a server is lost.
	Lost(to netip.AddrPort) bool
	// Shedding reports whether a server wants no requests from this VM now.
	Shedding(s ident.Server) bool
}

// Server opens tunnels for other VMs. Create one with NewServer.
type Server struct {
	paths Paths
	log   *slog.Logger
	group group.Group
	open  atomic.Int64
	total atomic.Int64

	draining atomic.Bool
	tunnels  sync.Map // *tunnel -> struct{}
}

// NewServer returns a Server that uses the given paths.
func NewServer(paths Paths, log *slog.Logger) *Server { return &Server{paths: paths, log: log} }

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// Total returns the number of tunnels opened so far.
func (s *Server) Total() int64 { return s.total.Load() }

// Close ends all tunnels and waits for them.
func (s *Server) Close() error { return s.group.Close() }

// Drain opens no more tunnels, and waits until the others have ended or for the end of ctx.
// The near end of a tunnel ends it once no request is in flight; a tunnel for orders, or with a
// near end that cannot be asked, ends when it looks idle.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	for s.endIdle(func(*tunnel) bool { return true }) > 0 && group.Sleep(ctx, quietTime/4) {
	}
}

// EndIdleTo ends the tunnels for requests to a server, which wants none through this VM, as soon
// as no request is in flight. Those that only look idle end if they do so now.
func (s *Server) EndIdleTo(name ident.Server) {
	s.endIdle(func(t *tunnel) bool { return t.server == name && !t.orders })
}

// endIdle ends the idle ones of the matching tunnels, or asks their near ends to do it, and
// returns the number of those that are still open.
func (s *Server) endIdle(match func(*tunnel) bool) int {
	busy := 0
	s.tunnels.Range(func(key, _ any) bool {
		t := key.(*tunnel)
		switch {
		case !match(t):
		case t.drains:
			t.askToEnd(time.Now())
			busy++
		case t.isIdle(time.Now()):
			t.close()
		default:
			busy++
		}
		return true
	})
	return busy
}

// ServeHTTP opens the tunnel that another VM asks for.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := ident.Server(r.Header.Get(headerServer))
	orders, _ := strconv.ParseBool(r.Header.Get(headerOrders)) // anything else is no tunnel for orders
	to, listed := s.paths.Address(name)
	refused := s.draining.Load() || !orders && s.paths.Shedding(name)
	if r.Header.Get("Upgrade") != protocol || !listed || refused || s.paths.Lost(to) {
		http.Error(w, "no path to the server", http.StatusServiceUnavailable)
		return
	}
	if s.open.Add(1) > maxTunnels {
		s.open.Add(-1)
		http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
		return
	}
	s.total.Add(1)
	var prepare func(net.Conn) error
	if orders {
		prepare = limitAckTime
	}
	far, err := s.paths.DialDirect(r.Context(), to, connectTimeout, prepare)
	if err != nil {
		s.open.Add(-1)
		http.Error(w, "no path to the server", http.StatusServiceUnavailable)
		return
	}
	near, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.open.Add(-1)
		_ = far.Close()
		s.log.Error("tunnel cannot be opened", "server", name, "err", err)
		return
	}
	drains, _ := strconv.ParseBool(r.Header.Get(headerDrain)) // not sent by older VMs
	counts, _ := strconv.ParseBool(r.Header.Get(headerCount)) // likewise
	t := &tunnel{server: name, near: near, nearReader: buffered.Reader, far: far, orders: orders, drains: drains, counts: counts, opened: time.Now()}
	t.note(false)
	s.group.Go(func(ctx context.Context) error {
		defer s.open.Add(-1)
		s.tunnels.Store(t, struct{}{})
		defer s.tunnels.Delete(t)
		if err := t.run(ctx); err != nil {
			s.log.Info("tunnel ended", "server", name, "for", r.RemoteAddr, "orders", orders, "why", err.Error())
		}
		return nil
	})
}

// limitAckTime ends a connection whose data is not acknowledged in time. Its peer must read
// what it is sent: a receiver without room for more counts as silent too.
func limitAckTime(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, set)
}

// errPaused ends a tunnel for orders on a VM that did not run for a while.
var errPaused = errors.New("this VM was paused")

// tunnel passes bytes between another VM and a server.
type tunnel struct {
	server     ident.Server
	near       net.Conn // to the other VM
	nearReader io.Reader
	far        net.Conn // to the server
	orders     bool
	drains     bool // the near end ends the tunnel when it is asked to
	counts     bool // the near end is told how much was passed on when the server ended the connection
	passedOn   reply.Writes
	opened     time.Time
	asked      atomic.Bool
	pulse      time.Time // when a tunnel for orders was last known to run, on the boot clock
	closing    sync.Once

	waiting  atomic.Bool  // the other VM has sent something, and the server nothing since
	lastData atomic.Int64 // time of the last data in either direction, in Unix nanoseconds
}

// quietTime is how long nothing may arrive from the server before its answer counts as
// complete, where the near end cannot be asked.
const quietTime = 200 * time.Millisecond

// isIdle reports whether no answer is awaited or being sent.
func (t *tunnel) isIdle(now time.Time) bool {
	return !t.waiting.Load() && now.Sub(time.Unix(0, t.lastData.Load())) >= quietTime
}

// askToEnd lets the frame writer ask the near end to end the tunnel.
func (t *tunnel) askToEnd(now time.Time) {
	if now.Sub(t.opened) >= firstRequestTime && t.asked.CompareAndSwap(false, true) {
		_ = t.far.SetReadDeadline(now) // it fails only once the connection is closed
	}
}

// note records data that was passed on.
func (t *tunnel) note(toServer bool) {
	t.lastData.Store(time.Now().UnixNano())
	t.waiting.Store(toServer)
}

func (t *tunnel) close() {
	t.closing.Do(func() {
		_ = t.near.Close()
		_ = t.far.Close()
	})
}

// farReader reads what the server sends and notes it.
type farReader struct{ *tunnel }

// Read reads from the server. It returns [os.ErrDeadlineExceeded] once after askToEnd.
func (r farReader) Read(b []byte) (int, error) {
	n, err := r.far.Read(b)
	if n > 0 {
		r.note(false)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errors.Join(err, r.far.SetReadDeadline(time.Time{}))
	}
	return n, err
}

const opened = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"

// run passes bytes on until one side ends, and closes both.
func (t *tunnel) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, t.close)()
	defer t.close()
	t.pulse = clock.Now()
	if err := t.near.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := io.WriteString(t.near, opened); err != nil {
		return err
	}
	var g group.Group
	g.Go(func(context.Context) error {
		defer t.close()
		return (&frameWriter{w: t.near, end: t.endFrame}).copyFrom(farReader{t})
	})
	err := t.copyToServer()
	if !errors.Is(err, errPaused) {
		err = nil // one of the ends closed its connection, as each tunnel ends
	}
	t.close()
	_ = g.Wait() // it fails because the ends are closed
	return err
}

// endFrame returns the frame that tells how the server ended the connection, after the end of
// the stream. That is its end in order only if no write failed meanwhile.
func (t *tunnel) endFrame() []byte {
	passedOn, err := t.passedOn.AtEnd()
	switch {
	case err != nil:
		return controlFrame(frameReset)
	case !t.counts:
		return controlFrame(frameEnd)
	}
	return binary.BigEndian.AppendUint64(controlFrame(frameEndAt), uint64(passedOn))
}

// copyToServer passes on what the other VM sends.
func (t *tunnel) copyToServer() error {
	buf := make([]byte, maxFrame)
	idleSince := time.Now()
	for {
		wait := idleTimeout
		if t.orders {
			wait = pulseInterval
		}
		if err := t.near.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		n, err := t.nearReader.Read(buf)
		if t.wasPaused() {
			return errPaused
		}
		if n > 0 {
			idleSince = time.Now()
			t.note(true)
			if _, werr := t.passedOn.WriteTo(t.far, buf[:n]); werr != nil {
				return werr
			}
		}
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || time.Since(idleSince) >= idleTimeout) {
			return err
		}
	}
}

// wasPaused reports whether a tunnel for orders did not run for a while. It is called at
// least each pulseInterval.
func (t *tunnel) wasPaused() bool {
	now := clock.Now()
	paused := t.orders && now.Sub(t.pulse) > pauseLimit
	t.pulse = now
	return paused
}
