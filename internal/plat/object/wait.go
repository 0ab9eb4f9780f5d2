package object

import (
	"context"
	"time"
)

type waitKey struct{}

// WithWait returns a context for [Store.Watch] that asks for a wait of at most d.
func WithWait(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, d)
}

// Wait returns the longest wait that a caller of [Store.Watch] asks for, usual if it asks for
// none or a longer one.
func Wait(ctx context.Context, usual time.Duration) time.Duration {
	if d, ok := ctx.Value(waitKey{}).(time.Duration); ok && d > 0 {
		return min(d, usual)
	}
	return usual
}
