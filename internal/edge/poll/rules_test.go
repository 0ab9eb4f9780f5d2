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
	"hawthornfield.org/hawthornfield/internal/fake/pipes"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// slow is a connection that brings a packet at a time, with a pause before each.
type slow struct {
	net.Conn
	pause func() time.Duration
	ctx   context.Context // ends when the connection is closed
	end   context.CancelFunc
}

const packet = 1500 // bytes

func (s slow) Read(b []byte) (int, error) {
	if !group.Sleep(s.ctx, s.pause()) {
		return 0, net.ErrClosed // it brought bytes after its end, and a silence that was none
	}
	return s.Conn.Read(b[:min(len(b), packet)])
}

func (s slow) Close() error {
	s.end()
	return s.Conn.Close()
}

// fleet is some VMs on a network in memory.
type fleet struct {
	t    *testing.T
	net  pipes.Net
	ends []func()
}

var firstVM = netip.MustParseAddrPort("10.0.0.1:7000")

func (f *fleet) serve(at netip.AddrPort, h http.Handler) {
	web := &http.Server{Handler: h}
	l := f.net.Listen(at)
	var g group.Group
	g.Go(func(context.Context) error { _ = web.Serve(l); return nil })
	f.ends = append(f.ends, func() {
		_ = web.Close()
		assert.NilError(f.t, g.Close())
	})
}

// client makes a client whose answers come with pauses.
func (f *fleet) client(pause func() time.Duration) *Client {
	c := NewClient()
	tr := c.web.Transport.(*http.Transport)
	tr.DialContext = c.Count(func(ctx context.Context, network, at string) (net.Conn, error) {
		conn, err := f.net.DialText(ctx, network, at)
		if err != nil || pause == nil {
			return conn, err
		}
		inner, end := context.WithCancel(context.Background())
		return slow{conn, pause, inner, end}, nil
	})
	f.ends = append(f.ends, tr.CloseIdleConnections)
	return c
}

// inFleet runs a test on a network in memory and on a clock of its own.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t}
		defer func() {
			for i := len(f.ends) - 1; i >= 0; i-- {
				f.ends[i]()
			}
		}()
		test(t, f)
	})
}

func noise(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return b
}

// A VM lacks what another has. It gets the same bytes, and can pass them on as it got
// them; from one that has nothing newer it gets nothing.
func TestRulesPassFromVMToVM(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		first, second := leader(), NewHub("vm-2", "vm-2-a")
		other := netip.MustParseAddrPort("10.0.0.2:7000")
		f.serve(firstVM, first.Handler(func(*Request) {}))
		f.serve(other, second.Handler(func(*Request) {}))
		c := f.client(nil)
		data := []byte(strings.Repeat(`{"a":1},`, 1000))
		first.SetRules(Raw{Rev: 7, Data: data})
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
		assert.Assert(t, &second.rules.pack()[0] == &raw.packed[0], "not compressed again")
	})
}

// Every VM learns of new rules in the same moment, and all ask the one that told them.
// It sends them to a few and turns the others away at once, to whoever has them by then;
// when one of the few has all of them, the next gets its place.
func TestAVMSendsRulesToAFewAtOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := leader()
		b.SetRules(Raw{Rev: 7, Data: noise(100_000)})
		f.serve(firstVM, b.Handler(func(*Request) {}))
		start := time.Now()
		var g group.Group
		for range mostSent {
			c := f.client(func() time.Duration { return 10 * time.Millisecond })
			g.Go(func(ctx context.Context) error {
				_, _, err := c.Rules(ctx, firstVM, 0)
				return err
			})
		}
		time.Sleep(50 * time.Millisecond)
		c := f.client(nil)
		_, _, err := c.Rules(t.Context(), firstVM, 0)
		assert.Equal(t, kinds.Of(err), kinds.Busy)
		assert.Equal(t, time.Since(start), 50*time.Millisecond, "without a wait")
		assert.NilError(t, g.Wait())
		synctest.Wait()
		_, _, err = c.Rules(t.Context(), firstVM, 0)
		assert.NilError(t, err)
	})
}

// The system takes what a VM sends into its buffers long before it has left over a thin
// link. Were the places free by then, every VM would be served at once and all would
// share the link: the rules reach nobody for seconds.
func TestAPlaceIsTakenUntilTheRulesHaveArrived(t *testing.T) {
	b := leader()
	b.SetRules(Raw{Rev: 7, Data: noise(30_000)})
	at, _ := launch(t, b)
	var waiting []net.Conn
	for range mostSent {
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
	for end := time.Now().Add(bodySilence / 2); err != nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, _, err = c.Rules(t.Context(), at, 0)
	}
	assert.NilError(t, err, "its place is free")
}

