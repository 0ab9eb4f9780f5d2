package front

import (
	"bytes"
	"context"
	"io"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// identifySuspect records the fingerprint of a suspected request in its decision. A body of
// unknown length is read for it.
func (x *exchange) identifySuspect(ctx context.Context) error {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil
	}
	head := x.poisonHead()
	if !x.f.Guard.Suspects(&head) {
		return nil
	}
	if err := x.bufferStream(ctx); err != nil {
		return err
	}
	if p, ok := x.fingerprint(); ok {
		x.suspect, x.decision.Fingerprint = true, p.Print()
	}
	return nil
}

// isKnown reports whether the Guard knows crashes for the path of the request or unanswered
// attempts with its head. They may be those of earlier requests with the same fingerprint, or may have come
// to be known while this one ran.
func (x *exchange) isKnown() bool {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) && !x.f.Guard.Unanswered(nil) {
		return false
	}
	head := x.poisonHead()
	return x.f.Guard.Suspects(&head) || x.f.Guard.Unanswered(&head)
}

// identifyStream is identifySuspect for a body of unknown length that was not read when the
// request arrived, since nothing was suspected then. A request with such a body is never
// hedged, so no other attempt uses the exchange meanwhile.
func (x *exchange) identifyStream(ctx context.Context) error {
	if !x.body.mayBuffer() {
		return nil
	}
	return x.identifySuspect(ctx)
}

// bufferStream reads a body of unknown length, so that the request can be identified.
func (x *exchange) bufferStream(ctx context.Context) error {
	if !x.body.mayBuffer() {
		return nil
	}
	in := contextReader{ctx, x.body.digest}
	data, err := io.ReadAll(io.LimitReader(in, x.f.BufferLimit+1))
	if err != nil {
		x.body.failed = true
		return kinds.Wrap(readErrorKind(err), err, "read body")
	}
	if int64(len(data)) > x.f.BufferLimit {
		x.body.stream = io.MultiReader(bytes.NewReader(data), x.body.digest)
		x.body.oversize = true
		return nil
	}
	x.body = body{buffered: data}
	return nil
}

// mayBuffer reports whether the body has an unknown length and was not read yet.
func (b *body) mayBuffer() bool {
	return b.digest != nil && !b.started && !b.oversize && !b.failed
}

// contextReader reads until its context ends. Without it a caller that sends a few bytes a
// second would hold a slot beyond its deadline.
type contextReader struct {
	ctx context.Context //nolint:containedctx // it lives as long as one call
	io.Reader
}

// Read reads unless the context has ended.
func (r contextReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}
