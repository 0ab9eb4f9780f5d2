package dial

import (
	"context"
	"net"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// Attempt opens a connection in one way.
type Attempt func(ctx context.Context) (net.Conn, error)

// race makes attempts one after the other. The next one starts when the last one fails or
// has used up its head start, whichever is first. The first connection wins.
type race struct {
	group    *group.Group
	attempts []Attempt
	starts   []time.Duration // head start of each attempt
}

type attemptResult struct {
	conn net.Conn
	err  error
}

func (r *race) add(headStart time.Duration, a Attempt) {
	r.attempts, r.starts = append(r.attempts, a), append(r.starts, headStart)
}

// run returns the first connection, or the error of the first attempt if all fail. The
// others are canceled, and what they open all the same is closed.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, len(r.attempts))
	next := time.NewTimer(0)
	defer next.Stop()
	started, ended := 0, 0
	var firstErr error
	for ended < len(r.attempts) {
		select {
		case <-next.C:
			if started == len(r.attempts) {
				continue
			}
			a := r.attempts[started]
			next.Reset(r.starts[started])
			started++
			r.group.Go(func(context.Context) error {
				c, err := a(ctx)
				results <- attemptResult{c, err}
				return nil
			})
		case res := <-results:
			ended++
			if res.err == nil {
				r.discard(results, started-ended)
				return res.conn, nil
			}
			if firstErr == nil {
				firstErr = res.err
			}
			if started < len(r.attempts) {
				next.Reset(0)
			}
		case <-ctx.Done():
			r.discard(results, started-ended)
			if firstErr == nil {
				firstErr = ctx.Err()
			}
			return nil, firstErr
		}
	}
	return nil, firstErr
}

// discard closes the connections that n attempts may still open.
func (r *race) discard(results <-chan attemptResult, n int) {
	if n == 0 {
		return
	}
	r.group.Go(func(context.Context) error {
		for range n {
			if res := <-results; res.err == nil {
				_ = res.conn.Close()
			}
		}
		return nil
	})
}
