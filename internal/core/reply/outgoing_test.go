package reply_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// Guards against an answer that counts as whole although its request was not written to its last byte.
func TestARequestIsWholeWithItsLastByteOnly(t *testing.T) {
	newRequest := func(body string, length int64, trailer http.Header) *http.Request {
		r, err := http.NewRequest(http.MethodPost, "http://a.example/x", io.MultiReader(strings.NewReader(body)))
		assert.NilError(t, err)
		r.ContentLength, r.Trailer = length, trailer
		if length == 0 {
			r.Body = http.NoBody
		}
		return r
	}
	for name, make := range map[string]func() *http.Request{
		"no body":   func() *http.Request { return newRequest("", 0, nil) },
		"by length": func() *http.Request { return newRequest("four", 4, nil) },
		"chunked":   func() *http.Request { return newRequest("0\r\n\r\n", -1, nil) },
		"trailer":   func() *http.Request { return newRequest("\r\n\r\n", -1, http.Header{"X-Sum": {"5"}}) },
	} {
		var wire bytes.Buffer
		assert.NilError(t, make().Write(&wire))
		for cut := range wire.Len() + 1 {
			var o reply.Outgoing
			o.Begin(make())
			for _, part := range [][]byte{wire.Bytes()[:cut/2], wire.Bytes()[cut/2 : cut]} {
				_, err := o.WriteTo(io.Discard, part)
				assert.NilError(t, err)
			}
			assert.Equal(t, o.Whole() == nil, cut == wire.Len(), "%s: %q", name, wire.Bytes()[:cut])
		}
	}
}

type failingWriter struct{}

func (failingWriter) Write(b []byte) (int, error) { return len(b), errors.New("reset") }

// Guards against an error of the last write that is forgotten.
func TestARequestWhoseWriteFailedIsNotWhole(t *testing.T) {
	r, err := http.NewRequest(http.MethodGet, "http://a.example/x", nil)
	assert.NilError(t, err)
	var o reply.Outgoing
	o.Begin(r)
	_, _ = o.WriteTo(failingWriter{}, []byte("GET /x HTTP/1.1\r\n\r\n"))
	assert.ErrorIs(t, o.Whole(), reply.ErrPart)
}
