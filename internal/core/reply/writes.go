package reply

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// ErrPart says that the end of a connection is not the end of the answer on it.
var ErrPart = fmt.Errorf("the connection ended before the whole request was sent: %w", io.ErrUnexpectedEOF)

// writeWait bounds the wait for a write that is in progress when its connection has ended. The
// peer reads nothing any more, so it fails soon, or has been done.
const writeWait = time.Second

// Writes follows what is written to a connection. The zero value is ready to use.
//
// A socket has one pending error. If the peer resets the connection while something is written,
// the writer may get the error, and the reader then finds the end of the stream, as if the peer
// had closed in order.
type Writes struct {
	mu      sync.Mutex
	writing chan struct{} // closed when the write in progress has ended; nil if there is none
	failed  error         // of a write
	total   int64         // bytes written
}

// WriteTo writes to the connection. Only one goroutine may write at a time.
func (w *Writes) WriteTo(conn io.Writer, b []byte) (int, error) {
	ended := make(chan struct{})
	defer close(ended)
	w.mu.Lock()
	w.writing = ended
	w.mu.Unlock()
	n, err := conn.Write(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = nil
	w.total += int64(n)
	if err != nil {
		w.failed = err
	}
	return n, err
}

// AtEnd returns how many bytes were written before the reader found the end of the stream, or
// an error if a write has failed or does not end. It waits for a write that is in progress.
func (w *Writes) AtEnd() (total int64, err error) {
	w.mu.Lock()
	writing := w.writing
	w.mu.Unlock()
	if writing != nil {
		timer := time.NewTimer(writeWait)
		defer timer.Stop()
		select {
		case <-writing:
		case <-timer.C:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.failed != nil:
		return w.total, errors.Join(ErrPart, w.failed)
	case w.writing != nil:
		return w.total, ErrPart
	}
	return w.total, nil
}
