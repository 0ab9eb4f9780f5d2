package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// Guards against a status that is none reaching a caller, as itself or as another one.
func TestOnlyAFinalStatusIsAnAnswer(t *testing.T) {
	const interim, final, past = 100, 200, 600
	for status := range 1000 {
		if status >= interim && status < final && status != http.StatusSwitchingProtocols {
			continue // the answer follows
		}
		r, _ := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool {
			return writeString(w, fmt.Sprintf("HTTP/1.1 %03d Any\r\nConnection: Upgrade\r\nUpgrade: any\r\n\r\n", status))
		})
		r.cfg.Headers.CloseDelimited = true
		_, err := sendRequest(t.Context(), r, httptest.NewRequest("HEAD", "/x", nil), "r1")
		if status >= final && status < past {
			assert.NilError(t, err, "%03d", status)
			continue
		}
		assert.Assert(t, errors.Is(err, reply.ErrStatus), "%03d: %v", status, err)
		assert.Equal(t, kinds.Of(err), kinds.Unknown, "%03d", status)
	}
}

// Guards against a change of protocols that no request asked for and no deadline ends.
func TestAChangeOfProtocolsHoldsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRelay(t, func(w io.Writer, _ *http.Request, _, _ int) bool {
			defer time.Sleep(time.Minute)
			return writeString(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: any\r\n\r\n")
		})
		start := time.Now()
		_, err := sendRequest(t.Context(), r, httptest.NewRequest("GET", "/x", nil), "r1")
		assert.Equal(t, kinds.Of(err), kinds.Unknown)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
