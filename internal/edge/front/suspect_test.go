package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// drippingBody sends one byte a second until its context ends.
type drippingBody struct{ context.Context }

func (b drippingBody) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	p[0] = 'x'
	return 1, b.Err()
}

// sendSuspectedWhileItWaits sends a chunked request whose head becomes suspected while it
// waits for a server.
func (tb *testbed) sendSuspectedWhileItWaits(g *fakeGuard, body io.Reader) (status int, err error) {
	tb.origins["u1"].Slow(time.Second)
	var calls group.Group
	for i := range 4 {
		calls.Go(func(context.Context) error {
			_, _, err := tb.do(tb.request("POST", "/lab/"+strconv.Itoa(i), strings.NewReader("other")))
			return err
		})
	}
	time.Sleep(100 * time.Millisecond)
	r := tb.request("POST", "/lab/a", chunked{body})
	time.AfterFunc(100*time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		head := poison.HeadOf(r.Method, r.URL.Host, r.URL.RequestURI())
		g.RecordCrash(time.Now(), head.Fingerprint("", poison.BodyOf(nil)), ident.Process{Server: "u9"})
	})
	resp, _, err := tb.do(r)
	assert.NilError(tb.t, calls.Wait())
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// served returns how many bodies of n bytes a server has read.
func (tb *testbed) served(s ident.Server, n int) int {
	count := 0
	for _, r := range tb.origins[s].Record.All() {
		if r.Bytes == int64(n) {
			count++
		}
	}
	return count
}

// Guards against refusing or cutting off a harmless request that shares its path with a
// crashing one.
func TestABodyThatIsReadLateIsSentWhole(t *testing.T) {
	for _, size := range []int{len("sample"), 3 * defaultBufferLimit} {
		runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
			for i := range 2 { // the second time it is read as soon as it arrives
				status, err := tb.sendSuspectedWhileItWaits(g, strings.NewReader(strings.Repeat("x", size)))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, tb.served("u1", size), i+1)
			}
		})
	}
}

// Guards against holding a slot beyond the deadline, and against sending a part of a body,
// while the body of a caller that is slow or stops is read late.
func TestABodyThatIsReadLateAndDoesNotEndIsNotSent(t *testing.T) {
	for limit, makeBody := range map[time.Duration]func(context.Context) io.Reader{
		30 * time.Second: func(ctx context.Context) io.Reader { return drippingBody{ctx} },
		10 * time.Second: func(ctx context.Context) io.Reader { return endlessBody{strings.NewReader("sample"), ctx.Done()} },
	} {
		runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, _ = tb.sendSuspectedWhileItWaits(g, makeBody(ctx)) // net/http waits for the body before it answers
			last := tb.decisions.last()
			assert.Assert(t, last.Took <= limit+time.Second, last.Took)
			assert.Equal(t, last.Kind, kinds.DeadlineMissed.String())
			assert.Equal(t, last.Ran, kinds.RanNo)
			assert.Equal(t, last.Status, http.StatusServiceUnavailable)
			assert.Equal(t, tb.origins["u1"].Record.Count(last.ID), 0, "a part of the body must not be sent")
			assert.Equal(t, last.Attempts, 1)
		})
	}
}

// Guards against refusing a popular request because answers to attempts that were on their way when servers were lost do not acquit it.
func TestAnAnswerAcquitsARequestThatWasSuspectedMeanwhile(t *testing.T) {
	runWithGuard(t, func(t *testing.T, tb *testbed, g *fakeGuard) {
		tb.origins["u1"].Slow(time.Second)
		r := tb.request("POST", "/lab/a", strings.NewReader("sample"))
		same := poison.HeadOf(r.Method, r.URL.Host, r.URL.RequestURI()).Fingerprint("another caller", poison.BodyOf([]byte("sample")))
		time.AfterFunc(100*time.Millisecond, func() {
			for _, s := range []ident.Server{"u7", "u8", "u9"} {
				g.ReportCrash(poison.Attempt{Fingerprint: same, Process: ident.Process{Server: s}})
			}
		})
		resp, _, err := tb.do(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, g.Crashes(same.AnyCaller()), 0)
	})
}
