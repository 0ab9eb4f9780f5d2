package flow

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// ErrTimeout ends a request whose answer does not go on.
var ErrTimeout = kinds.New(kinds.Unavailable, "no byte in time")

// DoWithTimeouts sends a request. Its answer must begin within a wait, and its body may then pause
// for as long as the silence: how long it takes as a whole follows from its size and the
// link. Bound the whole by the request's context.
func DoWithTimeouts(web *http.Client, req *http.Request, wait, silence time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	timer := time.AfterFunc(wait, func() { cancel(ErrTimeout) })
	resp, err := web.Do(req.WithContext(ctx))
	if err != nil {
		timer.Stop()
		defer cancel(nil)
		return nil, causeOf(ctx, err)
	}
	timer.Reset(silence)
	resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, timer: timer, silence: silence}
	return resp, nil
}

// causeOf says why a request was broken off where that was done here.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// body is the rest of an answer, which ends when it falls silent.
type body struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	silence time.Duration
}

// Read puts off the end with each byte.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.silence)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOf(b.ctx, err)
	}
	return n, err
}

// Close ends the request, whether or not all was read.
func (b *body) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
