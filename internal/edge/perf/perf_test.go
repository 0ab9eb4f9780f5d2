package perf

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLatencyCountsEveryRequest(t *testing.T) {
	res, err := Latency(t.Context(), Options{Rate: 200, Rounds: 1, Round: 250 * time.Millisecond, Servers: 2, Rules: 3})
	assert.NilError(t, err)
	assert.Equal(t, res.Direct.Count, int64(50))
	assert.Equal(t, res.Routed.Count, int64(50))
	assert.Equal(t, res.Direct.Failed+res.Routed.Failed, int64(0))
}

// BenchmarkLatency reports what one entry VM adds at 5,000 requests a second:
//
//	go test -run none -bench Latency -benchtime 1x ./internal/edge/perf
func BenchmarkLatency(b *testing.B) {
	for b.Loop() {
		res, err := Latency(b.Context(), Options{})
		assert.NilError(b, err)
		b.Logf("\n%s", res)
		b.ReportMetric(float64(res.P50.Microseconds()), "added-p50-us")
		b.ReportMetric(float64(res.P99.Microseconds()), "added-p99-us")
		b.ReportMetric(float64(res.Routed.Failed), "failed")
	}
}

func TestPathAnswers(t *testing.T) {
	p, err := NewPath()
	assert.NilError(t, err)
	assert.NilError(t, p.Once())
	assert.NilError(t, p.Close())
}

// BenchmarkPath reports time and allocations of the request path alone:
//
//	go test -run none -bench Path -benchmem ./internal/edge/perf
func BenchmarkPath(b *testing.B) { benchmarkPath(b, false) }

// BenchmarkPathSilent is BenchmarkPath with full servers that are known to be silent.
func BenchmarkPathSilent(b *testing.B) { benchmarkPath(b, true) }

func benchmarkPath(b *testing.B, silent bool) {
	p, err := NewPath()
	assert.NilError(b, err)
	defer p.Close()
	p.SetSilent(silent)
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Once(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCountedPath is BenchmarkPath with the budget for response bytes.
func BenchmarkCountedPath(b *testing.B) {
	for name, large := range map[string]bool{"small": false, "large": true} {
		b.Run(name, func(b *testing.B) {
			p, err := NewPath()
			assert.NilError(b, err)
			defer p.Close()
			assert.NilError(b, p.CountResponses(large))
			b.ReportAllocs()
			for b.Loop() {
				if err := p.Once(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
