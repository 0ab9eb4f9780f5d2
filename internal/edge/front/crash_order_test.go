package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

const (
	crashAttempts   = 12
	attemptInterval = 3500 * time.Millisecond
	learnTime       = 3 * time.Second
	maxLateRuns     = 3
)

// entryLife is how long the entry of a server outlives the server.
const entryLife = 3 * time.Second

// replacedServers is a Guard of a single VM for which each server that crashes is replaced
// by another one at the same address.
type replacedServers struct {
	fakeGuard
	expiry map[ident.Process]time.Time // when the entries of servers that did not answer expire
}

func (g *replacedServers) ReportCrash(a poison.Attempt) int {
	a.Process.Server += "-" + ident.Server(a.ID)
	return g.fakeGuard.ReportCrash(a)
}

func (g *replacedServers) ReportUnanswered(a poison.Attempt) {
	a.Process.Server += "-" + ident.Server(a.ID)
	g.fakeGuard.ReportUnanswered(a)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiry[a.Process] = time.Now().Add(entryLife)
}

func (g *replacedServers) Suspects(h *poison.Head) bool {
	g.settle()
	return g.fakeGuard.Suspects(h)
}

// settle records the crashes of the servers whose entries have expired.
func (g *replacedServers) settle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	endings := map[ident.Process]poison.Ending{}
	for p, at := range g.expiry {
		if !time.Now().Before(at) {
			endings[p] = poison.Ended
		}
	}
	for _, a := range g.unanswered.Settle(time.Now(), endings) {
		g.Record(a)
	}
}

// lateAttempts repeats a crashing request, and counts the attempts that reached a server
// later than learnTime after the third one that did.
func (tb *testbed) lateAttempts(attempt func(i int)) int {
	tb.front.Guard = &replacedServers{fakeGuard{Table: poison.NewTable()}, map[ident.Process]time.Time{}}
	var sent []time.Time
	for i := range crashAttempts {
		start, before := time.Now(), tb.arrivals()
		attempt(i)
		time.Sleep(100 * time.Millisecond) // until the decision is recorded
		if tb.arrivals() > before {
			sent = append(sent, start)
		}
		time.Sleep(attemptInterval - time.Since(start))
	}
	late := 0
	for _, at := range sent {
		if len(sent) >= poison.CrashThreshold && at.After(sent[poison.CrashThreshold-1].Add(learnTime)) {
			late++
		}
	}
	tb.t.Logf("%d attempts reached a server, %d of them late", len(sent), late)
	return late
}

// assertNoAnswer checks that an attempt got no answer before its deadline, or was refused
// as quarantined.
func (tb *testbed) assertNoAnswer(resp *http.Response, err error) {
	tb.t.Helper()
	synctest.Wait() // so that no server answers once it is unfrozen
	if err != nil {
		assert.ErrorContains(tb.t, err, "deadline")
		return
	}
	assert.Assert(tb.t, resp.StatusCode >= http.StatusInternalServerError)
	last := tb.decisions.last()
	assert.Assert(tb.t, strings.Contains(last.Reason, errQuarantined.Error()), "%s: %s", last.Kind, last.Reason)
}

// arrivals returns the number of requests that were sent to any server. An attempt that its
// caller ended before anything was written has not run.
func (tb *testbed) arrivals() int {
	tb.decisions.mu.Lock()
	defer tb.decisions.mu.Unlock()
	n := 0
	for _, d := range tb.decisions.list {
		if d.Attempts > 0 && d.Ran != kinds.RanNo && d.Kind != kinds.Quarantined.String() {
			n++
		}
	}
	return n
}

// Guards against a count of late attempts that is wrong where nothing hides a crash.
func TestServersThatCloseTheirConnectionsQuarantineTheirRequest(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.origins["u1"].Break(2 * crashAttempts)
		late := tb.lateAttempts(func(int) {
			_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.NilError(t, err)
		})
		assert.Assert(t, late <= maxLateRuns, "%d late attempts", late)
	})
}

// Guards against a crashing request that is never found because its servers end without
// closing their connections.
func TestServersThatEndSilentlyQuarantineTheirRequest(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		late := tb.lateAttempts(func(int) {
			tb.origins["u1"].Freeze(true)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")).WithContext(ctx))
			tb.assertNoAnswer(resp, err)
			tb.origins["u1"].Freeze(false)
		})
		assert.Assert(t, late <= maxLateRuns, "%d late attempts", late)
	})
}

