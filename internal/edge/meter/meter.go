// Package meter counts what callers received and what the parts of an entry VM
// do, by tally, and serves the figures to Prometheus over HTTP.
package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// reportEvery is how often tally hands its figures to the reporter.
const reportEvery = time.Second

// buckets of the time from a request's arrival to the end of its answer.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Meter holds the metrics of one VM. Make one with New.
type Meter struct {
	tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter

	answers sync.Map // answerKey -> *answer
}

type answerKey struct {
	service ident.Service
	kind    string
}

// answer holds the metrics of one service and kind, made once: looking a tagged
// scope up for every request would cost more than the routing decision.
type answer struct {
	count tally.Counter
	took  tally.Histogram
	wait  tally.Histogram // in this VM's queues
	first tally.Histogram // way and server
	far   tally.Counter   // bytes of bodies that crossed between data centres
}

// New makes the metrics of one VM.
func New(vm ident.VM) *Meter {
	registry := prom.NewRegistry()
	m := &Meter{reporter: promreporter.NewReporter(promreporter.Options{Registerer: registry})}
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hawthorn", Separator: promreporter.DefaultSeparator,
		Tags: map[string]string{"vm": string(vm)}, CachedReporter: m.reporter,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return m
}

// Handler serves the metrics in Prometheus' text form.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports for the last time and waits for the reporting duty.
func (m *Meter) Close() error { return m.closer.Close() }

// Answered counts one answer to a caller.
func (m *Meter) Answered(d *record.Decision) {
	key := answerKey{d.Service, d.Kind}
	v, ok := m.answers.Load(key)
	if !ok {
		v, _ = m.answers.LoadOrStore(key, m.answer(key))
	}
	a := v.(*answer)
	a.count.Inc(1)
	a.took.RecordDuration(d.Took)
	a.wait.RecordDuration(d.Wait)
	if d.FirstByte > 0 {
		a.first.RecordDuration(d.FirstByte)
	}
	if d.Remote {
		a.far.Inc(d.Bytes)
	}
}

func (m *Meter) answer(k answerKey) *answer {
	scope := m.Tagged(map[string]string{"service": string(k.service), "kind": k.kind})
	return &answer{
		count: scope.Counter("answers"), took: scope.Histogram("took", buckets),
		wait: scope.Histogram("wait", buckets), first: scope.Histogram("first", buckets), far: scope.Counter("far_bytes"),
	}
}
