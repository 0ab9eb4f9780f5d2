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

// DefaultRing is the number of decisions that may wait to be written. At 5,000
// decisions a second it covers a pause of the log reader of about 1.6 s, in about
// 3 MB.
const DefaultRing = 8192

// lossReportInterval is the time between reports while decisions keep being dropped.
const lossReportInterval = time.Second

// Sink receives decisions after they were logged, for example the journal. Append
// must not block for long: while it does, the ring fills.
type Sink interface {
	Append(d Decision)
}

// SinkFunc is a function used as a Sink.
type SinkFunc func(Decision)

// Append calls f.
func (f SinkFunc) Append(d Decision) { f(d) }

// Writer logs decisions outside the request path. Create one with New. A nil Writer
// accepts decisions and does nothing, so that components can be used without one.
//
//	w := record.New("vm-1", slog.New(slog.NewJSONHandler(os.Stdout, nil)))
//	defer w.Close()
//	w.Record(record.Decision{Action: record.Route, Key: "scale-7", Server: "lookup-3"})
type Writer struct {
	vm    ident.VM
	log   *slog.Logger
	ring  *ring.Ring[Decision]
	sinks []Sink
	quiet bool // log nothing but losses
	rate  int  // plain decisions logged per second; zero logs all
	group group.Group

	secondStart time.Time // start of the current second of the rate limit; used by run and Close only
	plainQuota  lineQuota // plain decisions in this second
	faultQuota  lineQuota // all other decisions in this second

	reportedLost uint64    // losses already reported; used by run and Close only
	reportedAt   time.Time // time of the last loss report
	written      atomic.Uint64
}

// Option configures a Writer.
type Option func(*Writer)

// WithRing sets the number of decisions that may wait to be written.
func WithRing(n int) Option {
	return func(w *Writer) { w.ring = ring.New[Decision](n, ring.Refuse) }
}

// WithSink also passes every decision to s.
func WithSink(s Sink) Option { return func(w *Writer) { w.sinks = append(w.sinks, s) } }

// WithoutLines passes decisions to the sinks only and logs nothing but losses.
func WithoutLines() Option { return func(w *Writer) { w.quiet = true } }

// lineQuota limits the log lines of one second and counts the decisions left out.
type lineQuota struct {
	seen       int
	suppressed uint64
}

// allow reports whether one more decision may be logged, at n a second.
func (q *lineQuota) allow(n int) bool {
	q.seen++
	if q.seen <= n {
		return true
	}
	q.suppressed++
	return false
}

// faultRateFactor is the ratio of the line rate of failures to that of plain decisions.
// To a reader the line of one failure is worth ten lines of successes, but the rate of
// failures is limited too, so that a flood of refusals leaves room for the lines about the
// state of the VM.
const faultRateFactor = 10

// WithRate limits the log to n plain decisions a second, and to ten times as many of the
// others. One line a second for each of the two counts the decisions above the limit. A
// decision is plain when its request was answered at the first attempt without a server
// error. Sinks get all decisions.
func WithRate(n int) Option { return func(w *Writer) { w.rate = n } }

// New starts the writer of one VM. A nil log means [slog.Default].
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

// Record queues one decision and returns at once. It fills in the VM and the
// time when they are left out. It reports whether there was room. Dropped decisions
// are counted, and the count is logged and passed to the sinks.
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

// Lost returns the number of decisions dropped since the start.
func (w *Writer) Lost() uint64 {
	if w == nil {
		return 0
	}
	return w.ring.Lost()
}

// Written returns the number of decisions that were logged and passed to the sinks.
func (w *Writer) Written() uint64 {
	if w == nil {
		return 0
	}
	return w.written.Load()
}

// Waiting returns the number of decisions waiting to be written.
func (w *Writer) Waiting() int {
	if w == nil {
		return 0
	}
	return w.ring.Len()
}

// Close writes the waiting decisions, reports the last losses, and returns when both
// are done. Record must not be called after Close.
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
	w.startSecond(time.Now())
	w.reportLosses(time.Now())
	return err
}

func (w *Writer) run(ctx context.Context) error {
	for {
		d, ok := w.ring.Pop(ctx)
		if !ok {
			return nil
		}
		w.write(d)
		if w.ring.Len() == 0 || d.At.Sub(w.reportedAt) >= lossReportInterval {
			w.reportLosses(d.At)
		}
	}
}

// reportLosses logs and records how many decisions were dropped since the last report.
// Without it, a log with dropped decisions could not be told from one of a time with
// few requests.
func (w *Writer) reportLosses(now time.Time) {
	lost := w.ring.Lost() - w.reportedLost
	if lost == 0 {
		return
	}
	w.reportedLost += lost
	w.reportedAt = now
	w.log.LogAttrs(context.Background(), slog.LevelWarn, "decisions not recorded",
		slog.Uint64("count", lost), slog.Uint64("total", w.reportedLost))
	w.passToSinks(Decision{At: now, Action: Lost, VM: w.vm, Count: lost, Reason: "the ring of decisions was full"})
}

func (w *Writer) write(d Decision) {
	if !w.quiet && w.shouldLog(&d) {
		w.log.LogAttrs(context.Background(), slog.LevelInfo, "decision", append(d.attrs(), slog.Time("at", d.At))...)
	}
	w.passToSinks(d)
	w.written.Add(1)
}

// shouldLog reports whether a decision gets its own log line.
func (w *Writer) shouldLog(d *Decision) bool {
	if w.rate <= 0 {
		return true
	}
	if d.At.Sub(w.secondStart) >= time.Second {
		w.startSecond(d.At)
	}
	if d.Action == Route && d.Kind == "" && d.Attempts <= 1 && d.Status < http.StatusInternalServerError {
		return w.plainQuota.allow(w.rate)
	}
	return w.faultQuota.allow(faultRateFactor * w.rate)
}

// startSecond logs how many decisions of the last second were left out of the log, and
// starts another second.
func (w *Writer) startSecond(now time.Time) {
	w.logSuppressed(slog.LevelInfo, "plain decisions summed", w.plainQuota.suppressed)
	w.logSuppressed(slog.LevelWarn, "failures summed", w.faultQuota.suppressed)
	w.secondStart, w.plainQuota, w.faultQuota = now, lineQuota{}, lineQuota{}
}

func (w *Writer) logSuppressed(l slog.Level, msg string, n uint64) {
	if n > 0 {
		w.log.LogAttrs(context.Background(), l, msg, slog.Uint64("count", n))
	}
}

func (w *Writer) passToSinks(d Decision) {
	for _, s := range w.sinks {
		s.Append(d)
	}
}
