package poison

import (
	"encoding/json"
	"testing"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// BenchmarkSuspected measures what the check costs an unrelated request while another one
// is under suspicion.
func BenchmarkSuspected(b *testing.B) {
	tab := NewTable()
	tab.RecordCrash(t0, crashing, first("s1"))
	b.ReportAllocs()
	for b.Loop() {
		if tab.Suspected(HeadOf("GET", "budget.example", "/forecast/ward-17/2026")) {
			b.Fatal("known")
		}
	}
}

// BenchmarkVerdict reports the encoded size in bytes of a report and of a verdict that
// names three servers.
func BenchmarkVerdict(b *testing.B) {
	tab := NewTable()
	for _, s := range []ident.Server{"i-267427395c", "i-598e18d132", "i-7c71da8af1"} {
		tab.RecordCrash(t0, crashing, first(s))
	}
	size := func(v any) float64 {
		text, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(text))
	}
	for b.Loop() {
		_ = size(tab.ChangesSince(t0.Add(time.Second), 0))
	}
	b.ReportMetric(size(tab.ChangesSince(t0.Add(time.Second), 0)), "bytes/verdict")
	b.ReportMetric(size(tab.Reports(t0.Add(time.Second), "x")[:1]), "bytes/report")
}
