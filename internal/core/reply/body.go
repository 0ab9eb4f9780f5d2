package reply

import (
	"io"
	"net/http"
)

// EndsWithConnection reports whether only the end of the connection shows the end of a
// response's body.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// body is the body of an answer. Its end is that of the whole answer.
type body struct {
	io.ReadCloser
	out *Outgoing
}

// Body returns the body of an answer that follows a request. Unlike that of the response, it
// fails instead of ending if the answer may be a part. A body with a length or in chunks
// does so by itself.
func Body(resp *http.Response, request *Outgoing) io.ReadCloser {
	if !EndsWithConnection(resp) {
		return resp.Body
	}
	return &body{ReadCloser: resp.Body, out: request}
}

// Read reads the body, and checks the answer at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		return n, err
	}
	if fault := b.out.Whole(); fault != nil {
		return n, fault
	}
	return n, io.EOF
}
