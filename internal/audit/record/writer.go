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
	Append(d Decision)
}

// SinkFunc is a function used as a Sink.
type SinkFunc func(Decision)

// Append calls f.
func (f SinkFunc) Append(d Decision) { f(d) }

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
	plain  tally     // plain decisions in it
	fault  tally     // all others

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

// tally counts the decisions of a second that had a line, and those that had none.
type tally struct {
	inIt   int
	summed uint64
}

// take reports whether one more decision gets a line, of n a second.
func (t *tally) take(n int) bool {
	t.inIt++
	if t.inIt <= n {
		return true
	}
	t.summed++
	return false
}

// faultLines is how many lines a second failures get for each that plain decisions
// get: a failure is worth ten successes to whoever reads, and a flood of refusals
// still leaves room for the lines about what the VM believes.
const faultLines = 10

// WithRate gives only n plain decisions a second a line of their own, and ten times as
// many of the others; what is above that is summed up in a line a second for each of
// the two. Plain is a request that was answered at its first attempt and without a
// fault of the server. Sinks get all decisions.
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
	w.hand(Decision{At: now, Action: Lost, VM: w.vm, Count: lost, Reason: "the ring of decisions was full"})
}

func (w *Writer) write(d Decision) {
	if !w.quiet && w.lineFor(&d) {
		w.log.LogAttrs(context.Background(), slog.LevelInfo, "decision", append(d.attrs(), slog.Time("at", d.At))...)
	}
	w.hand(d)
	w.written.Add(1)
}

// lineFor decides whether a decision gets a line of its own.
func (w *Writer) lineFor(d *Decision) bool {
	if w.rate <= 0 {
		return true
	}
	if d.At.Sub(w.second) >= time.Second {
		w.sum(d.At)
	}
	if d.Action == Route && d.Kind == "" && d.Attempts <= 1 && d.Status < http.StatusInternalServerError {
		return w.plain.take(w.rate)
	}
	return w.fault.take(faultLines * w.rate)
}

// sum begins another second, and says how many decisions the last one had without a
// line.
func (w *Writer) sum(now time.Time) {
	w.tell(slog.LevelInfo, "plain decisions summed", w.plain.summed)
	w.tell(slog.LevelWarn, "failures summed", w.fault.summed)
	w.second, w.plain, w.fault = now, tally{}, tally{}
}

func (w *Writer) tell(l slog.Level, what string, n uint64) {
	if n > 0 {
		w.log.LogAttrs(context.Background(), l, what, slog.Uint64("count", n))
	}
}

func (w *Writer) hand(d Decision) {
	for _, s := range w.sinks {
		s.Append(d)
	}
}
