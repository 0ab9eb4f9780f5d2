// Package logbuf buffers log lines, so that logging never blocks the caller.
//
// When the reader of standard output stops, the pipe fills, and the next line would block
// whoever logs it, be it a request or the leader election. Lines go into a bounded ring
// instead, and one goroutine writes them. Lines that do not fit are dropped and counted,
// and the count is logged, so that a reader can see that lines are missing.
package logbuf

import (
	"context"
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ring"
)

// DefaultRing is the number of lines that may wait to be written: about a second of the
// busiest VM's lines, in a few hundred kilobytes.
const DefaultRing = 1024

// Writer writes the buffered lines. Create one with New.
type Writer struct {
	inner        slog.Handler
	ring         *ring.Ring[line]
	group        group.Group
	reportedLost uint64 // dropped lines already reported
}

// line is a log record with the handler that is to write it.
type line struct {
	handler slog.Handler
	record  slog.Record
}

// New starts a writer that buffers up to n lines for a handler; zero means DefaultRing.
//
//	w := logbuf.New(slog.NewJSONHandler(os.Stdout, nil), 0)
//	defer w.Close()
//	log := slog.New(w.Handler())
func New(inner slog.Handler, n int) *Writer {
	if n <= 0 {
		n = DefaultRing
	}
	w := &Writer{inner: inner, ring: ring.New[line](n, ring.Refuse)}
	w.group.Go(w.run)
	return w
}

// Handler returns the handler that puts lines into the buffer.
func (w *Writer) Handler() slog.Handler { return handler{w: w, inner: w.inner} }

// Lost returns the number of lines dropped since the start.
func (w *Writer) Lost() uint64 { return w.ring.Lost() }

// Close writes the waiting lines and returns when that is done.
func (w *Writer) Close() error {
	err := w.group.Close()
	for {
		l, ok := w.ring.TryPop()
		if !ok {
			break
		}
		w.write(l)
	}
	w.reportLosses()
	return err
}

func (w *Writer) run(ctx context.Context) error {
	for {
		l, ok := w.ring.Pop(ctx)
		if !ok {
			return nil
		}
		w.write(l)
		if w.ring.Len() == 0 {
			w.reportLosses()
		}
	}
}

func (w *Writer) write(l line) {
	// The error is ignored: without standard output there is nowhere else to log to.
	_ = l.handler.Handle(context.Background(), l.record)
}

// reportLosses logs how many lines were dropped since the last report.
func (w *Writer) reportLosses() {
	lost := w.ring.Lost() - w.reportedLost
	if lost == 0 {
		return
	}
	w.reportedLost += lost
	rec := slog.NewRecord(time.Now(), slog.LevelWarn, "lines left out", 0)
	rec.AddAttrs(slog.Uint64("count", lost), slog.Uint64("total", w.reportedLost))
	w.write(line{w.inner, rec})
}

// handler is a [slog.Handler] that puts records into the ring.
type handler struct {
	w     *Writer
	inner slog.Handler
}

// Enabled reports whether the wrapped handler logs at level l.
func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle queues a line and returns at once.
func (h handler) Handle(ctx context.Context, rec slog.Record) error {
	h.w.ring.Push(ctx, line{h.inner, rec.Clone()})
	return nil
}

// WithAttrs returns a handler that adds attributes.
func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{h.w, h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h handler) WithGroup(name string) slog.Handler { return handler{h.w, h.inner.WithGroup(name)} }
