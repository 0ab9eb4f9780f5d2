package reply

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// NewClient returns a client for calls over HTTP/1.1 that returns answers only, see [Check],
// and their bodies only whole, see [Body]. Any other response ends its connection and is an
// error, as if there had been none. A redirect is returned and not followed: a write would
// become a read, or go to a process that it is not meant for.
func NewClient(transport *http.Transport) *http.Client {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &http.Client{Transport: Transport{transport}, CheckRedirect: refuseRedirect}
}

// conn is a connection that follows the requests on it.
type conn struct {
	net.Conn
	out Outgoing
}

// Write writes a part of a request.
func (c *conn) Write(b []byte) (int, error) { return c.out.WriteTo(c.Conn, b) }

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Transport passes on answers only, see [NewClient].
type Transport struct{ *http.Transport }

// RoundTrip sends a request and checks the response.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var last atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.out.Begin(r)
			last.Store(c)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	c := last.Load()
	if err := Check(resp); err != nil {
		// A response without a body has returned its connection, on which the rest of it or
		// the answer to another request may follow.
		if c != nil {
			_ = c.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	if c != nil {
		resp.Body = Body(resp, &c.out)
	}
	return resp, nil
}
