package pipe

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Run is one request that was started ahead of its turn, and the answer as far as it is
// there. As an http.ResponseWriter it holds the answer until the request's turn, and
// passes on what comes after that.
type Run struct {
	reader *Reader
	r      *http.Request
	at     time.Time
	ctx    context.Context

	mu     sync.Mutex
	header http.Header
	status int
	body   []byte
	to     http.ResponseWriter // the caller's, from the request's turn on
	headed bool                // the status went to it

	turn   chan struct{} // closed when to is set
	done   chan struct{} // closed when the answer is complete, or nobody will make one
	served bool          // valid after done: false lets the handler serve the request
	broken bool          // valid after done: the answer broke off
}

func newRun(a *Reader, r *http.Request, at time.Time) *Run {
	return &Run{
		reader: a, r: r, at: at, ctx: r.Context(), header: http.Header{},
		turn: make(chan struct{}), done: make(chan struct{}),
	}
}

// serve makes the answer.
func (a *Run) serve() {
	defer close(a.done)
	a.served, a.broken = a.reader.Serve(a, a.r, a.at)
}

// Header returns the answer's header.
func (a *Run) Header() http.Header { return a.header }

// WriteHeader sets the status.
func (a *Run) WriteHeader(code int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status == 0 {
		a.status = code
	}
	if a.to != nil {
		a.head()
	}
}

// Write adds to the body. Beyond what is held it waits for the request's turn.
func (a *Run) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status == 0 {
		a.status = http.StatusOK
	}
	if a.to == nil && len(a.body)+len(b) <= mostHeld {
		a.body = append(a.body, b...)
		return len(b), nil
	}
	if a.to == nil {
		a.mu.Unlock()
		select {
		case <-a.turn:
		case <-a.ctx.Done():
		}
		a.mu.Lock()
		if a.to == nil {
			return 0, context.Cause(a.ctx)
		}
	}
	if err := a.flush(); err != nil {
		return 0, err
	}
	return a.to.Write(b)
}

// Flush passes on what is held, if it is the request's turn.
func (a *Run) Flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.to != nil && a.flush() == nil {
		_ = http.NewResponseController(a.to).Flush() // a writer that cannot flush holds nothing back
	}
}

// Unwrap lets http.ResponseController reach the caller's connection in its turn.
func (a *Run) Unwrap() http.ResponseWriter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.to
}

// head passes the status and the headers on. The caller holds mu, here and below.
func (a *Run) head() {
	if a.headed || a.status == 0 {
		return
	}
	a.headed = true
	h := a.to.Header()
	for name, values := range a.header {
		h[name] = values
	}
	a.to.WriteHeader(a.status)
}

func (a *Run) flush() error {
	a.head()
	if len(a.body) == 0 {
		return nil
	}
	b := a.body
	a.body = nil
	_, err := a.to.Write(b)
	return err
}

// Deliver passes the answer on, as it is made. It returns false when nobody made one
// and the handler is to serve the request itself. An answer that broke off breaks the
// caller's connection off too, by panicking with http.ErrAbortHandler.
func (a *Run) Deliver(w http.ResponseWriter) bool {
	defer a.reader.pending.Add(-1)
	a.mu.Lock()
	a.to = w
	a.mu.Unlock()
	close(a.turn)
	<-a.done
	if !a.served {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headed {
		// What the answer's end added are trailers, which net/http takes from here.
		for name, values := range a.header {
			w.Header()[name] = values
		}
	}
	if err := a.flush(); err != nil || a.broken {
		panic(http.ErrAbortHandler)
	}
	return true
}
