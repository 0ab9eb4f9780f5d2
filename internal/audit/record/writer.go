package record

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/ring"
)

// DefaultRing is how many decisions may wait. At 5,000 decisions a second it
// bridges a pause of the reader of about 1.6 s, in about 3 MB.
const DefaultRing = 8192

// reportEvery is how often a loss that goes on is reported again.
const reportEvery = time.Second

// Sink takes decisions after they were logged, for example the journal. Take
// must not block for long: while it does, the ring fills.
type Sink interface {
	Take(d Decision)
}

// SinkFunc is a function used as a Sink.
type SinkFunc func(Decision)

// Take calls f.
func (f SinkFunc) Take(d Decision) { f(d) }

// Writer logs decisions off the request path. Make one with New; a nil Writer
// takes decisions and does nothing, so that parts can be used without one.
//
//	w := record.New("vm-1", slog.New(slog.NewJSONHandler(os.Stdout, nil)))
//	defer w.Close()
//	w.Record(record.Decision{Sort: record.Route, Key: "scale-7", Server: "lookup-3"})
type Writer struct {
	vm    ident.VM
	log   *slog.Logger
	ring  *ring.Ring[Decision]
	sinks []Sink
	quiet bool
	rate  int // plain decisions that get a line of their own, a second; zero: all
	group group.Group

	second time.Time // the present second of the rate; the writing duty's own
	inIt   int       // plain lines in it
	summed uint64    // plain decisions without a line since the last sum

	told    uint64    // losses already reported; the writing duty's own
	toldAt  time.Time // when
	written atomic.Uint64
}

// Option changes how a Writer works.
type Option func(*Writer)

// WithRing sets how many decisions may wait.
func WithRing(n int) Option {
	return func(w *Writer) { w.ring = ring.New[Decision](n, ring.Refuse) }
}

// WithSink hands every decision to s as well.
func WithSink(s Sink) Option { return func(w *Writer) { w.sinks = append(w.sinks, s) } }

// WithoutLines hands decisions to the sinks only and logs nothing but losses.
func WithoutLines() Option { return func(w *Writer) { w.quiet = true } }

// WithRate gives only n plain decisions a second a line of their own, and sums up the
// others in one line a second. Plain is a request that was answered at its first
// attempt and without a fault of the server. Sinks get all decisions.
func WithRate(n int) Option { return func(w *Writer) { w.rate = n } }

// New starts a writer for one VM. A nil log uses [slog.Default].
func New(vm ident.VM, log *slog.Logger, opts ...Option) *Writer {
	if log == nil {
		log = slog.Default()
	}
	w := &Writer{vm: vm, log: log, ring: ring.New[Decision](DefaultRing, ring.Refuse)}
	for _, opt := range opts {
		opt(w)
	}
	w.group.Go(w.run)
	return w
}

// Record takes one decision and returns at once. It fills in the VM and the
// time when they are left out. It reports whether there was room; a decision
// without room is counted, and the count is logged and handed to the sinks.
func (w *Writer) Record(d Decision) bool {
	if w == nil {
		return true
	}
	if d.At.IsZero() {
		d.At = time.Now()
	}
	if d.VM == "" {
		d.VM = w.vm
	}
	if d.Kind == kinds.None.String() {
		d.Kind = ""
	}
	return w.ring.Push(context.Background(), d)
}

// Lost counts the decisions that found no room since the start.
func (w *Writer) Lost() uint64 {
	if w == nil {
		return 0
	}
	return w.ring.Lost()
}

// Written counts the decisions that were logged and handed on.
func (w *Writer) Written() uint64 {
	if w == nil {
		return 0
	}
	return w.written.Load()
}

// Waiting is how many decisions wait now, for a gauge.
func (w *Writer) Waiting() int {
	if w == nil {
		return 0
	}
	return w.ring.Len()
}

// Close writes what still waits, reports the last losses and waits for both.
// Record must not be called any more.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	err := w.group.Close()
	for {
		d, ok := w.ring.TryPop()
		if !ok {
			break
		}
		w.write(d)
	}
	w.sum(time.Now())
	w.report(time.Now())
	return err
}

func (w *Writer) run(ctx context.Context) error {
	for {
		d, ok := w.ring.Pop(ctx)
		if !ok {
			return nil
		}
		w.write(d)
		if w.ring.Len() == 0 || d.At.Sub(w.toldAt) >= reportEvery {
			w.report(d.At)
		}
	}
}

// report turns the losses since the last report into a line and a record of
// their own. What goes wrong without it: after a burst the log shows fewer
// requests than were served, and nobody can tell that from a quiet hour.
func (w *Writer) report(now time.Time) {
	lost := w.ring.Lost() - w.told
	if lost == 0 {
		return
	}
	w.told += lost
	w.toldAt = now
	w.log.LogAttrs(context.Background(), slog.LevelWarn, "decisions not recorded",
		slog.Uint64("count", lost), slog.Uint64("total", w.told))
	w.hand(Decision{At: now, Sort: Lost, VM: w.vm, Count: lost, Why: "the ring of decisions was full"})
}

func (w *Writer) write(d Decision) {
	if !w.quiet && w.lineFor(&d) {
		w.log.LogAttrs(context.Background(), slog.LevelInfo, "decision", append(d.attrs(), slog.Time("at", d.At))...)
	}
	w.hand(d)
	w.written.Add(1)
}

// lineFor decides whether a decision gets a line of its own. Failures, repeats and
// moves always do.
func (w *Writer) lineFor(d *Decision) bool {
	plain := d.Sort == Route && d.Kind == "" && d.Tries <= 1 && d.Status < http.StatusInternalServerError
	if w.rate <= 0 || !plain {
		return true
	}
	if d.At.Sub(w.second) >= time.Second {
		w.sum(d.At)
	}
	w.inIt++
	if w.inIt <= w.rate {
		return true
	}
	w.summed++
	return false
}

// sum begins another second, and says how many plain decisions the last ones had
// without a line.
func (w *Writer) sum(now time.Time) {
	if w.summed > 0 {
		w.log.LogAttrs(context.Background(), slog.LevelInfo, "plain decisions summed", slog.Uint64("count", w.summed))
	}
	w.second, w.inIt, w.summed = now, 0, 0
}

func (w *Writer) hand(d Decision) {
	for _, s := range w.sinks {
		s.Take(d)
	}
}
