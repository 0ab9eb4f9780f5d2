package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
)

const partOfAnswer = "HTTP/1.1 200 OK\r\n\r\na part"

// resetConn is a connection that is reset while a request is written: the writer gets the error,
// and the reader the end of the stream.
type resetConn struct {
	net.Conn
	answer  io.Reader
	takes   int // bytes of the request
	writing chan struct{}
	told    chan struct{} // closed when the writer got the error
}

func (c *resetConn) Write(b []byte) (int, error) {
	if len(b) <= c.takes {
		c.takes -= len(b)
		return len(b), nil
	}
	close(c.writing)
	<-c.told
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(b []byte) (int, error) {
	<-c.writing
	n, err := c.answer.Read(b)
	if err != nil {
		time.AfterFunc(10*time.Millisecond, func() { close(c.told) }) // the writer is late to know
	}
	return n, err
}

func (c *resetConn) Close() error { return nil }

// sendBuffered sends a request, and reads its answer as the front does.
func sendBuffered(ctx context.Context, r *Relay, in *http.Request, body io.Reader) (*httptest.ResponseRecorder, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a, err := r.Send(ctx, cancel, in, body, serverAddr, &Meta{ID: "r1"})
	if err != nil {
		return nil, err
	}
	if err := a.Buffer(64 << 10); err != nil {
		return nil, err
	}
	w := httptest.NewRecorder()
	_, err = a.Copy(w)
	return w, err
}

func newUpload(body io.Reader, length int64) *http.Request {
	in := httptest.NewRequest("POST", "/x", body)
	in.ContentLength = length
	return in
}

// Guards against a part of an answer that looks whole because the writer of the request took the reset.
func TestAResetThatTheWriterSeesEndsAPart(t *testing.T) {
	const size = 256 << 10
	for name, length := range map[string]int64{"by length": size, "chunked": -1} {
		c := &resetConn{answer: strings.NewReader(partOfAnswer), takes: 32 << 10, writing: make(chan struct{}), told: make(chan struct{})}
		r := New(Config{Open: func(context.Context, netip.AddrPort) (net.Conn, error) { return c, nil }})
		r.cfg.Headers.CloseDelimited = true
		body := strings.NewReader(strings.Repeat("x", size))
		w, err := sendBuffered(t.Context(), r, newUpload(body, length), io.MultiReader(body))
		assert.Equal(t, kinds.Of(err), kinds.Truncated, "%s: %v %v", name, w, err)
	}
}

func newTunnelRelay(t *testing.T, at netip.AddrPort) *Relay {
	between := tunnel.NewServer(openPath{at}, slog.New(slog.DiscardHandler))
	web := httptest.NewServer(between)
	t.Cleanup(web.Close)
	t.Cleanup(func() { _ = between.Close() })
	via := netip.MustParseAddrPort(web.Listener.Addr().String())
	r := New(Config{Open: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return (&tunnel.Client{}).Dial(ctx, via, "listed", false)
	}})
	r.cfg.Headers.CloseDelimited = true
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// uploadServer answers each upload with a part as soon as its head has come.
func uploadServer(t *testing.T, end func(*net.TCPConn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g group.Group
	g.Go(func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, partOfAnswer)
			end(c.(*net.TCPConn))
			_ = c.Close()
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		assert.NilError(t, g.Close())
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// newDirectRelay and newTunnelRelay return relays whose connections lead to a server.
func newDirectRelay(t *testing.T, at netip.AddrPort) *Relay {
	r := New(Config{Open: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return openPath{at}.DialDirect(ctx, at, 0, nil)
	}})
	r.cfg.Headers.CloseDelimited = true
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// Guards against a part of an answer that looks whole since the server ended its connection while the upload was written.
func TestAnAnswerThatEndsWithinAnUploadIsNotWhole(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"reset":        func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed":       func(*net.TCPConn) {},
		"closed, read": func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.CopyN(io.Discard, c, 64<<10) },
	}
	paths := map[string]func(*testing.T, netip.AddrPort) *Relay{"direct": newDirectRelay, "tunnel": newTunnelRelay}
	const buffers = 64 << 20 // more than the buffers of all sockets hold
	sizes := map[string][]int64{"reset": {1 << 20, buffers}, "closed": {buffers}, "closed, read": {buffers}}
	for endName, end := range ends {
		for path, newRelay := range paths {
			t.Run(endName+"/"+path, func(t *testing.T) {
				r := newRelay(t, uploadServer(t, end))
				for i := range 200 {
					size := sizes[endName][i%len(sizes[endName])]
					body := io.LimitReader(zeros{}, size)
					w, err := sendBuffered(t.Context(), r, newUpload(body, size), body)
					assert.Assert(t, err != nil, "upload %d of %d bytes: %v", i, size, w)
				}
			})
		}
	}
}

// Guards against turning down the answers without a length that are whole.
func TestAnAnswerThatEndsWithItsConnectionAfterTheRequestIsWhole(t *testing.T) {
	for path, newRelay := range map[string]func(*testing.T, netip.AddrPort) *Relay{"direct": newDirectRelay, "tunnel": newTunnelRelay} {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
			_, _ = io.Copy(io.Discard, in.Body)
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = c.Close()
			}
		}))
		defer web.Close()
		r := newRelay(t, netip.MustParseAddrPort(web.Listener.Addr().String()))
		for _, size := range []int{0, 1, 4 << 10, 8 << 10, 300 << 10} {
			for _, length := range []int64{int64(size), -1} {
				body := strings.NewReader(strings.Repeat("x", size))
				in := newUpload(body, length)
				if length < 0 && size > 0 {
					in.Trailer = http.Header{"X-Sum": {"5"}}
				}
				w, err := sendBuffered(t.Context(), r, in, io.MultiReader(body))
				assert.NilError(t, err, "%s, %d bytes, length %d", path, size, length)
				assert.Equal(t, w.Body.String(), "whole")
			}
		}
	}
}

// Guards against a line behind a body that is no field and reaches a caller, or breaks its connection's framing.
func TestAMalformedTrailerIsNoPartOfAnAnswer(t *testing.T) {
	chunk := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }
	for name, body := range map[string]string{"short": chunk(2), "long": chunk(100 << 10)} {
		for _, announced := range []string{"", "Trailer: X-Sum\r\n"} {
			r, _ := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool {
				return writeString(w, "HTTP/1.1 200 OK\r\n"+announced+"Transfer-Encoding: chunked\r\n\r\n"+body+"0\r\nX Sum: 5\r\n\r\n")
			})
			_, err := sendBuffered(t.Context(), r, httptest.NewRequest("GET", "/x", nil), nil)
			assert.ErrorIs(t, err, reply.ErrField, "%s, announced %q", name, announced)
		}
	}
}

// Guards against fields behind a body that only a connection or the system itself may set.
func TestATrailerSetsNoFieldOfTheSystem(t *testing.T) {
	r, _ := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool {
		return writeString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nHawthorn-Ran: no\r\nHawthorn-Id: r2\r\nConnection: close\r\nContent-Length: 7\r\nX-Sum: 5\r\n\r\n")
	})
	w, err := sendBuffered(t.Context(), r, httptest.NewRequest("GET", "/x", nil), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, w.Result().Trailer, http.Header{"X-Sum": {"5"}})
}
