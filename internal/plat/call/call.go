// Package call makes HTTP calls to the platform or to the control endpoint of a
// backend server, and classifies errors by whether the call may have taken effect.
//
// A connection that could not be opened proves that a call had no effect. Once a
// connection was obtained for the request, nothing proves it. The net/http client
// repeats some requests on another connection by itself, which would hide this; a
// call therefore prevents net/http from sending its body a second time.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// MaxAnswerBytes is the size limit of a response body. Lists of objects are the
// largest responses.
const MaxAnswerBytes = 64 << 20

// Headers of a conditional read, whose response has no body if nothing changed.
const (
	HeaderIfNoneMatch = "If-None-Match"
	HeaderETag        = "Etag"
)

// MaxHeaderBytes is the size limit of the headers of a response.
const MaxHeaderBytes = 64 << 10

// Client makes calls. The zero value is ready to use.
type Client struct {
	// HTTP is the client that sends the calls; nil means a default client.
	HTTP *http.Client
}

// defaultClient keeps few idle connections, because calls are small and rare.
var defaultClient = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost:    4,
	IdleConnTimeout:        30 * time.Second,
	MaxResponseHeaderBytes: MaxHeaderBytes,
}}

var (
	errTooLong = errors.New("the response is longer than 64 MiB")
	errNoEnd   = errors.New("the response has no length")
)

// plainReader hides the other methods of a reader, such as Seek, so that net/http
// cannot send the body a second time.
type plainReader struct{ io.Reader }

// Answer holds the headers and the complete body of a response with status 200.
type Answer struct {
	Header http.Header
	Body   []byte
	// NotModified says that nothing changed since the response whose ETag the call
	// sent (If-None-Match, RFC 9110, 13.1.2). There is no body then.
	NotModified bool
}

// Do is like Exchange, but decodes the JSON body of the response into out unless
// out is nil.
func (c *Client) Do(ctx context.Context, method, url string, body []byte, out any) error {
	a, err := c.Exchange(ctx, method, url, nil, body)
	if err != nil || out == nil {
		return err
	}
	return DecodeError(method, json.Unmarshal(a.Body, out))
}

// DecodeError wraps the error of decoding a response with status 200. The kind is
// Malformed for a read, and Ambiguous for any other call, because status 200 says
// that the call took effect, whatever the body contains. If it counted as failed, a
// write that took effect would be repeated, or a key would be given to another
// server while the first one still serves it.
func DecodeError(method string, err error) error {
	if method != http.MethodGet {
		return kinds.Wrap(kinds.Ambiguous, err, "decode response")
	}
	return kinds.Wrap(kinds.Malformed, err, "decode response")
}

// Exchange sends a request with the given headers and body. It returns the response
// if its status is 200, or 304 to a conditional read. Otherwise the error has kind
// Unavailable if the call certainly had no effect, Ambiguous if it may have had
// one, or the kind that corresponds to the status.
func (c *Client) Exchange(ctx context.Context, method, url string, header http.Header, body []byte) (Answer, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return Answer{}, kinds.Wrap(kinds.Internal, err, "create request")
	}
	maps.Copy(r.Header, header)
	r.Header["User-Agent"] = []string{""} // prevents net/http from adding its default
	if body != nil {
		r.Body, r.ContentLength = io.NopCloser(plainReader{bytes.NewReader(body)}), int64(len(body))
	}
	client := *c.client()
	client.CheckRedirect = refuseRedirect
	resp, err := client.Do(r)
	if err != nil {
		return Answer{}, kinds.Wrap(kindWithoutAnswer(method, gotConn.Load()), err, method+" "+r.URL.Path)
	}
	defer resp.Body.Close()
	if err := check(resp); err != nil {
		return Answer{}, kinds.Wrap(kindWithoutAnswer(method, true), err, method+" "+r.URL.Path)
	}
	if resp.StatusCode == http.StatusNotModified && r.Header.Get(HeaderIfNoneMatch) != "" && method == http.MethodGet {
		return Answer{Header: resp.Header, NotModified: true}, nil
	}
	return readAnswer(resp, method)
}

// check returns nil if a response is an answer whose end can be known. One of HTTP/2 has framing
// of its own.
func check(resp *http.Response) error {
	if resp.ProtoMajor == 2 {
		return reply.CheckStatus(resp.StatusCode)
	}
	if err := reply.Check(resp); err != nil {
		return err
	}
	if reply.EndsWithConnection(resp) {
		return errNoEnd
	}
	return nil
}

// refuseRedirect makes the client return a redirect as the response. Following it
// would turn a write into a read, whose status 200 would look as if the write was
// done.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

// kindWithoutAnswer returns the kind of a call that got no usable response. A read
// has no effect, and neither has a call that got no connection.
func kindWithoutAnswer(method string, gotConn bool) kinds.Kind {
	if gotConn && method != http.MethodGet {
		return kinds.Ambiguous
	}
	return kinds.Unavailable
}

// readAnswer reads the body of a response with status 200 and returns an error for
// any other status.
func readAnswer(resp *http.Response, method string) (Answer, error) {
	if resp.StatusCode != http.StatusOK {
		return Answer{}, kinds.New(kindOfStatus(resp.StatusCode, method), method+" answered "+resp.Status)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(b) > MaxAnswerBytes {
		err = errTooLong
	}
	if err == nil {
		err = reply.CheckFields(resp.Trailer)
	}
	if err != nil {
		return Answer{}, kinds.Wrap(kindWithoutAnswer(method, true), err, "read response")
	}
	return Answer{Header: resp.Header, Body: b}, nil
}

// kindOfStatus returns the kind of an HTTP status. A call with another 2xx status than
// 200, or a 5xx status other than 503, may have taken effect.
func kindOfStatus(status int, method string) kinds.Kind {
	switch status {
	case http.StatusNotFound, http.StatusGone:
		return kinds.NotFound
	case http.StatusConflict:
		return kinds.Conflict
	case http.StatusRequestEntityTooLarge:
		return kinds.TooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return kinds.Unavailable
	}
	if status < http.StatusMultipleChoices || status >= http.StatusInternalServerError {
		return kindWithoutAnswer(method, true)
	}
	return kinds.Malformed
}
