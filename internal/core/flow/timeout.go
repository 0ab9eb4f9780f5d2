package flow

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// ErrTimeout is the error of a request whose response did not begin or stalled.
var ErrTimeout = kinds.New(kinds.Unavailable, "no data received within the timeout")

// DoWithTimeouts sends a request. The response headers must arrive within
// headerTimeout, and each read of the body must then receive data within
// readTimeout. The total time depends on the size of the body and the bandwidth;
// limit it with the request's context.
func DoWithTimeouts(client *http.Client, req *http.Request, headerTimeout, readTimeout time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	timer := time.AfterFunc(headerTimeout, func() { cancel(ErrTimeout) })
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		timer.Stop()
		defer cancel(nil)
		return nil, causeOf(ctx, err)
	}
	timer.Reset(readTimeout)
	resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, timer: timer, readTimeout: readTimeout}
	return resp, nil
}

// causeOf returns the cause of ctx if it was canceled, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// body is a response body whose request is canceled when no data arrives in time.
type body struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	readTimeout time.Duration
}

// Read restarts the read timeout whenever data arrives.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.readTimeout)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOf(b.ctx, err)
	}
	return n, err
}

// Close ends the request, even if the body was not read to the end.
func (b *body) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
