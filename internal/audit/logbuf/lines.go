// Package logbuf writes log lines without ever making anybody wait for them.
//
// The pattern it answers is a reader of standard output that stops: a pipe fills, and
// the next line blocks whoever writes it, a request or the decision who leads. Lines
// go into a bounded ring instead, one duty writes them, and what finds no room is
// counted. The count itself becomes a line: a gap that does not say that it is one
// would be worse than the gap.
package logbuf

import (
	"context"
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ring"
)

// DefaultRing is how many lines may wait: about a second of the busiest VM's, in some
// hundred kilobytes.
const DefaultRing = 1024

// Writer is the duty behind a handler. Make one with New.
type Writer struct {
	inner slog.Handler
	ring  *ring.Ring[line]
	group group.Group
	told  uint64
}

type line struct {
	to  slog.Handler
	rec slog.Record
}

// New starts a writer in front of a handler, for a ring of n lines; zero takes
// DefaultRing.
//
//	w := lines.New(slog.NewJSONHandler(os.Stdout, nil), 0)
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

// Handler returns the handler to log through.
func (w *Writer) Handler() slog.Handler { return handler{w: w, inner: w.inner} }

// Lost counts the lines that found no room.
func (w *Writer) Lost() uint64 { return w.ring.Lost() }

// Close writes what still waits, and waits for that.
func (w *Writer) Close() error {
	err := w.group.Close()
	for {
		l, ok := w.ring.TryPop()
		if !ok {
			break
		}
		w.write(l)
	}
	w.report()
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
			w.report()
		}
	}
}

func (w *Writer) write(l line) {
	// A line that cannot be written has nowhere else to go: standard output is gone.
	_ = l.to.Handle(context.Background(), l.rec)
}

// report says how many lines were left out since the last time.
func (w *Writer) report() {
	lost := w.ring.Lost() - w.told
	if lost == 0 {
		return
	}
	w.told += lost
	rec := slog.NewRecord(time.Now(), slog.LevelWarn, "lines left out", 0)
	rec.AddAttrs(slog.Uint64("count", lost), slog.Uint64("total", w.told))
	w.write(line{w.inner, rec})
}

// handler puts records into the ring.
type handler struct {
	w     *Writer
	inner slog.Handler
}

// Enabled reports whether the handler behind would write such a line.
func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle takes a line and returns at once.
func (h handler) Handle(ctx context.Context, rec slog.Record) error {
	h.w.ring.Push(ctx, line{h.inner, rec.Clone()})
	return nil
}

// WithAttrs returns a handler that adds attributes.
func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{h.w, h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts attributes into a group.
func (h handler) WithGroup(name string) slog.Handler { return handler{h.w, h.inner.WithGroup(name)} }
