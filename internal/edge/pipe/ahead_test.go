package pipe

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// patient is far beyond what each step takes, for busy machines.
const patient = 20 * time.Second

// site is a server on the loopback whose connections are read ahead.
type site struct {
	t       testing.TB
	reader  *Reader
	web     *http.Server
	l       net.Listener
	group   group.Group
	handler http.HandlerFunc
	ahead   atomic.Int64 // requests that were started ahead
	waits   sync.Map     // path -> time that a request lay unread, of those that were not
}

func serve(t testing.TB, ahead bool, handler http.HandlerFunc) *site {
	s := &site{t: t, handler: handler, reader: &Reader{}}
	s.reader.Serve = func(w http.ResponseWriter, r *http.Request, _ time.Time) (ok, broken bool) {
		if r.Header.Get("Once") != "" {
			return false, false
		}
		s.ahead.Add(1)
		defer func() {
			if v := recover(); v != nil {
				ok, broken = true, true
			}
		}()
		handler(w, r)
		return true, false
	}
	s.web = &http.Server{ConnContext: Context, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := From(r.Context())
		run, came := c.Begin(r)
		defer c.Done()
		if run != nil && run.Deliver(w) {
			return
		}
		if !came.IsZero() {
			s.waits.Store(r.URL.Path, time.Since(came))
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		c.OnDisconnect(cancel)
		handler(w, r.WithContext(ctx))
	})}
	var err error
	s.l, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	in := s.l
	if ahead {
		in = s.reader.Listen(s.l)
	}
	s.group.Go(func(context.Context) error { _ = s.web.Serve(in); return nil })
	t.Cleanup(func() {
		_ = s.web.Close()
		assert.NilError(t, s.reader.Close())
		assert.NilError(t, s.group.Close())
		assert.Equal(t, s.reader.pending.Load(), int64(0), "every one that was started is accounted for")
	})
	return s
}

func (s *site) dial() net.Conn {
	c, err := net.Dial("tcp", s.l.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(patient)))
	return c
}

// get renders lookups with names.
func get(names ...string) string {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "GET /%s HTTP/1.1\r\nHost: a.example\r\n\r\n", n)
	}
	return b.String()
}

// answers reads so many answers and returns their bodies.
func answers(t *testing.T, r *bufio.Reader, n int) []string {
	var all []string
	for range n {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		all = append(all, string(b))
	}
	return all
}

// A caller sends four lookups at once. The first takes long. The others must be worked
// on meanwhile, or each waits for all before it and reaches a backend server with no
// time left; and the answers come in the order of asking, whichever was ready first.
func TestLookupsBehindASlowOneAreWorkedOn(t *testing.T) {
	begun := make(chan string, 4)
	free := make(chan struct{})
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		if r.URL.Path == "/a" {
			<-free
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial()
	_, err := io.WriteString(c, get("a", "b")+get("c")[:9])
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(c, get("c")[9:]+get("d"))
	assert.NilError(t, err)
	for range 4 {
		select {
		case <-begun:
		case <-time.After(patient):
			t.Fatal("one waits for another")
		}
	}
	close(free)
	assert.DeepEqual(t, answers(t, bufio.NewReader(c), 4), []string{"/a", "/b", "/c", "/d"})
}

// A submission was sent behind two lookups that take a tenth of a second. It waits for its
// turn, and is given to a backend server with less time than its caller stated by as much:
// handed on whole, the server would work on it after its caller has left.
func TestTheTimeUnreadIsKnown(t *testing.T) {
	const slow = 100 * time.Millisecond
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(slow)
		}
		b, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		_, _ = io.WriteString(w, r.URL.Path+string(b))
	})
	c := s.dial()
	_, err := io.WriteString(c, get("a", "b")+"POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz"+get("d"))
	assert.NilError(t, err)
	assert.DeepEqual(t, answers(t, bufio.NewReader(c), 4), []string{"/a", "/b", "/cxyz", "/d"})
	wait, ok := s.waits.Load("/c")
	assert.Assert(t, ok && wait.(time.Duration) >= slow*9/10, "%v", wait)
}