// A VM that gets the rules is cut off without a word. Its place must come free, or after
// three of them nobody would get rules here any more.
func TestAVMThatFallsSilentKeepsNoPlace(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := leader()
		b.SetRules(Raw{Rev: 7, Data: noise(100_000)})
		f.serve(firstVM, b.Handler(func(*Request) {}))
		var cut []net.Conn
		for range mostSent {
			conn, err := f.net.Dial(t.Context(), firstVM)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s?%s=0 HTTP/1.1\r\nHost: x\r\n\r\n", rulesPath, afterParam)
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 100))
			assert.NilError(t, err)
			cut = append(cut, conn)
		}
		c := f.client(nil)
		_, _, err := c.Rules(t.Context(), firstVM, 0)
		assert.Equal(t, kinds.Of(err), kinds.Busy)
		time.Sleep(2 * bodySilence)
		_, _, err = c.Rules(t.Context(), firstVM, 0)
		assert.NilError(t, err)
		for _, conn := range cut {
			_ = conn.Close()
		}
	})
}

// The store holds a megabyte that does not compress, and the link is thin: the rules take
// seconds. They are not broken off as long as bytes come, and are as soon as none do.
func TestTheLargestRulesTravelOverAThinLink(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := leader()
		data := noise(object.MaxValue)
		b.SetRules(Raw{Rev: 7, Data: data})
		f.serve(firstVM, b.Handler(func(*Request) {}))
		start := time.Now()
		raw, _, err := f.client(func() time.Duration { return 6 * time.Millisecond }).Rules(t.Context(), firstVM, 0)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(raw.Data, data))
		assert.Assert(t, time.Since(start) > 4*bodySilence)

		left := 10
		_, _, err = f.client(func() time.Duration {
			if left--; left < 0 {
				return time.Hour
			}
			return 0
		}).Rules(t.Context(), firstVM, 0)
		assert.ErrorContains(t, err, flow.ErrTimeout.Error())
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
	})
}

// What comes unpacked to more than the store can hold is no rules, however small it is on
// the way: it would fill the VM's memory.
func TestRulesThatGrowWithoutBoundAreRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, err := z.Write(make([]byte, mostRules+1))
		assert.NilError(t, err)
		assert.NilError(t, z.Close())
		f.serve(firstVM, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRev, "7")
			_, _ = w.Write(packed.Bytes())
		}))
		_, _, err = f.client(nil).Rules(t.Context(), firstVM, 0)
		assert.Equal(t, kinds.Of(err), kinds.Malformed)
	})
}

// VMs of two versions run beside each other while they are replaced. One of the version
// before sends its rules with its answer; the new ones still take them.
func TestRulesInAnAnswerAreStillRead(t *testing.T) {
	var n Response
	assert.NilError(t, json.Unmarshal([]byte(`{"vm":"vm-1","leads":true,"rules":{"rev":7,"data":{"a":1}}}`), &n))
	assert.Equal(t, n.Rules.Rev, uint64(7))
	assert.Equal(t, string(n.Rules.Data), `{"a":1}`)
	assert.Equal(t, n.Newest, uint64(0))
}

// A VM knows that newer rules exist and fetches them, or could not read them. The leader
// must not answer each of its questions at once: both would do nothing else.
func TestRulesThatTheAskerKnowsOfAreNoNews(t *testing.T) {
	b := leader()
	b.SetRules(Raw{Rev: 7, Data: noise(100_000)})
	n, worth, _ := b.look(time.Now(), &Request{VM: "vm-2", Rules: 6})
	assert.Assert(t, worth)
	assert.Equal(t, n.Newest, uint64(7))
	text, err := json.Marshal(n)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 1000, "%d bytes", len(text))
	_, worth, _ = b.look(time.Now(), &Request{VM: "vm-2", Rules: 7})
	assert.Assert(t, !worth)
}

// BenchmarkPack compresses a configuration of some 4,200 routes, 0.7 MB, once for all VMs
// that ask.
func BenchmarkPack(b *testing.B) {
	var text bytes.Buffer
	for range 4200 {
		fmt.Fprintf(&text, `"r-%x":{"host":"%x.example","once":true,"prefix":"/%x/","service":"s%x","timeout":2,"aim":0.25,"attempts":3,"priority":1,"note":"team-%x"},`,
			noise(3), noise(3), noise(4), noise(3), noise(1))
	}
	var packed int
	for b.Loop() {
		p := payload{Raw: Raw{Data: text.Bytes()}}
		packed = len(p.pack())
	}
	b.ReportMetric(float64(text.Len()), "bytes")
	b.ReportMetric(float64(packed), "packed-bytes")
}
