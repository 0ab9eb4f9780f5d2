package record

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

func TestOneJSONLineForEachDecision(t *testing.T) {
	var out bytes.Buffer
	w := New("vm-1", slog.New(slog.NewJSONHandler(&out, nil)))
	at := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	assert.Assert(t, w.Record(Decision{
		At: at, Action: Route, ID: "r-1", Key: "scale-7", Rule: "receipts", Rev: 12, Server: "ledger-3", Epoch: 4,
		Caller: "hauler-9", Kind: kinds.Busy.String(), Ran: kinds.RanNo, Reason: "all slots taken",
	}))
	assert.Assert(t, w.Record(Decision{Action: Place, Slice: 17, Server: "lookup-1", PrevOwner: "lookup-2"}))
	assert.NilError(t, w.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	var got map[string]any
	assert.NilError(t, json.Unmarshal([]byte(lines[0]), &got))
	for name, want := range map[string]any{
		"id": "r-1", "key": "scale-7", "rule": "receipts", "rev": 12.0, "server": "ledger-3", "epoch": 4.0,
		"caller": "hauler-9", "kind": "busy", "ran": "no", "why": "all slots taken", "vm": "vm-1", "sort": "route",
		"at": "2026-10-01T06:00:00Z",
	} {
		assert.Equal(t, got[name], want, name)
	}
	assert.Equal(t, w.Written(), uint64(2))
}

// The reader of the log pauses while requests go on, and the ring fills. The number of
// dropped decisions must be logged and passed to the sinks.
func TestDroppedDecisionsAreCountedLoggedAndPassedToSinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var kept []Decision
		gate := make(chan struct{})
		blocked := SinkFunc(func(d Decision) {
			<-gate
			kept = append(kept, d)
		})
		w := New("vm-1", slog.New(slog.NewJSONHandler(&out, nil)), WithRing(4), WithSink(blocked))
		accepted := 0
		for range 20 {
			if w.Record(Decision{Action: Route}) {
				accepted++
			}
			synctest.Wait()
		}
		assert.Equal(t, accepted, 5) // four in the ring, one in the blocked sink
		assert.Equal(t, w.Lost(), uint64(15))
		assert.Equal(t, w.Waiting(), 4)
		close(gate)
		time.Sleep(2 * time.Second)
		w.Record(Decision{Action: Route})
		assert.NilError(t, w.Close())
		var reported uint64
		for _, d := range kept {
			reported += d.Count
		}
		assert.Equal(t, reported, uint64(15))
		assert.Equal(t, len(kept), 6+1)
		assert.Assert(t, strings.Contains(out.String(), `"msg":"decisions not recorded","count":15`))
	})
}

func TestNilWriterDoesNothing(t *testing.T) {
	var w *Writer
	assert.Assert(t, w.Record(Decision{}))
	assert.Equal(t, w.Lost()+w.Written()+uint64(w.Waiting()), uint64(0))
	assert.NilError(t, w.Close())
}

// BenchmarkRecord measures the cost on the request path.
func BenchmarkRecord(b *testing.B) {
	w := New("vm-1", slog.New(slog.NewJSONHandler(io.Discard, nil)), WithRing(1<<16))
	defer w.Close()
	d := Decision{Action: Route, ID: "r-1", Key: "scale-7", Rule: "receipts", Rev: 12, Server: "ledger-3", Epoch: 4, Caller: "c"}
	b.ReportAllocs()
	for b.Loop() {
		w.Record(d)
	}
	b.ReportMetric(float64(w.Lost())/float64(b.N), "lost/op")
}

// BenchmarkLine measures the cost of writing one decision.
func BenchmarkLine(b *testing.B) {
	w := &Writer{log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
	d := Decision{At: time.Now(), Action: Route, ID: "r-1", Key: "scale-7", Rule: "receipts", Rev: 12, Server: "ledger-3", Epoch: 4, Caller: "c"}
	b.ReportAllocs()
	for b.Loop() {
		w.write(d)
	}
}

// A VM serves a thousand requests a second, and a log line for each would cost more than
// the requests. The log must say how many decisions it leaves out, or a reader would take
// it to be complete.
func TestPlainDecisionsAboveTheRateAreOnlyCounted(t *testing.T) {
	var out bytes.Buffer
	w := New("vm-1", slog.New(slog.NewJSONHandler(&out, nil)), WithRate(10))
	start := time.Unix(1000, 0)
	for i := range 100 {
		d := Decision{Action: Route, ID: "a", At: start.Add(time.Duration(i) * time.Millisecond), Status: 200, Attempts: 1}
		if i%20 == 0 {
			d.Kind = "busy"
		}
		assert.Assert(t, w.Record(d))
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, strings.Count(out.String(), `"msg":"decision"`), 15)
	assert.Equal(t, strings.Count(out.String(), `"kind":"busy"`), 5)
	assert.Assert(t, strings.Contains(out.String(), `"msg":"plain decisions summed","count":85`), out.String())
}

// Servers are down and thousands of requests a second are refused. A line for each would
// crowd out the lines about the state of the VM, which explain the refusals.
func TestFailureLinesAreLimitedAndTheRestCounted(t *testing.T) {
	var out bytes.Buffer
	w := New("vm-1", slog.New(slog.NewJSONHandler(&out, nil)), WithRate(10))
	start := time.Unix(1000, 0)
	for i := range 1000 {
		at := start.Add(time.Duration(i) * 100 * time.Microsecond)
		assert.Assert(t, w.Record(Decision{Action: Route, ID: "a", At: at, Status: 503, Kind: "busy"}))
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, strings.Count(out.String(), `"msg":"decision"`), 100)
	assert.Assert(t, strings.Contains(out.String(), `"msg":"failures summed","count":900`), out.String())
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ n int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// BenchmarkSecond measures the processor time and bytes of one second of log lines at two
// request rates, with one failure in a hundred requests.
func BenchmarkSecond(b *testing.B) {
	for _, rate := range []int{40, 1000} {
		b.Run(strconv.Itoa(rate), func(b *testing.B) {
			var out countingWriter
			w := &Writer{log: slog.New(slog.NewJSONHandler(&out, nil)), rate: 60}
			d := Decision{
				Action: Route, ID: "0c5f3d5d5c1e4b6f", VM: "vm-1", Key: "scale-70811", Rule: "receipts", Service: "ledger",
				Rev: 12, Server: "ledger-3", Epoch: 4, Caller: "office-17", Status: 200, Attempts: 1, Took: 12 * time.Millisecond,
			}
			at := time.Unix(1000, 0)
			seconds := 0
			for b.Loop() {
				seconds++
				for i := range rate {
					d.At = at.Add(time.Duration(i) * time.Second / time.Duration(rate))
					d.Kind = ""
					if i%100 == 99 {
						d.Kind = "busy"
					}
					w.write(d)
				}
				at = at.Add(time.Second)
			}
			b.ReportMetric(float64(out.n)/float64(seconds), "B/s")
		})
	}
}
