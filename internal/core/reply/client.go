package reply

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// NewClient returns a client for calls over HTTP/1.1 that returns answers only, see [Check].
// Any other response ends its connection and is an error, as if there had been none. A
// redirect is returned and not followed: a write would become a read, or go to a process that
// it is not meant for.
func NewClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: Transport{transport}, CheckRedirect: refuseRedirect}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Transport passes on answers only, see [NewClient].
type Transport struct{ *http.Transport }

// RoundTrip sends a request and checks the response.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		// A response without a body has returned its connection, on which the rest of it or
		// the answer to another request may follow.
		if c := conn.Load(); c != nil {
			_ = (*c).Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
