// Package loop runs an event loop over a model: one goroutine receives messages,
// calls the model's pure Update function, which returns the new state and the
// commands to execute, and passes the commands to a [Runner].
//
// A model does not use the network, the clock or goroutines. It receives the
// current time with each message, so a test can stop, advance or skew it, and the
// same model runs unchanged in tests with fakes and in the daemon.
package loop

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ring"
)

// Msg is an event: a command's result, an expired timer, an operator's request.
// Message types are small structs whose names end in Msg.
type Msg any

// Cmd describes a side effect: what should be done, not how. Command types are
// small structs whose names end in Cmd. The [Runner] executes them.
type Cmd any

// Model is the state of a loop. Update returns the next state and the commands to
// execute, and has no side effects.
//
//	func (c Counter) Update(_ time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
//		if _, ok := msg.(TickMsg); !ok {
//			return c, nil
//		}
//		c.n++
//		return c, []loop.Cmd{PrintCmd{c.n}}
//	}
type Model interface {
	Update(now time.Time, msg Msg) (Model, []Cmd)
}

// Runner executes commands. Run must not block the loop for long: it starts slow
// work in a [group.Group] and reports the result with send. send never blocks, so
// Run may call it directly.
type Runner interface {
	Run(ctx context.Context, cmd Cmd, send func(Msg))
}

// RunnerFunc is a function used as a Runner.
type RunnerFunc func(ctx context.Context, cmd Cmd, send func(Msg))

// Run calls f.
func (f RunnerFunc) Run(ctx context.Context, cmd Cmd, send func(Msg)) { f(ctx, cmd, send) }

// AfterCmd is executed by the loop itself: it delivers Msg after the duration D,
// unless the loop is closed before.
type AfterCmd struct {
	D   time.Duration
	Msg Msg
}

// Loop runs a model. Create one with New.
type Loop struct {
	group   group.Group
	inbox   *ring.Ring[Msg]
	results resultQueue
	runner  Runner
	clock   func() time.Time

	mu    sync.RWMutex
	model Model
}

// DefaultInbox is the number of messages that may wait before Send blocks. A model
// handles a message in microseconds, so a longer queue would only hide a stuck
// loop. A VM runs some hundred loops, one for each lessor and nearly all of them
// idle, and each of them allocates a queue of this length.
const DefaultInbox = 128

// Option configures a Loop.
type Option func(*Loop)

// WithClock sets the clock whose time is passed to the model. The default is
// [time.Now].
func WithClock(now func() time.Time) Option { return func(l *Loop) { l.clock = now } }

// New starts a loop over the model m.
func New(m Model, r Runner, opts ...Option) *Loop {
	l := &Loop{
		inbox:   ring.New[Msg](DefaultInbox, ring.Block),
		results: resultQueue{ready: make(chan struct{}, 1)},
		runner:  r,
		model:   m,
		clock:   time.Now,
	}
	for _, opt := range opts {
		opt(l)
	}
	l.group.Go(l.run)
	return l
}

// Send delivers a message and blocks while the inbox is full. After Close it does
// nothing.
func (l *Loop) Send(msg Msg) { l.inbox.Push(l.group.Context(), msg) }

// Model returns the current state. It is a snapshot: treat it as read-only.
func (l *Loop) Model() Model {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.model
}

// Close stops the loop and its timers and waits for them to end. It cancels the
// context that commands run under.
func (l *Loop) Close() error { return l.group.Close() }

func (l *Loop) run(ctx context.Context) error {
	for {
		msg, ok := l.next(ctx)
		if !ok {
			return nil
		}
		l.step(ctx, msg)
	}
}

// next returns the next message. Results of the model's own commands come before
// the messages of others.
func (l *Loop) next(ctx context.Context) (Msg, bool) {
	for {
		if msg, ok := l.results.pop(); ok {
			return msg, true
		}
		select {
		case msg := <-l.inbox.Items():
			return msg, true
		case <-l.results.ready:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// step updates the model with msg and executes the resulting commands.
func (l *Loop) step(ctx context.Context, msg Msg) {
	l.mu.Lock()
	next, cmds := l.model.Update(l.clock(), msg)
	l.model = next
	l.mu.Unlock()
	for _, cmd := range cmds {
		l.runCmd(ctx, cmd)
	}
}

// runCmd starts a timer for an AfterCmd and passes other commands to the runner.
func (l *Loop) runCmd(ctx context.Context, cmd Cmd) {
	after, ok := cmd.(AfterCmd)
	if !ok {
		l.runner.Run(ctx, cmd, l.results.push)
		return
	}
	l.group.Go(func(ctx context.Context) error {
		t := time.NewTimer(after.D)
		defer t.Stop()
		select {
		case <-t.C:
			l.results.push(after.Msg)
		case <-ctx.Done():
		}
		return nil
	})
}
