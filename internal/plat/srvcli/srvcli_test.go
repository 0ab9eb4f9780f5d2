package srvcli_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/fake/pipes"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
)

var serverAddr = netip.MustParseAddrPort("10.0.0.9:8400")

// Limits in bytes, in both directions together, of a renewal and a probe on an
// established connection. They take 149 and 40 bytes; the limits leave a small
// margin.
const (
	maxRenewalBytes = 160
	maxProbeBytes   = 48
)

// fixture is a client, counters of its traffic, and a backend server.
type fixture struct {
	srvcli.Client
	*backend
	pipes pipes.Net
	bytes atomic.Int64
	dials atomic.Int64
	calls atomic.Int64
}

// countedConn adds the bytes of a connection to n.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func newFixture(cfg origin.Config) *fixture {
	f := &fixture{}
	f.Transport = func(p *http.Protocols) http.RoundTripper {
		t := srvcli.Transport(p).(*http.Transport)
		t.DialContext = func(ctx context.Context, _, to string) (net.Conn, error) {
			f.dials.Add(1)
			c, err := f.pipes.DialText(ctx, "", to)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &f.bytes}, nil
		}
		return t
	}
	f.startServer(cfg)
	return f
}

// backend is a fake backend server with its listener.
type backend struct {
	group.Group
	origin *origin.Origin
	web    *http.Server
	done   chan struct{}
}

// startServer starts a backend server at serverAddr and replaces the previous one.
func (f *fixture) startServer(cfg origin.Config) {
	f.backend = &backend{origin: origin.New(cfg), done: make(chan struct{})}
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(!cfg.LegacyControl)
	inner := f.origin.Handler()
	web := &http.Server{Protocols: p, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		inner.ServeHTTP(w, r)
	})}
	l, done := f.pipes.Listen(serverAddr), f.done
	f.web = web
	f.backend.Go(func(context.Context) error {
		defer close(done)
		_ = web.Serve(l)
		return nil
	})
}

func (b *backend) stop(t *testing.T) {
	b.origin.Freeze(false)
	assert.NilError(t, b.web.Close())
	<-b.done
}

func (f *fixture) close(t *testing.T) {
	f.stop(t)
	assert.NilError(t, f.Client.Close())
}

// bytesUsed returns the bytes that the calls in do sent and received.
func (f *fixture) bytesUsed(t *testing.T, do func() error) int64 {
	before := f.bytes.Load()
	assert.NilError(t, do())
	synctest.Wait()
	return f.bytes.Load() - before
}

func serverConfig(legacy bool) origin.Config {
	return origin.Config{Service: "lookup", Server: "lookup-07", Keyed: true, Slices: 4096, Slots: 4, LegacyControl: legacy}
}

func grant(mark server.Mark) server.Order {
	o := server.Order{
		Service: "lookup", Server: "lookup-07", Lessor: "lookup-07", Sender: "vm-03",
		Fence: ident.Fence{Epoch: 4, Seq: 70_000}, Mark: mark, TTL: 700 * time.Millisecond, Rev: 812, Full: true,
	}
	for x := range ident.Slice(240) {
		o.Slices = append(o.Slices, x*17)
	}
	return o
}

func renewal(mark server.Mark) server.Order {
	o := grant(mark)
	o.Full, o.Slices = false, nil
	return o
}

// Each server's lease is renewed 5.7 times a second. A renewal that repeated its set
// of slices or constant headers would multiply the control traffic of every VM.
func TestRenewalAndProbeSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(serverConfig(false))
		held, err := f.Read(t.Context(), serverAddr, "lookup", "")
		assert.NilError(t, err)
		mark := held.Mark
		order := func(o server.Order) func() error {
			return func() error {
				r, err := f.Grant(t.Context(), serverAddr, o)
				assert.Equal(t, r.Reason, "")
				assert.Assert(t, r.Status != nil && r.Status.Ready)
				assert.Equal(t, r.Status.Slots, 4)
				mark = r.Mark
				return err
			}
		}
		full := f.bytesUsed(t, order(grant(mark)))
		f.bytesUsed(t, order(renewal(mark)))
		time.Sleep(175 * time.Millisecond)
		renew := f.bytesUsed(t, order(renewal(mark)))
		probe := func() error {
			status, err := f.Status(t.Context(), serverAddr)
			assert.Assert(t, status.Ready && status.Slots == 4)
			return err
		}
		f.bytesUsed(t, probe)
		probed := f.bytesUsed(t, probe)
		t.Logf("grant of 240 slices %d bytes, renewal %d, probe %d", full, renew, probed)
		assert.Assert(t, renew <= maxRenewalBytes, "%d bytes", renew)
		assert.Assert(t, probed <= maxProbeBytes, "%d bytes", probed)
		assert.Equal(t, f.dials.Load(), int64(2), "expected one connection for the negotiation and one for all other calls")
		f.close(t)
	})
}

