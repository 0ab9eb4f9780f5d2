package poll

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
	"hawthornfield.org/hawthornfield/internal/fake/pipes"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// slowConn is a connection that delivers one packet at a time, with a pause before each.
type slowConn struct {
	net.Conn
	pause func() time.Duration
	ctx   context.Context // canceled when the connection is closed
	end   context.CancelFunc
}

const packetSize = 1500 // bytes

func (s slowConn) Read(b []byte) (int, error) {
	if !group.Sleep(s.ctx, s.pause()) {
		return 0, net.ErrClosed // the connection was closed during the pause
	}
	return s.Conn.Read(b[:min(len(b), packetSize)])
}

func (s slowConn) Close() error {
	s.end()
	return s.Conn.Close()
}

// testNet is an in-memory network with some VMs.
type testNet struct {
	t        *testing.T
	net      pipes.Net
	cleanups []func()
}

var firstVM = netip.MustParseAddrPort("10.0.0.1:7000")

func (tn *testNet) serve(at netip.AddrPort, h http.Handler) {
	web := &http.Server{Handler: h}
	l := tn.net.Listen(at)
	var g group.Group
	g.Go(func(context.Context) error { _ = web.Serve(l); return nil })
	tn.cleanups = append(tn.cleanups, func() {
		_ = web.Close()
		assert.NilError(tn.t, g.Close())
	})
}

// client creates a client whose responses arrive with pauses.
func (tn *testNet) client(pause func() time.Duration) *Client {
	c := NewClient()
	tr := c.http.Transport.(reply.Transport).Transport
	tr.DialContext = c.Count(func(ctx context.Context, network, at string) (net.Conn, error) {
		conn, err := tn.net.DialText(ctx, network, at)
		if err != nil || pause == nil {
			return conn, err
		}
		inner, end := context.WithCancel(context.Background())
		return slowConn{conn, pause, inner, end}, nil
	})
	tn.cleanups = append(tn.cleanups, tr.CloseIdleConnections)
	return c
}

// withTestNet runs a test on an in-memory network with a simulated clock.
func withTestNet(t *testing.T, test func(t *testing.T, tn *testNet)) {
	synctest.Test(t, func(t *testing.T) {
		tn := &testNet{t: t}
		defer func() {
			for i := len(tn.cleanups) - 1; i >= 0; i-- {
				tn.cleanups[i]()
			}
		}()
		test(t, tn)
	})
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return b
}

// A VM that lacks rules gets the same bytes that another VM has, and can pass them on
// without compressing them again. A VM with nothing newer sends nothing.
func TestRulesPassFromVMToVM(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		first, second := newLeader(), NewHub("vm-2", "vm-2-a")
		other := netip.MustParseAddrPort("10.0.0.2:7000")
		tn.serve(firstVM, first.Handler(func(*Request) {}))
		tn.serve(other, second.Handler(func(*Request) {}))
		c := tn.client(nil)
		data := []byte(strings.Repeat(`{"a":1},`, 1000))
		first.SetRules(RawRules{Rev: 7, Data: data})
		_, _, err := c.Rules(t.Context(), firstVM, 7)
		assert.Equal(t, kinds.Of(err), kinds.NotFound)
		_, _, err = c.Rules(t.Context(), other, 6)
		assert.Equal(t, kinds.Of(err), kinds.NotFound)

		raw, n, err := c.Rules(t.Context(), firstVM, 6)
		assert.NilError(t, err)
		assert.Equal(t, raw.Rev, uint64(7))
		assert.Assert(t, bytes.Equal(raw.Data, data))
		assert.Assert(t, n < len(data)/10, "%d bytes on the way", n)
		second.SetRules(raw)
		again, _, err := c.Rules(t.Context(), other, 6)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(again.Data, data))
		assert.Assert(t, &second.rules.compressed()[0] == &raw.gzipped[0], "not compressed again")
	})
}

// Guards against a VM that sends rules to all others at once. It must serve a few, turn
// the others away at once, and serve the next when a transfer has ended.
func TestAVMSendsRulesToAFewAtOnce(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := newLeader()
		h.SetRules(RawRules{Rev: 7, Data: randomBytes(100_000)})
		tn.serve(firstVM, h.Handler(func(*Request) {}))
		start := time.Now()
		var g group.Group
		for range maxRulesTransfers {
			c := tn.client(func() time.Duration { return 10 * time.Millisecond })
			g.Go(func(ctx context.Context) error {
				_, _, err := c.Rules(ctx, firstVM, 0)
				return err
			})
		}
		time.Sleep(50 * time.Millisecond)
		c := tn.client(nil)
		_, _, err := c.Rules(t.Context(), firstVM, 0)
		assert.Equal(t, kinds.Of(err), kinds.Busy)
		assert.Equal(t, time.Since(start), 50*time.Millisecond, "without a wait")
		assert.NilError(t, g.Wait())
		synctest.Wait()
		_, _, err = c.Rules(t.Context(), firstVM, 0)
		assert.NilError(t, err)
	})
}

// Guards against transfer slots that are freed when the data has only reached the
// system's buffers. All VMs would be served at once and share a slow link, and none would
// have the rules for seconds.
func TestTransferSlotIsHeldUntilRulesArrive(t *testing.T) {
	h := newLeader()
	h.SetRules(RawRules{Rev: 7, Data: randomBytes(30_000)})
	at, _ := startHub(t, h)
	var waiting []net.Conn
	for range maxRulesTransfers {
		conn, err := net.Dial("tcp", at.String())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET %s?%s=0 HTTP/1.1\r\nHost: x\r\n\r\n", rulesPath, afterParam)
		assert.NilError(t, err)
		_, err = conn.Read(make([]byte, 1))
		assert.NilError(t, err)
		waiting = append(waiting, conn)
	}
	time.Sleep(20 * time.Millisecond)
	c := NewClient()
	_, _, err := c.Rules(t.Context(), at, 0)
	assert.Equal(t, kinds.Of(err), kinds.Busy)
	assert.NilError(t, waiting[0].Close())
	for end := time.Now().Add(bodyIdleTimeout / 2); err != nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, _, err = c.Rules(t.Context(), at, 0)
	}
	assert.NilError(t, err, "the transfer slot is free")
}

