package front

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stopping VM whose callers are not asked to leave their connections.
func TestAServersAnswerFromAStoppingVMClosesTheConnection(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		c, end := tb.dialPipelined()
		defer end()
		tb.front.SetClosing()
		_, err := io.WriteString(c, "GET /scales/1 HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Assert(t, resp.Close)
	})
}