// A backend server of an older version supports only HTTP/1.1 and JSON. Calls to it
// must work and never use another protocol or encoding.
func TestOlderServerGetsHTTP1AndJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(serverConfig(true))
		var renew int64
		held, err := f.Read(t.Context(), serverAddr, "lookup", "")
		assert.NilError(t, err)
		_, err = f.Grant(t.Context(), serverAddr, grant(held.Mark))
		assert.NilError(t, err)
		for range 3 {
			renew = f.bytesUsed(t, func() error {
				r, err := f.Grant(t.Context(), serverAddr, renewal(held.Mark))
				assert.Assert(t, r.Done)
				return err
			})
		}
		status, err := f.Status(t.Context(), serverAddr)
		assert.NilError(t, err)
		assert.Assert(t, status.Ready)
		assert.Equal(t, f.dials.Load(), int64(1))
		t.Logf("renewal %d bytes", renew)
		f.close(t)
	})
}

// A backend server is lost without closing its connections, and another one takes its
// address. If orders kept using the old connection, they would fail until TCP times
// out, and the keys would have no owner for a quarter of an hour.
func TestALostServersConnectionIsNotUsedAgain(t *testing.T) {
	for name, legacy := range map[string]bool{"same version": false, "older version": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(serverConfig(false))
				held := f.warmUp(t)
				lost := f.backend // it keeps the connection open
				lost.origin.Freeze(true)
				f.startServer(serverConfig(legacy))
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				_, err := f.Grant(ctx, serverAddr, renewal(held))
				cancel()
				assert.Equal(t, kinds.Of(err), kinds.Ambiguous)
				r, err := f.Read(t.Context(), serverAddr, "lookup", "")
				assert.NilError(t, err)
				assert.Assert(t, r.Mark.Boot != held.Boot, "the reply is from the lost server")
				_, err = f.Grant(t.Context(), serverAddr, grant(r.Mark))
				assert.NilError(t, err)
				lost.stop(t)
				f.close(t)
			})
		})
	}
}

// warmUp makes calls until the protocol is negotiated, and returns a mark.
func (f *fixture) warmUp(t *testing.T) server.Mark {
	for range 2 {
		_, err := f.Read(t.Context(), serverAddr, "lookup", "")
		assert.NilError(t, err)
		// net/http hands a new HTTP/2 connection to the call that dialled it and
		// offers it to others a moment later; a call in between dials another.
		synctest.Wait()
	}
	r, err := f.Read(t.Context(), serverAddr, "lookup", "")
	assert.NilError(t, err)
	assert.Equal(t, f.dials.Load(), int64(2))
	return r.Mark
}

// A connection breaks after an order was sent. If that counted as a failure, its keys could
// be given to a second server while the first serves them; if the client repeated the order,
// the server could get one that its sender does not know of.
func TestAnOrderWithoutAnAnswerIsInDoubtAndNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(serverConfig(false))
		mark := f.warmUp(t)
		f.origin.Freeze(true)
		calls := f.calls.Load()
		broken := make(chan error, 1)
		var caller group.Group
		caller.Go(func(context.Context) error {
			_, err := f.Grant(t.Context(), serverAddr, grant(mark))
			broken <- err
			return nil
		})
		synctest.Wait()
		assert.NilError(t, f.web.Close())
		assert.Equal(t, kinds.Of(<-broken), kinds.Ambiguous)
		assert.Equal(t, f.calls.Load()-calls, int64(1))

		// The server no longer listens, so this order certainly had no effect.
		_, err := f.Grant(t.Context(), serverAddr, grant(mark))
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		_, err = f.Read(t.Context(), serverAddr, "lookup", "")
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		f.close(t)
	})
}

// A backend server of another version answers an order with status 200 and a body that
// cannot be decoded. The order was obeyed; if the sender took it for refused, it
// would give the keys to another server while this one serves them.
func TestAnUnreadableAnswerToAnOrderIsAmbiguous(t *testing.T) {
	for name, kind := range map[string]string{"JSON": srvcli.TypeJSON, "CBOR": srvcli.TypeCBOR, "neither": "text/html; charset", "none": ""} {
		for _, body := range []string{"", "{", "\xff", "\xa1\x01", "[7]", "\x9f\xff", `{"obeyed":true}`} {
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Content-Type"] = []string{kind}
				_, _ = io.WriteString(w, body)
			}))
			to := netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
			var c srvcli.Client
			_, err := c.Grant(t.Context(), to, renewal(server.Mark{Boot: 1}))
			assert.Equal(t, kinds.Of(err), kinds.Ambiguous, "%s %q", name, body)
			_, err = c.Read(t.Context(), to, "lookup", "")
			assert.Equal(t, kinds.Of(err), kinds.Malformed, "%s %q", name, body)
			assert.NilError(t, c.Close())
			web.Close()
		}
	}
}
