// Package loop runs a decision module: one goroutine takes messages, asks the
// module's pure update for the new state and the commands, and hands the
// commands to whoever carries out effects.
//
// A decision module never touches the network, the clock or a goroutine. It is
// told the time with each message, so a test can pause, skip or skew it, and
// the same module runs unchanged under the fakes and in the daemon.
package loop

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ring"
)

// Msg is anything that happened: an answer, a timer, an operator's wish.
// Message types are small structs named XMsg.
type Msg any

// Cmd is an effect as a value: what should be done, not how. Command types are
// small structs named XCmd. The [Runner] carries them out.
type Cmd any

// Model is a decision module. Update returns the next state and the effects it
// wants, and does nothing else.
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

// Runner carries out commands. Run must not block the loop for long: it starts
// slow work through a group and reports the outcome with send. send never
// waits, so Run may call it right away.
type Runner interface {
	Run(ctx context.Context, cmd Cmd, send func(Msg))
}

// RunnerFunc is a function used as a Runner.
type RunnerFunc func(ctx context.Context, cmd Cmd, send func(Msg))

// Run calls f.
func (f RunnerFunc) Run(ctx context.Context, cmd Cmd, send func(Msg)) { f(ctx, cmd, send) }

// AfterCmd asks the loop itself for a timer: Msg arrives D later, if the loop
// is still open then.
type AfterCmd struct {
	D   time.Duration
	Msg Msg
}

// Loop is a running module. Make one with New.
type Loop struct {
	group   group.Group
	inbox   *ring.Ring[Msg]
	answers answers
	runner  Runner
	clock   func() time.Time

	mu    sync.RWMutex
	model Model
}

// DefaultInbox is how many messages may wait before Send blocks. A module
// answers in microseconds, so a longer queue only hides that it is stuck; and a
// VM runs a loop for every seat, nearly all of them idle, so each place is paid
// for some hundred times.
const DefaultInbox = 128

// Option changes how a Loop works.
type Option func(*Loop)

// WithClock sets the clock that the module is told the time by; the runtime's
// otherwise.
func WithClock(now func() time.Time) Option { return func(l *Loop) { l.clock = now } }

// New starts a loop over the model.
func New(m Model, r Runner, opts ...Option) *Loop {
	l := &Loop{
		inbox:   ring.New[Msg](DefaultInbox, ring.Block),
		answers: answers{more: make(chan struct{}, 1)},
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

// Send delivers a message, and waits while the inbox is full. After Close it
// does nothing.
func (l *Loop) Send(msg Msg) { l.inbox.Push(l.group.Context(), msg) }

// Model returns the current state. It is a snapshot: treat it as read-only.
func (l *Loop) Model() Model {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.model
}

// Close stops the loop, its timers and every effect started through it, and
// waits for them.
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

// next takes the answers to the module's own commands before what others sent.
func (l *Loop) next(ctx context.Context) (Msg, bool) {
	for {
		if msg, ok := l.answers.pop(); ok {
			return msg, true
		}
		select {
		case msg := <-l.inbox.Items():
			return msg, true
		case <-l.answers.more:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (l *Loop) step(ctx context.Context, msg Msg) {
	l.mu.Lock()
	next, cmds := l.model.Update(l.clock(), msg)
	l.model = next
	l.mu.Unlock()
	for _, cmd := range cmds {
		l.do(ctx, cmd)
	}
}

func (l *Loop) do(ctx context.Context, cmd Cmd) {
	after, ok := cmd.(AfterCmd)
	if !ok {
		l.runner.Run(ctx, cmd, l.answers.push)
		return
	}
	l.group.Go(func(ctx context.Context) error {
		t := time.NewTimer(after.D)
		defer t.Stop()
		select {
		case <-t.C:
			l.answers.push(after.Msg)
		case <-ctx.Done():
		}
		return nil
	})
}
