package pipe

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// Run is a request that was started before its turn, with its answer. As an
// http.ResponseWriter it buffers the answer until the request's turn, and then writes
// directly to the caller.
type Run struct {
	reader    *Reader
	req       *http.Request
	arrivedAt time.Time
	ctx       context.Context

	mu            sync.Mutex
	header        http.Header
	status        int // zero until it is set
	body          []byte
	out           http.ResponseWriter // the caller's, set when the request's turn has come
	headerWritten bool                // the status was written to out
	ended         bool                // the answer was delivered or dropped
	onEnd         func()              // called then; nil if there is nothing to do
	room          int64               // memory that is taken for the head until then

	turn     chan struct{} // closed when out is set
	done     chan struct{} // closed when the answer is complete, or Serve declined the request
	served   bool          // valid after done: false if the handler must serve the request
	broken   bool          // valid after done: the answer broke off
	panicked any           // valid after done: what Serve panicked with
}

func newRun(reader *Reader, r *http.Request, at time.Time) *Run {
	return &Run{
		reader: reader, req: r, arrivedAt: at, ctx: r.Context(), header: http.Header{},
		turn: make(chan struct{}), done: make(chan struct{}),
	}
}

// OnEnd sets a function to call once the answer has been delivered to the caller, or dropped
// because the connection was closed. It is called at once if that has happened already.
func (r *Run) OnEnd(f func()) {
	r.mu.Lock()
	ended := r.ended
	if !ended {
		r.onEnd = f
	}
	r.mu.Unlock()
	if ended {
		f()
	}
}

// end calls the function that OnEnd set.
func (r *Run) end() {
	r.mu.Lock()
	f := r.onEnd
	r.ended, r.onEnd = true, nil
	r.reader.Heads.Release(r.room)
	r.room = 0
	r.mu.Unlock()
	if f != nil {
		f()
	}
}

// Buffered returns how many bytes of the body wait for the request's turn.
func (r *Run) Buffered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.body)
}

// serve produces the answer. A panic is passed on to the goroutine of the connection, where
// net/http logs it and closes that connection alone.
func (r *Run) serve() {
	defer close(r.done)
	defer func() { r.panicked = recover() }()
	r.served, r.broken = r.reader.Serve(r, r.req, r.arrivedAt)
}

// Header returns the answer's header.
func (r *Run) Header() http.Header { return r.header }

// WriteHeader sets the status. Like net/http it panics if that is none.
func (r *Run) WriteHeader(code int) {
	if err := reply.CheckStatus(code); err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.status = code
	}
	if r.out != nil {
		r.writeHeader()
	}
}

// Write appends to the body. When the buffer is full it waits for the request's turn.
func (r *Run) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if r.out == nil && len(r.body)+len(b) <= maxBuffered {
		r.body = append(r.body, b...)
		return len(b), nil
	}
	if r.out == nil {
		r.mu.Unlock()
		select {
		case <-r.turn:
		case <-r.ctx.Done():
		}
		r.mu.Lock()
		if r.out == nil {
			return 0, context.Cause(r.ctx)
		}
	}
	if err := r.writeBuffered(); err != nil {
		return 0, err
	}
	return r.out.Write(b)
}

// Reset drops the answer, so that another one can be written in its place. It returns false if
// a part of it has been passed on to the caller.
func (r *Run) Reset() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.headerWritten {
		return false
	}
	clear(r.header)
	r.status, r.body = 0, nil
	return true
}

// Flush sends the buffered answer if the request's turn has come.
func (r *Run) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil && r.writeBuffered() == nil {
		_ = http.NewResponseController(r.out).Flush() // a writer that cannot flush does not buffer
	}
}

// Unwrap lets http.ResponseController reach the caller's connection once the request's
// turn has come.
func (r *Run) Unwrap() http.ResponseWriter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out
}

// writeHeader writes the status and the headers to the caller. The caller holds mu, here
// and below.
func (r *Run) writeHeader() {
	if r.headerWritten || r.status == 0 {
		return
	}
	r.headerWritten = true
	h := r.out.Header()
	for name, values := range r.header {
		h[name] = values
	}
	r.out.WriteHeader(r.status)
}

// writeBuffered writes the headers and the buffered part of the body to the caller.
func (r *Run) writeBuffered() error {
	r.writeHeader()
	if len(r.body) == 0 {
		return nil
	}
	b := r.body
	r.body = nil
	_, err := r.out.Write(b)
	return err
}

// Deliver writes the answer to the caller as it is produced. It returns false if Serve
// declined the request and the handler must serve it. If the answer broke off, it breaks
// the caller's connection by panicking with http.ErrAbortHandler.
func (r *Run) Deliver(w http.ResponseWriter) bool {
	defer r.reader.pending.Add(-1)
	defer r.end()
	r.mu.Lock()
	r.out = w
	r.mu.Unlock()
	close(r.turn)
	<-r.done
	if r.panicked != nil {
		panic(r.panicked)
	}
	if !r.served {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.headerWritten {
		// Headers added after the status are trailers, which net/http takes from here.
		for name, values := range r.header {
			w.Header()[name] = values
		}
	}
	if err := r.writeBuffered(); err != nil || r.broken {
		panic(http.ErrAbortHandler)
	}
	return true
}
