package reply_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// Guards against messages that net/http passes on, and that no caller may get as an answer.
func TestWhatRFC9112RulesOutIsNoAnswer(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                     nil,
		"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok":                                        nil,
		"HTTP/1.1 599 Any\r\n\r\n":                                                           nil,
		"HTTP/1.1 200 OK\r\n\r\nuntil closed":                                                nil,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                     nil,
		"HTTP/1.1 204 No Content\r\n\r\n":                                                    nil,
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n":                               nil,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n":                             nil,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok":                                     nil,
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrStatus,
		"HTTP/1.1 -00 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrStatus,
		"HTTP/1.1 +99 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrStatus,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: any\r\n\r\n":                           reply.ErrStatus,
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrStatus,
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrVersion,
		"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrVersion,
		"HTTP/7.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrVersion,
		"HTTP/1.1 204 OK\r\nContent-Length: 2\r\n\r\nok":                                     reply.ErrLength,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":          reply.ErrFraming,
		"HTTP/1.0 200 OK\r\n\r\nuntil closed":                                                reply.ErrFraming,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":                                    reply.ErrField,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server Seal: of another answer\r\n\r\nok": reply.ErrField,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		assert.NilError(t, err, "%q", text)
		got := reply.Check(resp)
		assert.Assert(t, errors.Is(got, want) && (got == nil) == (want == nil), "%q: %v", text, got)
		assert.NilError(t, resp.Body.Close())
	}
}
