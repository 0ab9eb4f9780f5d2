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

// guard is a Guard of one VM.
type guard struct {
	mu sync.Mutex
	*poison.Table
	accused []poison.Fingerprint
}

func (t *guard) Suspects(h *poison.Head) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Len() > 0 && (h == nil || t.Suspected(*h))
}

func (t *guard) QuarantineLeft(p poison.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Table.QuarantineLeft(time.Now(), p)
}

func (t *guard) ReportCrash(p poison.Fingerprint, s ident.Server, _ ident.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accused = append(t.accused, p)
	return t.RecordCrash(time.Now(), p, s)
}

func (t *guard) Answered(p poison.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Clear(time.Now(), p)
}

// elsewhere accuses the first request that was by a server of another VM.
func (t *guard) elsewhere(s ident.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.RecordCrash(time.Now(), t.accused[0], s)
}

func guarded(t *testing.T, test func(t *testing.T, w *world, g *guard)) {
	run(t, func(t *testing.T, w *world) {
		g := &guard{Table: poison.NewTable()}
		w.front.Guard = g
		test(t, w, g)
	})
}

// chunked hides a body's length.
type chunked struct{ io.Reader }

// Guards against a crashing request that reaches servers in the guise of another framing of its body.
func TestARequestIsKnownAgainWhateverItsFraming(t *testing.T) {
	guarded(t, func(t *testing.T, w *world, g *guard) {
		w.origins["u1"].Break(2)
		for _, body := range []io.Reader{strings.NewReader("sample"), chunked{strings.NewReader("sample")}} {
			resp, _, err := w.do(w.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		}
		assert.Equal(t, len(g.accused), 2)
		assert.Equal(t, g.accused[0], g.accused[1])
		assert.Equal(t, w.log.last().Fingerprint, g.accused[0].AnyCaller().String())
	})
}

// Guards against a crashing request that is sent on, and against harmless requests that are not.
func TestAQuarantinedRequestIsRefusedAtOnceAndOthersAreServed(t *testing.T) {
	guarded(t, func(t *testing.T, w *world, g *guard) {
		w.origins["u1"].Break(1)
		_, _, err := w.do(w.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		for _, s := range []ident.Server{"u2", "u3"} {
			g.elsewhere(s)
		}
		for _, body := range []io.Reader{strings.NewReader("sample"), chunked{strings.NewReader("sample")}} {
			resp, _, err := w.do(w.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, resp.Header.Get("Retry-After"), "600")
			last := w.log.last()
			assert.Equal(t, last.Kind, kinds.Quarantined.String())
			assert.Equal(t, last.Ran, kinds.RanNo)
			assert.Equal(t, last.Attempts, 0)
		}
		for _, body := range []io.Reader{strings.NewReader("another"), chunked{strings.NewReader("another")}} {
			resp, _, err := w.do(w.request("POST", "/lab/a", body))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
	})
}

// Guards against a request that came before its quarantine and is sent after it.
func TestARequestThatWaitedIsRefusedWhenItIsQuarantinedMeanwhile(t *testing.T) {
	guarded(t, func(t *testing.T, w *world, g *guard) {
		w.origins["u1"].Break(1)
		_, _, err := w.do(w.request("POST", "/lab/a", strings.NewReader("sample")))
		assert.NilError(t, err)
		w.origins["u1"].Slow(time.Second)
		var calls group.Group
		for i := range 4 { // the first two take the slots, and more than one may be let in
			calls.Go(func(context.Context) error {
				_, _, err := w.do(w.request("POST", "/lab/"+strconv.Itoa(i), strings.NewReader("other")))
				return err
			})
		}
		time.Sleep(100 * time.Millisecond)
		status := make(chan int, 1)
		calls.Go(func(context.Context) error {
			resp, _, err := w.do(w.request("POST", "/lab/a", strings.NewReader("sample")))
			if err == nil {
				status <- resp.StatusCode
			}
			return err
		})
		time.Sleep(100 * time.Millisecond)
		for _, s := range []ident.Server{"u2", "u3"} {
			g.elsewhere(s)
		}
		assert.Equal(t, <-status, http.StatusServiceUnavailable)
		last := w.log.last()
		assert.Equal(t, last.Kind, kinds.Quarantined.String())
		assert.Assert(t, last.Wait > 0)
		assert.NilError(t, calls.Close())
	})
}

// Guards against suspicion that an answer does not end.
func TestAnAnswerClearsASuspect(t *testing.T) {
	guarded(t, func(t *testing.T, w *world, g *guard) {
		w.origins["u1"].Break(1)
		for range 2 {
			_, _, err := w.do(w.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.NilError(t, err)
		}
		assert.Equal(t, g.Crashes(g.accused[0]), 0)
	})
}

// Guards against a retry of our own that ends one server more.
func TestASuspectIsNotSentTwice(t *testing.T) {
	guarded(t, func(t *testing.T, w *world, g *guard) {
		w.origins["l1"].Break(10)
		_, _, err := w.do(w.request("GET", "/again/7", nil))
		assert.NilError(t, err)
		assert.Equal(t, len(g.accused), 2, "the first crash may have had another cause")
		g.elsewhere("l2")
		_, _, err = w.do(w.request("GET", "/again/7", nil))
		assert.NilError(t, err)
		assert.Equal(t, len(g.accused), 3)
	})
}

// Guards against a crashing request that a failing server's fault sets free.
func TestAServersFaultClearsNoSuspect(t *testing.T) {
	guarded(t, func(t *testing.T, w *world, g *guard) {
		assert.NilError(t, w.origins["u1"].Close())
		asked := 0
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
			if asked++; asked == 1 {
				panic(http.ErrAbortHandler)
			}
			out.WriteHeader(http.StatusInternalServerError)
		})}
		l := w.net.Listen(third)
		w.group.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			_ = s.Serve(l)
			return nil
		})
		for _, status := range []int{http.StatusBadGateway, http.StatusInternalServerError} {
			resp, _, err := w.do(w.request("POST", "/lab/a", strings.NewReader("sample")))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, status)
		}
		assert.Equal(t, g.Crashes(g.accused[0]), 1)
	})
}
