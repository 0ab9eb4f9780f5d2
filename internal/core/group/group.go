// Package group runs goroutines and waits for them to end. No code in this module
// uses a bare go statement: a goroutine that nobody waits for outlives its owner's
// Close, and a leak in one test shows only when a later test fails.
package group

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group runs functions in goroutines until it is closed. The zero value is ready
// to use.
//
//	var g group.Group
//	g.Go(func(ctx context.Context) error { return serve(ctx) })
//	...
//	err := g.Close() // cancels ctx, waits, returns the first error
type Group struct {
	once   sync.Once
	cancel context.CancelFunc
	ctx    context.Context
	eg     *errgroup.Group
}

func (g *Group) init() {
	g.once.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		g.cancel = cancel
		g.eg, g.ctx = errgroup.WithContext(ctx)
	})
}

// Go runs fn in a new goroutine. Its context is canceled when the group is closed
// or when another function returns an error.
func (g *Group) Go(fn func(ctx context.Context) error) {
	g.init()
	g.eg.Go(func() error { return fn(g.ctx) })
}

// Context returns the context that the functions run under.
func (g *Group) Context() context.Context {
	g.init()
	return g.ctx
}

// Wait waits for all functions to return by themselves and returns the first error.
func (g *Group) Wait() error {
	g.init()
	return g.eg.Wait()
}

// Close cancels the functions and waits for them. It may be called more than once.
// A function that returns [context.Canceled] is not reported as an error.
func (g *Group) Close() error {
	g.init()
	g.cancel()
	err := g.eg.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Sleep waits for d or until ctx ends, and reports whether it waited for d.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