// Guards against transfer slots that are never freed because the receiver was cut off.
// After three of these, no VM would get rules from here.
func TestSilentVMFreesTransferSlot(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := newLeader()
		h.SetRules(RawRules{Rev: 7, Data: randomBytes(100_000)})
		tn.serve(firstVM, h.Handler(func(*Request) {}))
		var cut []net.Conn
		for range maxRulesTransfers {
			conn, err := tn.net.Dial(t.Context(), firstVM)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s?%s=0 HTTP/1.1\r\nHost: x\r\n\r\n", rulesPath, afterParam)
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 100))
			assert.NilError(t, err)
			cut = append(cut, conn)
		}
		c := tn.client(nil)
		_, _, err := c.Rules(t.Context(), firstVM, 0)
		assert.Equal(t, kinds.Of(err), kinds.Busy)
		time.Sleep(2 * bodyIdleTimeout)
		_, _, err = c.Rules(t.Context(), firstVM, 0)
		assert.NilError(t, err)
		for _, conn := range cut {
			_ = conn.Close()
		}
	})
}

// Guards against a transfer that is aborted although data still arrives. The largest
// rules, a megabyte that does not compress, take seconds on a slow link; only a pause
// without any bytes ends the transfer.
func TestLargestRulesArriveOverASlowLink(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		h := newLeader()
		data := randomBytes(object.MaxValue)
		h.SetRules(RawRules{Rev: 7, Data: data})
		tn.serve(firstVM, h.Handler(func(*Request) {}))
		start := time.Now()
		raw, _, err := tn.client(func() time.Duration { return 6 * time.Millisecond }).Rules(t.Context(), firstVM, 0)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(raw.Data, data))
		assert.Assert(t, time.Since(start) > 4*bodyIdleTimeout)

		left := 10
		_, _, err = tn.client(func() time.Duration {
			if left--; left < 0 {
				return time.Hour
			}
			return 0
		}).Rules(t.Context(), firstVM, 0)
		assert.ErrorContains(t, err, flow.ErrTimeout.Error())
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
	})
}

// Guards against compressed rules that fill the VM's memory: more than the store can hold
// must be refused, however small the compressed form is.
func TestRulesThatGrowWithoutBoundAreRefused(t *testing.T) {
	withTestNet(t, func(t *testing.T, tn *testNet) {
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, err := z.Write(make([]byte, maxRulesBytes+1))
		assert.NilError(t, err)
		assert.NilError(t, z.Close())
		tn.serve(firstVM, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRev, "7")
			_, _ = w.Write(packed.Bytes())
		}))
		_, _, err = tn.client(nil).Rules(t.Context(), firstVM, 0)
		assert.Equal(t, kinds.Of(err), kinds.Malformed)
	})
}

// Guards against revisions of the store, which VMs of an earlier version send, being taken
// for versions of the rules: no later version would come into force.
func TestRevisionsOfAnEarlierVersionAreNotRead(t *testing.T) {
	var n Response
	assert.NilError(t, json.Unmarshal([]byte(`{"vm":"vm-1","leads":true,"newest":700,"rules":{"rev":700,"data":{"a":1}}}`), &n))
	assert.Equal(t, n.RulesRev, uint64(0))
	var req Request
	assert.NilError(t, json.Unmarshal([]byte(`{"vm":"vm-1","rules":700}`), &req))
	assert.Equal(t, req.RulesRev, uint64(0))
}

// Guards against a loop of polls. A VM that knows of newer rules is still fetching them
// or could not decode them, so the leader must not answer its polls at once.
func TestKnownRulesRevisionIsNoNews(t *testing.T) {
	h := newLeader()
	h.SetRules(RawRules{Rev: 7, Data: randomBytes(100_000)})
	n, worth, _ := h.response(time.Now(), &Request{VM: "vm-2", RulesRev: 6})
	assert.Assert(t, worth)
	assert.Equal(t, n.RulesRev, uint64(7))
	text, err := json.Marshal(n)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1000, "%d bytes", len(text))
	_, worth, _ = h.response(time.Now(), &Request{VM: "vm-2", RulesRev: 7})
	assert.Assert(t, !worth)
}

// BenchmarkCompressRules compresses a configuration of about 4,200 routes, 0.7 MB, which
// happens once for all VMs that fetch it.
func BenchmarkCompressRules(b *testing.B) {
	var text bytes.Buffer
	for range 4200 {
		fmt.Fprintf(&text, `"r-%x":{"host":"%x.example","once":true,"prefix":"/%x/","service":"s%x","timeout":2,"aim":0.25,"attempts":3,"priority":1,"note":"team-%x"},`,
			randomBytes(3), randomBytes(3), randomBytes(4), randomBytes(3), randomBytes(1))
	}
	var packed int
	for b.Loop() {
		p := rulesPayload{RawRules: RawRules{Data: text.Bytes()}}
		packed = len(p.compressed())
	}
	b.ReportMetric(float64(text.Len()), "bytes")
	b.ReportMetric(float64(packed), "packed-bytes")
}