// Guards against a crashing request that is never found because its key moves, and the
// attempt is canceled, before the end of its server shows.
func TestAnAttemptCanceledByAMoveCountsWhenItsServerHasEnded(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		late := tb.lateAttempts(func(i int) {
			from, to := ident.Server("l1"), ident.Server("l2")
			if i%2 == 1 {
				from, to = to, from
			}
			tb.setOwner(from)
			tb.origins[from].Freeze(true)
			tb.origins[to].Freeze(true)
			var call group.Group
			call.Go(func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				resp, _, err := tb.do(tb.request("GET", "/scales/7", nil).WithContext(ctx))
				tb.assertNoAnswer(resp, err)
				return nil
			})
			time.Sleep(time.Second)
			tb.setOwner(to)
			assert.NilError(t, call.Wait())
			tb.origins[from].Freeze(false)
			tb.origins[to].Freeze(false)
		})
		assert.Assert(t, late <= maxLateRuns, "%d late attempts", late)
	})
}

// Guards against a crashing request that is never found because its caller disconnects
// between its start and the end of its server.
func TestACrashCountsAlthoughTheCallerLeftJustBefore(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.origins["u1"].Slow(30 * time.Millisecond)
		tb.origins["u1"].Break(2 * crashAttempts)
		late := tb.lateAttempts(func(int) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")).WithContext(ctx))
			tb.assertNoAnswer(resp, err)
		})
		assert.Assert(t, late <= maxLateRuns, "%d late attempts", late)
	})
}

// Guards against a crashing request that is never found because its servers crash after
// they began to answer.
func TestACrashCountsAlthoughTheAnswerHadBegun(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.origins["u1"].Truncate(2 * crashAttempts)
		late := tb.lateAttempts(func(int) {
			resp, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.Assert(t, err != nil || resp.StatusCode != http.StatusOK)
		})
		assert.Assert(t, late <= maxLateRuns, "%d late attempts", late)
	})
}

// endlessBody sends some bytes and then blocks until it is closed.
type endlessBody struct {
	io.Reader
	done <-chan struct{}
}

func (b endlessBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.done
	return 0, io.EOF
}

// Guards against a crashing request that is never found because its servers begin to run it,
// and crash, before its chunked body is complete.
func TestACrashCountsAlthoughTheBodyWasNotComplete(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		assert.NilError(t, tb.origins["u1"].Close())
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = r.Body.Read(make([]byte, 1))
			panic(http.ErrAbortHandler)
		})}
		l := tb.net.Listen(u1Addr)
		tb.group.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			_ = s.Serve(l)
			return nil
		})
		late := tb.lateAttempts(func(int) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			body := endlessBody{strings.NewReader("sample"), ctx.Done()}
			_, _, _ = tb.do(tb.request("POST", "/lab/a", chunked{body}).WithContext(ctx))
		})
		assert.Assert(t, late <= maxLateRuns, "%d late attempts", late)
	})
}

// Guards against sending chunked requests that wait for a server while they are quarantined.
func TestChunkedRequestsThatWaitAreRefusedOnceQuarantined(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Break(1)
		_, _, err := tb.do(tb.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		p := g.reported[0]
		g.Clear(time.Now(), p) // so that the VM suspects nothing when the copies arrive
		g.Reconcile(time.Now(), func(poison.Crash) poison.Liveness { return poison.Unknown })
		tb.origins["u1"].Slow(learnTime + time.Second)
		var calls group.Group
		for i := range 4 {
			calls.Go(func(context.Context) error {
				_, _, err := tb.do(tb.request("POST", "/lab/"+strconv.Itoa(i), strings.NewReader("other")))
				return err
			})
		}
		time.Sleep(100 * time.Millisecond)
		const copies = maxLateRuns + 1
		for range copies {
			calls.Go(func(context.Context) error {
				_, _, err := tb.do(tb.request("POST", "/lab/a", chunked{strings.NewReader("sample")}))
				return err
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.mu.Lock()
		for _, s := range []ident.Server{"u2", "u3", "u4"} {
			g.RecordCrash(time.Now(), p, ident.Process{Server: s})
		}
		g.mu.Unlock()
		assert.NilError(t, calls.Wait())
		time.Sleep(100 * time.Millisecond)
		refused := 0
		tb.decisions.mu.Lock()
		defer tb.decisions.mu.Unlock()
		for _, d := range tb.decisions.list {
			if d.Kind == kinds.Quarantined.String() {
				refused++
			}
		}
		assert.Equal(t, refused, copies)
	})
}
