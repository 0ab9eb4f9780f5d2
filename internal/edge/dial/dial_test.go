package dial

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var (
	errDown = errors.New("down")
	first   = netip.MustParseAddrPort("10.0.0.1:80")
	second  = netip.MustParseAddrPort("10.0.0.2:80")
)

func open(after time.Duration, err error) Attempt {
	return func(ctx context.Context) (net.Conn, error) {
		if !group.Sleep(ctx, after) {
			return nil, ctx.Err()
		}
		if err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		_ = far.Close()
		return near, nil
	}
}

// Guards against waiting for a path that hangs while another one is open.
func TestTheNextAttemptStartsAfterTheHeadStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g group.Group
		r := race{group: &g}
		r.add(80*time.Millisecond, open(time.Hour, nil))
		r.add(60*time.Millisecond, open(5*time.Millisecond, nil))
		start := time.Now()
		c, err := r.run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 85*time.Millisecond)
		assert.NilError(t, c.Close())
		assert.NilError(t, g.Close())
	})
}

func TestTheNextAttemptStartsWhenOneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g group.Group
		r := race{group: &g}
		r.add(80*time.Millisecond, open(time.Millisecond, errDown))
		r.add(60*time.Millisecond, open(time.Millisecond, errors.New("down as well")))
		start := time.Now()
		_, err := r.run(t.Context())
		assert.ErrorIs(t, err, errDown)
		assert.Equal(t, time.Since(start), 2*time.Millisecond)
		assert.NilError(t, g.Close())
	})
}

// Guards against connections that stay open because they were slower than another one.
func TestSlowerConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g group.Group
		slow, far := net.Pipe()
		r := race{group: &g}
		r.add(time.Millisecond, func(context.Context) (net.Conn, error) {
			time.Sleep(time.Second)
			return slow, nil
		})
		r.add(time.Millisecond, open(0, nil))
		_, err := r.run(t.Context())
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		_, err = far.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.NilError(t, g.Close())
	})
}

// recorder counts what a listener is told.
type recorder struct {
	changed atomic.Int32
	cutOff  atomic.Bool
}

func (r *recorder) PathChanged(netip.AddrPort) { r.changed.Add(1) }
func (r *recorder) CutOffChanged(cutOff bool)  { r.cutOff.Store(cutOff) }

// newTestDialer returns a dialer whose paths hang while down is set.
func newTestDialer(down *atomic.Bool) (*Dialer, *recorder) {
	r := &recorder{}
	d := New(Config{
		Open: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			if down.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			_ = far // nobody reads or answers
			return near, nil
		},
		NameOf: func(at netip.AddrPort) (ident.Server, bool) { return ident.Server(at.String()), true },
		Log:    slog.New(slog.DiscardHandler),
	})
	d.Subscribe(r)
	return d, r
}

// Guards against a VM that learns from each request anew that its paths are lost, or never that they are back.
func TestSilenceIsProbedAndItsEndIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		d, r := newTestDialer(&down)
		var g group.Group
		var conns []net.Conn
		g.Go(d.Run)
		for _, to := range []netip.AddrPort{first, second} {
			c, err := d.Dial(t.Context(), to)
			assert.NilError(t, err)
			g.Go(func(context.Context) error { _, _ = c.Write([]byte("request")); return nil })
			conns = append(conns, c)
		}
		down.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, d.CutOff() && r.cutOff.Load())
		assert.Equal(t, d.LostPaths(), 2)
		assert.Assert(t, d.Lost(first))
		down.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !d.CutOff() && !r.cutOff.Load())
		assert.Equal(t, d.LostPaths(), 0)
		assert.Equal(t, r.changed.Load(), int32(4))
		for _, to := range []netip.AddrPort{first, second} {
			assert.Assert(t, !d.MayRelayOrders(to))
		}
		down.Store(true)
		_, err := d.DialOrders(t.Context(), "tcp", first.String())
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		synctest.Wait()
		assert.Assert(t, d.MayRelayOrders(first))
		assert.NilError(t, d.Close())
		for _, c := range conns {
			assert.NilError(t, c.Close())
		}
		assert.NilError(t, g.Close())
	})
}

// Guards against giving up requests at the one server that is still reached and slow.
func TestAMomentWithoutAnswersIsNoCutOff(t *testing.T) {
	var down atomic.Bool
	d, r := newTestDialer(&down)
	now := time.Unix(1000, 0)
	d.notifyCutOff(now, true, 2)
	d.notifyCutOff(now.Add(cutOffSettle/2), false, 2)
	d.notifyCutOff(now.Add(cutOffSettle), true, 2)
	d.notifyCutOff(now.Add(cutOffSettle+cutOffSettle/2), true, 2)
	assert.Assert(t, !r.cutOff.Load())
	d.notifyCutOff(now.Add(2*cutOffSettle), true, 2)
	assert.Assert(t, r.cutOff.Load())
	d.notifyCutOff(now.Add(3*cutOffSettle), false, 0)
	assert.Assert(t, !r.cutOff.Load())
}