// A caller sends forty lookups at once, and none is answered yet. No more than a stated
// number may be worked on, or one connection takes all of a VM's memory.
func TestNoMoreThanAStatedNumberAhead(t *testing.T) {
	var now, most atomic.Int64
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		n := now.Add(1)
		defer now.Add(-1)
		for {
			m := most.Load()
			if n <= m || most.CompareAndSwap(m, n) {
				break
			}
		}
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial()
	var names, want []string
	for n := range 40 {
		names = append(names, fmt.Sprint(n))
		want = append(want, "/"+fmt.Sprint(n))
	}
	_, err := io.WriteString(c, get(names...))
	assert.NilError(t, err)
	assert.DeepEqual(t, answers(t, bufio.NewReader(c), 40), want)
	assert.Assert(t, most.Load() <= MaxPipelined+1, "%d at once", most.Load())
	assert.Assert(t, most.Load() > 1)
}

// A caller hangs up while several of its lookups are worked on. Nobody waits for any of
// the answers, and backend servers must not go on working on them.
func TestACallerThatLeavesCancelsAll(t *testing.T) {
	begun, ended := make(chan string, 3), make(chan string, 3)
	s := serve(t, true, func(_ http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-r.Context().Done()
		ended <- r.URL.Path
	})
	c := s.dial()
	_, err := io.WriteString(c, get("a", "b", "c"))
	assert.NilError(t, err)
	for range 3 {
		<-begun
	}
	assert.NilError(t, c.Close())
	for range 3 {
		select {
		case <-ended:
		case <-time.After(patient):
			t.Fatal("one is still worked on")
		}
	}
}

// A caller asks for its connection to be closed after the first answer, and has sent
// another request behind it. That one counts as not read: it is sent again elsewhere,
// and must not run here too.
func TestNothingRunsBehindAnAnswerThatClosesTheConnection(t *testing.T) {
	var ran atomic.Int64
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial()
	first := strings.Replace(get("a"), "Host:", "Connection: close\r\nHost:", 1)
	_, err := io.WriteString(c, first+get("b", "c"))
	assert.NilError(t, err)
	all, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(all), "/a"), "%s", all)
	assert.Equal(t, ran.Load(), int64(1))
}

// An answer breaks off in the middle. The connection ends there, so that it does not look
// whole, and no other answer comes behind it as if it were the rest.
func TestABrokenAnswerEndsTheConnection(t *testing.T) {
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "6")
		_, _ = io.WriteString(w, "abc")
		if r.URL.Path == "/b" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "def")
	})
	c := s.dial()
	_, err := io.WriteString(c, get("a", "b", "c"))
	assert.NilError(t, err)
	in := bufio.NewReader(c)
	assert.DeepEqual(t, answers(t, in, 1), []string{"abcdef"})
	rest, _ := io.ReadAll(in)
	assert.Assert(t, !bytes.Contains(rest, []byte("def")), "%s", rest)
}

// A long answer is asked for behind a slow one. It is not held whole: it waits, half
// made, and arrives whole in its turn.
func TestALongAnswerWaitsForItsTurn(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 1<<16) // 1 MB
	free := make(chan struct{})
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			<-free
			return
		}
		for n := 0; n < len(long); n += 1 << 14 {
			if _, err := io.WriteString(w, long[n:n+1<<14]); err != nil {
				return
			}
		}
	})
	c := s.dial()
	_, err := io.WriteString(c, get("a", "b", "c"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(free)
	all := answers(t, bufio.NewReader(c), 3)
	assert.Assert(t, all[0] == "" && all[1] == long && all[2] == long)
}

// The VM is told to stop while lookups wait behind a slow one. Those that were sent to a
// backend server must be answered; what the caller sends from then on is not begun.
func TestAShutdownLosesNothingThatWasStarted(t *testing.T) {
	var closing atomic.Bool
	free := make(chan struct{})
	begun := make(chan string, 8)
	s := serve(t, true, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-free
		_, _ = io.WriteString(w, r.URL.Path)
	})
	s.reader.Allow = func() bool { return !closing.Load() }
	c := s.dial()
	_, err := io.WriteString(c, get("a", "b", "c"))
	assert.NilError(t, err)
	for range 3 {
		<-begun
	}
	closing.Store(true)
	_, err = io.WriteString(c, get("d"))
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	var g group.Group
	g.Go(func(ctx context.Context) error {
		s.reader.Drain(ctx)
		return s.web.Shutdown(ctx)
	})
	time.Sleep(20 * time.Millisecond)
	close(free)
	assert.DeepEqual(t, answers(t, bufio.NewReader(c), 3), []string{"/a", "/b", "/c"})
	assert.NilError(t, g.Wait())
	assert.Assert(t, len(begun) <= 1, "one more at most, in its turn")
}

