// Package meter counts the answers that callers received, and holds the metrics of the
// other parts of an entry VM. It uses tally and exposes the metrics to Prometheus over
// HTTP.
package meter

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// reportInterval is how often tally passes its values to the reporter.
const reportInterval = time.Second

// buckets are the histogram buckets of durations, up to that of a whole request from its
// arrival to the end of its answer: 16 buckets from 500 µs up, each twice the one before.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Meter holds the metrics of one VM. Create one with New.
type Meter struct {
	tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter

	answers   sync.Map // answerKey -> *answerMetrics
	promises  sync.Map // promiseKey -> tally.Counter
	gaveUps   sync.Map // gaveUpKey -> tally.Counter
	withdrawn sync.Map // ident.Service -> tally.Counter
}

type answerKey struct {
	service ident.Service
	kind    string
}

type promiseKey struct {
	service ident.Service
	basis   record.Promise
}

type gaveUpKey struct {
	service  ident.Service
	reason   record.GaveUp
	stopping bool
}

// answerMetrics holds the metrics of one service and kind. They are created once: looking
// up a tagged scope for every request would cost more than the routing decision.
type answerMetrics struct {
	count       tally.Counter
	latency     tally.Histogram // time from the request's arrival to the end of its answer
	queueWait   tally.Histogram // time in this VM's queues
	firstByte   tally.Histogram // time until the first byte of the server's answer
	remoteBytes tally.Counter   // bytes of bodies that were sent between data centres
}

// New returns the metrics of one VM.
func New(vm ident.VM) *Meter {
	registry := prom.NewRegistry()
	m := &Meter{reporter: promreporter.NewReporter(promreporter.Options{Registerer: registry})}
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hawthorn", Separator: promreporter.DefaultSeparator,
		Tags: map[string]string{"vm": string(vm)}, CachedReporter: m.reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports for the last time and waits for the reporting goroutine.
func (m *Meter) Close() error { return m.closer.Close() }

// Answered records one answer to a caller.
func (m *Meter) Answered(d *record.Decision) {
	key := answerKey{d.Service, d.Kind}
	v, ok := m.answers.Load(key)
	if !ok {
		v, _ = m.answers.LoadOrStore(key, m.newAnswerMetrics(key))
	}
	a := v.(*answerMetrics)
	a.count.Inc(1)
	a.latency.RecordDuration(d.Took)
	a.queueWait.RecordDuration(d.Wait)
	if d.FirstByte > 0 {
		a.firstByte.RecordDuration(d.FirstByte)
	}
	if d.Remote {
		a.remoteBytes.Inc(d.Bytes)
	}
	if d.Promise != "" {
		m.countPromise(promiseKey{d.Service, d.Promise})
	}
	if d.Withdrawn > 0 {
		m.countWithdrawn(d.Service, int64(d.Withdrawn))
	}
	if d.GaveUp != "" {
		m.countGaveUp(gaveUpKey{d.Service, d.GaveUp, d.Stopping})
	}
}

// countWithdrawn counts attempts that were not sent because their server had left.
func (m *Meter) countWithdrawn(svc ident.Service, n int64) {
	v, ok := m.withdrawn.Load(svc)
	if !ok {
		scope := m.Tagged(map[string]string{"service": string(svc)})
		v, _ = m.withdrawn.LoadOrStore(svc, scope.Counter("withdrawn"))
	}
	v.(tally.Counter).Inc(n)
}

// countGaveUp counts a request of which this VM gave an attempt up.
func (m *Meter) countGaveUp(key gaveUpKey) {
	v, ok := m.gaveUps.Load(key)
	if !ok {
		scope := m.Tagged(map[string]string{"service": string(key.service), "reason": string(key.reason), "stopping": strconv.FormatBool(key.stopping)})
		v, _ = m.gaveUps.LoadOrStore(key, scope.Counter("gave_up"))
	}
	v.(tally.Counter).Inc(1)
}

// countPromise counts a request whose caller was told that it has not run.
func (m *Meter) countPromise(key promiseKey) {
	v, ok := m.promises.Load(key)
	if !ok {
		scope := m.Tagged(map[string]string{"service": string(key.service), "basis": string(key.basis)})
		v, _ = m.promises.LoadOrStore(key, scope.Counter("promises"))
	}
	v.(tally.Counter).Inc(1)
}

func (m *Meter) newAnswerMetrics(k answerKey) *answerMetrics {
	scope := m.Tagged(map[string]string{"service": string(k.service), "kind": k.kind})
	return &answerMetrics{
		count: scope.Counter("answers"), latency: scope.Histogram("took", buckets),
		queueWait: scope.Histogram("wait", buckets), firstByte: scope.Histogram("first", buckets), remoteBytes: scope.Counter("far_bytes"),
	}
}
