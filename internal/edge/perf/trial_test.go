package perf

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTheComparisonRunsAndLosesNothing(t *testing.T) {
	r, err := Latency(t.Context(), Options{Rate: 200, Rounds: 1, Round: 250 * time.Millisecond, Servers: 2, Rules: 3})
	assert.NilError(t, err)
	assert.Equal(t, r.Direct.Count, int64(50))
	assert.Equal(t, r.Routed.Count, int64(50))
	assert.Equal(t, r.Direct.Failed+r.Routed.Failed, int64(0))
}

// BenchmarkLatency reports what one entry VM adds at 5,000 requests a second:
//
//	go test -run none -bench Latency -benchtime 1x ./internal/edge/trial
func BenchmarkLatency(b *testing.B) {
	for b.Loop() {
		r, err := Latency(b.Context(), Options{})
		assert.NilError(b, err)
		b.Logf("\n%s", r)
		b.ReportMetric(float64(r.P50.Microseconds()), "added-p50-us")
		b.ReportMetric(float64(r.P99.Microseconds()), "added-p99-us")
		b.ReportMetric(float64(r.Routed.Failed), "failed")
	}
}

func TestThePathAnswers(t *testing.T) {
	p, err := NewPath()
	assert.NilError(t, err)
	assert.NilError(t, p.Once())
	assert.NilError(t, p.Close())
}

// BenchmarkPath reports time and allocations of the request path alone:
//
//	go test -run none -bench Path -benchmem ./internal/edge/trial
func BenchmarkPath(b *testing.B) {
	p, err := NewPath()
	assert.NilError(b, err)
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Once(); err != nil {
			b.Fatal(err)
		}
	}
}
