package logbuf

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput is an output that blocks until its gate is closed.
type blockedOutput struct {
	mu   sync.Mutex
	gate chan struct{}
	buf  bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// The reader of the log stops reading. Logging must not block, memory must stay
// bounded, and the log must say afterwards how many lines are missing.
func TestLoggingDoesNotBlockWhenTheReaderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{gate: make(chan struct{})}
		w := New(slog.NewJSONHandler(out, nil), 8)
		log := slog.New(w.Handler()).With("vm", "a")
		start := time.Now()
		for i := range 100 {
			log.Info("line", "n", i)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		synctest.Wait()
		close(out.gate)
		assert.NilError(t, w.Close())
		written, left := 0, 0.0
		for _, text := range bytes.Split(bytes.TrimSpace(out.buf.Bytes()), []byte("\n")) {
			var l map[string]any
			assert.NilError(t, json.Unmarshal(text, &l))
			if l["msg"] == "line" {
				assert.Equal(t, l["vm"], "a")
				written++
			} else {
				left += l["count"].(float64)
			}
		}
		assert.Equal(t, written+int(left), 100)
		assert.Assert(t, written >= 8 && written <= 10, "%d", written)
		assert.Equal(t, w.Lost(), uint64(left))
	})
}