// A caller ends the lines of one head with line feeds alone. net/http sees its end, and
// whoever looks for the usual end takes the next head for a part of it, and starts a
// request behind one that net/http refuses.
func TestAnotherEndOfLineIsNotReadPast(t *testing.T) {
	var ran atomic.Int64
	s := serve(t, true, func(http.ResponseWriter, *http.Request) {
		ran.Add(1)
		time.Sleep(20 * time.Millisecond)
	})
	c := s.dial()
	_, err := io.WriteString(c, "GET /a HTTP/1.1\nHost: a\n\nGET /b\r\n\r\n"+get("c"))
	assert.NilError(t, err)
	all, _ := io.ReadAll(c) // a reset behind the refusal is no matter
	assert.Assert(t, strings.Contains(string(all), "400 Bad Request"), "%s", all)
	assert.Equal(t, ran.Load(), int64(1))
}

// message is one request of a caller, in one of the forms that occur.
func message(t *rapid.T, n int) string {
	name := fmt.Sprintf("/%d", n)
	body := rapid.StringMatching("[a-zA-Z\r\n]{0,40}").Draw(t, "body")
	switch rapid.IntRange(0, 9).Draw(t, "form") {
	case 0:
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
	case 1:
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", name, len(body)+1, body+"x")
	case 2:
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nOnce: 1\r\n\r\n", name)
	case 3:
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
	case 4:
		return fmt.Sprintf("HEAD %s HTTP/1.1\r\nHost: a\r\n\r\n", name)
	case 5:
		odd := []string{
			"GET %s HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET %s HTTP/1.1\r\n\r\n", "GET %s HTTP/1.0\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "GET %s HTTP/1.1\nHost: a\n\n", "GET %s\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n", "GET %s HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n",
		}
		return fmt.Sprintf(odd[rapid.IntRange(0, len(odd)-1).Draw(t, "odd")], name)
	default:
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX-N: %s\r\n\r\n", name, name[1:])
	}
}

// exchange sends pieces and returns everything that comes back.
func exchange(t *rapid.T, s *site, pieces []string) string {
	c, err := net.Dial("tcp", s.l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(patient)))
	var g group.Group
	g.Go(func(context.Context) error {
		for _, p := range pieces {
			if _, err := io.WriteString(c, p); err != nil {
				return nil // the server closed the connection: what came back counts
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	// The last request asks for the end, so everything has been answered when it comes.
	all, _ := io.ReadAll(c) // a reset after the last answer is no matter
	assert.NilError(t, g.Wait())
	return string(all)
}

// Whatever callers send, however it is cut into packets, they get what net/http alone
// would answer, in the same order, and each request is handled once.
func TestAnswersAreThoseOfNetHTTP(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		mu.Lock()
		ran[r.Host+r.URL.Path]++
		mu.Unlock()
		w.Header().Set("Date", "now")
		fmt.Fprintf(w, "%s %s %q %v", r.Method, r.URL.Path, b, err)
	}
	plain, ahead := serve(t, false, handler), serve(t, true, handler)
	seeds.Check(t, func(t *rapid.T) {
		clear(ran)
		var text string
		for n := range rapid.IntRange(1, 8).Draw(t, "requests") {
			text += message(t, n)
		}
		text += "GET /end HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
		var pieces []string
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		want := exchange(t, plain, pieces)
		first := len(ran)
		got := exchange(t, ahead, pieces)
		// A connection that is reset may lose the end of an answer that says why.
		if !strings.Contains(want, "400 Bad Request") {
			assert.Equal(t, got, want)
		}
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(ran), first)
		for name, n := range ran {
			assert.Equal(t, n, 2, name)
		}
	})
}

// BenchmarkOneByOne is a caller that sends one request after the other, as nearly all do.
// Reading ahead may cost it nothing that shows beside the request itself.
func BenchmarkOneByOne(b *testing.B) {
	for _, mode := range []struct {
		name  string
		ahead bool
	}{{"plain", false}, {"ahead", true}} {
		b.Run(mode.name, func(b *testing.B) {
			s := serve(b, mode.ahead, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			c, err := net.Dial("tcp", s.l.Addr().String())
			assert.NilError(b, err)
			defer c.Close()
			in := bufio.NewReader(c)
			text := []byte(get("a"))
			b.ReportAllocs()
			for b.Loop() {
				_, err := c.Write(text)
				assert.NilError(b, err)
				resp, err := http.ReadResponse(in, nil)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
			}
		})
	}
}
