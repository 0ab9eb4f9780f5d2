package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// fakeGuard is a Guard of a single VM.
type fakeGuard struct {
	mu sync.Mutex
	*poison.Table
	reported   []poison.Fingerprint
	unanswered poison.Unanswered
	alive      map[ident.Server]poison.Life // by ServerAnswered
}

func (g *fakeGuard) Suspects(h *poison.Head) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Len() > 0 && (h == nil || g.Suspected(*h))
}

func (g *fakeGuard) QuarantineLeft(p poison.Fingerprint) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Table.QuarantineLeft(time.Now(), p)
}

func (g *fakeGuard) StartAttempt(p poison.Fingerprint) (time.Duration, *poison.Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Table.StartAttempt(time.Now(), p)
}

func (g *fakeGuard) ReturnTrial(trial *poison.Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Table.ReturnTrial(trial)
}

func (g *fakeGuard) ReportCrash(a poison.Attempt) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported = append(g.reported, a.Fingerprint)
	a.At = time.Now()
	return g.Record(a)
}

func (g *fakeGuard) ReportUnanswered(a poison.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.At = time.Now()
	g.unanswered.Add(a)
}

func (g *fakeGuard) Unanswered(h *poison.Head) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return h == nil && !g.unanswered.IsEmpty() || h != nil && g.unanswered.Has(*h)
}

func (g *fakeGuard) Answered(p poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unanswered.Clear(time.Now(), p)
	g.Clear(time.Now(), p)
}

// crashElsewhere records that the first reported request crashed a server on another VM.
func (g *fakeGuard) crashElsewhere(s ident.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.RecordCrash(time.Now(), g.reported[0], ident.Process{Server: s})
}

func runWithGuard(t *testing.T, test func(t *testing.T, tb *testbed, g *fakeGuard)) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		g := &fakeGuard{Table: poison.NewTable()}
		tb.front.Guard = g
		test(t, tb, g)
	})
}

// chunked hides a body's length, so that it is sent chunked.
type chunked struct{ io.Reader }

// Guards against a crashing request that is not recognized when its body is framed
// differently.
func TestAFingerprintDoesNotDependOnTheFraming(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Break(2)
		for _, body := range []io.Reader{strings.NewReader("sample"), chunked{strings.NewReader("sample")}} {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		}
		assert.Equal(t, len(g.reported), 2)
		assert.Equal(t, g.reported[0], g.reported[1])
		assert.Equal(t, tb.decisions.last().Fingerprint, g.reported[0].Print())
	})
}

// Guards against a crashing upload that is not recognized when its length is declared in only
// some attempts.
func TestTheFingerprintOfALongBodyDoesNotDependOnTheFraming(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		upload := func(n int) io.Reader { return strings.NewReader(strings.Repeat("x", n)) }
		long := int(tb.front.BufferLimit) + 1
		tb.origins["u1"].Break(3)
		for _, body := range []io.Reader{upload(long), chunked{upload(long)}, chunked{upload(long + 1)}} {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		}
		assert.Equal(t, len(g.reported), 3)
		assert.Equal(t, g.reported[0], g.reported[1])
		assert.Assert(t, g.reported[0] != g.reported[2])
	})
}

// Guards against attempts of one request that operators cannot find by the same text,
// because their queries differ.
func TestAttemptsWithDifferentQueriesAreLoggedUnderOnePrint(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Break(2)
		prints := map[string]bool{}
		for _, path := range []string{"/lab/a?page=1", "/lab/a?page=2"} {
			_, _, err := tb.do(tb.request("POST", path, strings.NewReader("sample")))
			assert.NilError(t, err)
			prints[tb.decisions.last().Fingerprint] = true
		}
		assert.Equal(t, len(g.reported), 2)
		assert.Assert(t, g.reported[0] != g.reported[1])
		assert.DeepEqual(t, prints, map[string]bool{g.reported[0].Print(): true})
	})
}

// Guards against forwarding a quarantined request, and against refusing others.
func TestAQuarantinedRequestIsRefusedAtOnceAndOthersAreServed(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Break(1)
		_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		for _, s := range []ident.Server{"u2", "u3"} {
			g.crashElsewhere(s)
		}
		for _, body := range []io.Reader{strings.NewReader("sample"), chunked{strings.NewReader("sample")}} {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, resp.Header.Get("Retry-After"), "600")
			last := tb.decisions.last()
			assert.Equal(t, last.Kind, kinds.Quarantined.String())
			assert.Equal(t, last.Ran, kinds.RanNo)
			assert.Equal(t, last.Attempts, 0)
		}
		for _, body := range []io.Reader{strings.NewReader("another"), chunked{strings.NewReader("another")}} {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
	})
}

// Guards against forwarding a request that arrived before its quarantine and is sent
// after it.
func TestARequestThatWaitedIsRefusedWhenItIsQuarantinedMeanwhile(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Break(1)
		_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		tb.origins["u1"].Slow(time.Second)
		var calls group.Group
		for i := range 4 { // the first two take the slots, and the gate may admit more than one
			calls.Go(func(context.Context) error {
				_, _, err := tb.do(tb.request("POST", "/lab/"+strconv.Itoa(i), strings.NewReader("other")))
				return err
			})
		}
		time.Sleep(100 * time.Millisecond)
		refused := make(chan *http.Response, 1)
		calls.Go(func(context.Context) error {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
			if err == nil {
				refused <- resp
			}
			return err
		})
		time.Sleep(100 * time.Millisecond)
		for _, s := range []ident.Server{"u2", "u3"} {
			g.crashElsewhere(s)
		}
		resp := <-refused
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		d := tb.decisions.by(resp.Header.Get(tb.front.Headers.ID)) // another may be recorded after it in the same instant
		assert.Equal(t, len(d), 1)
		assert.Equal(t, d[0].Kind, kinds.Quarantined.String())
		assert.Assert(t, d[0].Wait > 0)
		assert.NilError(t, calls.Close())
	})
}

// Guards against a request that stays suspected after a server answered it.
func TestAnAnswerClearsASuspect(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Break(1)
		for range 2 {
			_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.NilError(t, err)
		}
		assert.Equal(t, g.Crashes(g.reported[0]), 0)
	})
}

// Guards against a retry by the entry VM itself that crashes one more server.
func TestASuspectIsNotSentTwice(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["l1"].Break(10)
		_, _, err := tb.do(tb.request("GET", "/again/7", nil))
		assert.NilError(t, err)
		assert.Equal(t, len(g.reported), 2, "the first crash may have had another cause")
		g.crashElsewhere("l2")
		_, _, err = tb.do(tb.request("GET", "/again/7", nil))
		assert.NilError(t, err)
		assert.Equal(t, len(g.reported), 3)
	})
}

// Guards against clearing a crashing request because a failing server answered it with an
// error.
func TestAServerErrorClearsNoSuspect(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		assert.NilError(t, tb.origins["u1"].Close())
		requests := 0
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
			if requests++; requests == 1 {
				panic(http.ErrAbortHandler)
			}
			out.WriteHeader(http.StatusInternalServerError)
		})}
		l := tb.net.Listen(u1Addr)
		tb.group.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			_ = s.Serve(l)
			return nil
		})
		for _, status := range []int{http.StatusBadGateway, http.StatusInternalServerError} {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, status)
		}
		assert.Equal(t, g.Crashes(g.reported[0]), 1)
	})
}
