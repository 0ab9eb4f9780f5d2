package reply

import (
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// EndsWithConnection reports whether only the end of the connection shows the end of a
// response's body.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// body is the body of an answer. Its end is that of the whole answer.
type body struct {
	io.ReadCloser
	resp *http.Response
	out  *Outgoing
}

// Body returns the body of an answer that follows a request. Unlike that of the response, it
// fails instead of ending if the answer may be a part, or its trailer is malformed. A body with
// a length does so by itself.
func Body(resp *http.Response, request *Outgoing) io.ReadCloser {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return resp.Body
	}
	return &body{ReadCloser: resp.Body, resp: resp, out: request}
}

// Read reads the body, and checks the answer at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		return n, err
	}
	if fault := CheckFields(b.resp.Trailer); fault != nil {
		return n, fault
	}
	if EndsWithConnection(b.resp) {
		if fault := b.out.Whole(); fault != nil {
			return n, fault
		}
	}
	return n, io.EOF
}

// CheckFields returns nil if the names and values of a header or trailer are ones that RFC 9110,
// sections 5.1 and 5.5, allows.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrField, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value of %q", ErrField, name)
			}
		}
	}
	return nil
}
