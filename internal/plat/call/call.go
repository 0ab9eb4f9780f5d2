// Package call makes one HTTP call to the platform, in JSON, or to a backend
// server's control side, and tells the failures apart that matter for safety.
//
// When a call fails, the caller must know whether it may have taken effect. A
// connection that could not be opened proves that it did not; once a connection
// was handed the request, nothing proves it. The net/http client would by
// itself repeat some requests on another connection, which hides exactly this;
// a call therefore never offers its body a second time.
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
)

// MaxAnswer bounds an answer's bytes. A list of objects is the largest.
const MaxAnswer = 64 << 20

// Headers of a read that needs no answer where nothing changed.
const (
	HeaderIfNoneMatch = "If-None-Match"
	HeaderETag   = "Etag"
)

// MaxHeader bounds the headers of an answer in bytes.
const MaxHeader = 64 << 10

// Client makes calls. The zero value works.
type Client struct {
	// HTTP carries the calls; nil means a client of its own defaults.
	HTTP *http.Client
}

// defaultClient keeps few connections: control calls are small and rare.
var defaultClient = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost:    4,
	IdleConnTimeout:        30 * time.Second,
	MaxResponseHeaderBytes: MaxHeader,
}}

var errLong = errors.New("the answer is longer than 64 MiB")

// once hides a reader's further abilities, so that net/http cannot rewind it.
type once struct{ io.Reader }

// Answer is the head and the whole body of a 200 answer.
type Answer struct {
	Header http.Header
	Body   []byte
	// NotModified says that nothing changed since the answer whose tag the call named
	// (If-None-Match, RFC 9110, 13.1.2); there is no body then.
	NotModified bool
}

// Do is Exchange with an answer in JSON, which it decodes into out.
func (c *Client) Do(ctx context.Context, method, url string, body []byte, out any) error {
	a, err := c.Exchange(ctx, method, url, nil, body)
	if err != nil || out == nil {
		return err
	}
	return DecodeError(method, json.Unmarshal(a.Body, out))
}

// DecodeError gives an answer that could not be decoded its kind: Ambiguous for a
// call with an effect, because a 200 says that it was done, whatever the rest
// says. Taken for a failure, a write that took effect would be repeated, or a
// key be given away that its server still serves.
func DecodeError(method string, err error) error {
	if method != http.MethodGet {
		return kinds.Wrap(kinds.Ambiguous, err, "decode answer")
	}
	return kinds.Wrap(kinds.Malformed, err, "decode answer")
}

// Exchange sends body under a header and returns a 200 answer, or an error with
// kind Down when the call certainly had no effect, Ambiguous when it may have had
// one, or the kind that the status stands for.
func (c *Client) Exchange(ctx context.Context, method, url string, header http.Header, body []byte) (Answer, error) {
	var handed atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return Answer{}, kinds.Wrap(kinds.Internal, err, "make call")
	}
	maps.Copy(r.Header, header)
	r.Header["User-Agent"] = []string{""} // or net/http sends its own with each call
	if body != nil {
		r.Body, r.ContentLength = io.NopCloser(once{bytes.NewReader(body)}), int64(len(body))
	}
	client := *c.client()
	client.CheckRedirect = stay
	resp, err := client.Do(r)
	if err != nil {
		return Answer{}, kinds.Wrap(failure(method, handed.Load()), err, method+" "+r.URL.Path)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && r.Header.Get(HeaderIfNoneMatch) != "" && method == http.MethodGet {
		return Answer{Header: resp.Header, NotModified: true}, nil
	}
	return read(resp, method)
}

// stay takes a redirect for the answer. To follow one turns a write into a read,
// whose 200 would say that the write was done.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

// failure picks the kind of a call without an answer. A read has no effect.
func failure(method string, handed bool) kinds.Kind {
	if handed && method != http.MethodGet {
		return kinds.Ambiguous
	}
	return kinds.Unavailable
}

func read(resp *http.Response, method string) (Answer, error) {
	if resp.StatusCode != http.StatusOK {
		return Answer{}, kinds.New(kindOf(resp.StatusCode, method), method+" answered "+resp.Status)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err == nil && len(b) > MaxAnswer {
		err = errLong
	}
	if err != nil {
		return Answer{}, kinds.Wrap(failure(method, true), err, "read answer")
	}
	return Answer{Header: resp.Header, Body: b}, nil
}

// kindOf turns a status into a kind. A 5xx other than 503 may hide an effect.
func kindOf(status int, method string) kinds.Kind {
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
	if status >= http.StatusInternalServerError {
		return failure(method, true)
	}
	return kinds.Malformed
}
