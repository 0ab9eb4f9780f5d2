package front

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/pipe"
	"hawthornfield.org/hawthornfield/internal/load/egress"
)

// acquireBytes waits until the VM has room for the response, if the request's rule has large
// ones. It comes before the gate's admission: no slot of a server is taken meanwhile.
func (x *exchange) acquireBytes(ctx context.Context) error {
	b := x.f.Egress
	if !b.Bounded() {
		return nil
	}
	b.SetOn(x.f.State.Rules.Current().Set.HasLarge())
	if !x.rule.Then.Large {
		x.hold = b.Track()
		x.trackDelivery()
		return nil
	}
	var err error
	x.hold, err = b.Acquire(ctx, x.rule.Name, time.Until(x.deadline))
	x.trackDelivery()
	delay := x.hold.Delay()
	var refused *egress.Refusal
	if errors.As(err, &refused) {
		delay = refused.Delay
	}
	x.decision.Egress, x.decision.EgressHeld, x.decision.EgressBound = delay.Wait, delay.Held, delay.Bound
	return err
}

// trackDelivery keeps the bytes of a pipelined answer counted until it was delivered or its
// connection was closed: the VM holds them until their turn.
func (x *exchange) trackDelivery() {
	if run, ok := x.w.(*pipe.Run); ok && x.hold != nil {
		run.OnEnd(x.hold.Close)
	}
}

// releaseBytes ends the counting of an answer, unless it still waits for its turn.
func (x *exchange) releaseBytes() {
	if _, ok := x.w.(*pipe.Run); !ok {
		x.hold.Close()
	}
}

// bytesRetryAfter returns when a request that was refused for its bytes is expected to fit,
// zero for other errors.
func bytesRetryAfter(err error) time.Duration {
	var refused *egress.Refusal
	if errors.As(err, &refused) {
		return refused.After
	}
	return 0
}

// readerPiece is the most bytes that are written under one write deadline. net/http does not
// say how much of a write was accepted before its deadline, so a reader counts as accepting
// nothing if it takes less than this within egress.ReaderTimeout.
const readerPiece = 8 << 10

// pieceWriter writes in pieces, each with its own deadline, and disconnects a reader that
// accepts nothing.
type pieceWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	budget  *egress.Budget
	timeout time.Duration // of each piece; zero means none
	sent    func(n int)   // called after each piece; may be nil
	failed  bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *pieceWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes with a timeout for each piece.
func (w *pieceWriter) Write(b []byte) (int, error) {
	total := 0
	for total < len(b) || total == 0 {
		w.setDeadline()
		n, err := w.ResponseWriter.Write(b[total:min(len(b), total+readerPiece)])
		total += n
		if w.sent != nil {
			w.sent(n)
		}
		if err != nil {
			w.fail(err)
			return total, err
		}
		if len(b) == 0 {
			break
		}
	}
	return total, nil
}

// Flush sends buffered data with a timeout.
func (w *pieceWriter) Flush() {
	w.setDeadline()
	if err := w.rc.Flush(); err != nil {
		w.fail(err)
	}
}

func (w *pieceWriter) setDeadline() {
	if w.timeout > 0 {
		_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

func (w *pieceWriter) fail(err error) {
	if !w.failed && errors.Is(err, os.ErrDeadlineExceeded) {
		w.budget.CountDisconnect()
	}
	w.failed = true
}

// end sends what net/http buffers of an answer of known length while the deadline still
// holds, and then clears it for the next answer on the connection. Otherwise net/http would
// send the rest, up to 4 KB, after the handler and without a deadline.
func (w *pieceWriter) end() {
	if !w.failed && w.Header().Get("Content-Length") != "" {
		w.Flush()
	}
	_ = w.rc.SetWriteDeadline(time.Time{})
}

// sendBuffer is the kernel's send buffer, in bytes, of a connection with a long answer while
// the budget is on; Linux accepts up to twice that. Without a limit it accepts up to 4 MB, so
// that the answers of slow readers occupy the VM's memory and count as sent. With this one, a
// connection with a round trip of 100 ms carries up to 1.3 MB/s.
const sendBuffer = 64 << 10

// deliver delivers a pipelined answer. While the budget is on, its caller is disconnected
// like any other if it accepts nothing.
func (f *Front) deliver(run *pipe.Run, conn *pipe.Conn, w *statusWriter) bool {
	if !f.Egress.On() {
		return run.Deliver(w)
	}
	conn.LimitSendBuffer(sendBuffer)
	out := &pieceWriter{ResponseWriter: w, rc: http.NewResponseController(w), budget: f.Egress, timeout: egress.ReaderTimeout}
	if !run.Deliver(out) {
		return false
	}
	out.end()
	return true
}

// countingWriter counts the bytes of an answer. They have been read from the server when they
// are written here, and the copy of the answer reads no further before they are accepted.
type countingWriter struct {
	pieceWriter
	hold    *egress.Hold
	run     *pipe.Run // of a pipelined request, otherwise nil
	written int       // to run
	taken   int       // of that, what the caller has accepted
}

// newCountingWriter returns a writer for an answer of the given length, -1 if unknown.
func (x *exchange) newCountingWriter(length int64) *countingWriter {
	if length >= 0 && x.r.Method != http.MethodHead {
		x.hold.Expect(length)
	}
	if length < 0 || length > sendBuffer {
		x.conn.LimitSendBuffer(sendBuffer)
	}
	w := &countingWriter{hold: x.hold}
	w.pieceWriter = pieceWriter{
		ResponseWriter: x.w, rc: http.NewResponseController(x.w), budget: x.f.Egress, timeout: x.readerTimeout(length), sent: w.count,
	}
	w.run, _ = x.w.(*pipe.Run)
	return w
}

// readerTimeout returns how long the caller may accept nothing. A request that must not run
// twice is not cut off by the budget while its server may still be busy with it: that ends
// only after the limit that holds without the budget. An answer that was read whole can be
// cut off, as its server has finished.
func (x *exchange) readerTimeout(length int64) time.Duration {
	limit := writeTimeoutFactor * x.f.limits().HeaderTimeout.Duration
	if !x.rule.Then.Idempotent && (length < 0 || length > maxBufferedAnswer) {
		return limit
	}
	if limit <= 0 {
		return egress.ReaderTimeout
	}
	return min(limit, egress.ReaderTimeout)
}

// Write counts the bytes and writes them.
func (w *countingWriter) Write(b []byte) (int, error) {
	w.hold.Grow(int64(len(b)))
	return w.pieceWriter.Write(b)
}

// count counts bytes that were accepted: by the caller, or by the buffer of a pipelined
// request, which passes them on when its turn comes.
func (w *countingWriter) count(n int) {
	if w.run != nil {
		w.written += n
		n = w.written - w.run.Buffered() - w.taken
		w.taken += n
	}
	w.hold.Sent(int64(n))
}
