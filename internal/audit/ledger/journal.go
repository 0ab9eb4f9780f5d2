package ledger

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// closeWait is how long Close goes on trying to write what is left.
const closeWait = 5 * time.Second

// Journal is a running journal. Make one with Open.
//
//	j := ledger.Open(store, ledger.LogPath("vm-1"))
//	defer j.Close()
//	j.Take(decision)                       // kept soon
//	err := j.Commit(ctx, decision)         // kept before it returns
type Journal struct {
	store object.Store
	path  string
	tok   string
	lim   Limits
	log   *slog.Logger
	loop  *loop.Loop
	group group.Group
	done  chan struct{} // closed when nothing is left to write
	gone  chan struct{} // closed when the journal has ended
	once  sync.Once
	err   error

	ticket atomic.Uint64
	mu     sync.Mutex
	waits  map[uint64]chan kinds.Kind
}

var _ record.Sink = (*Journal)(nil)

// Option changes how a Journal works.
type Option func(*Journal)

// WithLimits sets the bounds.
func WithLimits(l Limits) Option { return func(j *Journal) { j.lim = l } }

// WithLog sets where the journal reports what it had to drop.
func WithLog(l *slog.Logger) Option { return func(j *Journal) { j.log = l } }

// WithToken sets the writer's token, which is random otherwise.
func WithToken(tok string) Option { return func(j *Journal) { j.tok = tok } }

// Open starts the journal at path: see [LogPath] and [OwnPath]. It returns at
// once; entries wait until the store has answered for the first time.
//
// A path that several VMs write, such as an ownership history, needs a Window
// of one, which Open sets for every path under [OwnPrefix].
func Open(store object.Store, path string, opts ...Option) *Journal {
	j := &Journal{store: store, path: path, tok: rand.Text(), log: slog.Default(), done: make(chan struct{}), gone: make(chan struct{}), waits: map[uint64]chan kinds.Kind{}}
	for _, opt := range opts {
		opt(j)
	}
	j.lim = j.lim.fill()
	j.lim.Window = min(j.lim.Window, MaxWindow)
	if shared(path) {
		j.lim.Window = 1
	}
	j.loop = loop.New(NewModel(path, j.tok, j.lim), loop.RunnerFunc(j.run))
	j.loop.Send(TickMsg{})
	return j
}

// Append keeps a decision. It never waits for the store.
func (j *Journal) Append(d record.Decision) {
	data, err := wire.Encode(&d)
	if err != nil {
		j.log.Error("decision not encoded", slog.String("err", err.Error()))
		return
	}
	j.loop.Send(AddMsg{Data: data, At: d.At})
}

// Commit keeps a decision and waits until the store has confirmed it. Kind
// Undurable means that it is not known to be kept, and that whatever depends on
// it must not be done.
func (j *Journal) Commit(ctx context.Context, d record.Decision) error {
	if d.At.IsZero() {
		d.At = time.Now()
	}
	data, err := wire.Encode(&d)
	if err != nil {
		return err
	}
	id := j.ticket.Add(1)
	answer := make(chan kinds.Kind, 1)
	j.mu.Lock()
	j.waits[id] = answer
	j.mu.Unlock()
	defer j.forget(id)
	j.loop.Send(AddMsg{Data: data, At: d.At, Ticket: id})
	select {
	case k := <-answer:
		if k != kinds.None {
			return kinds.New(k, "journal "+j.path)
		}
		return nil
	case <-ctx.Done():
		return kinds.Wrap(kinds.NotDurable, ctx.Err(), "journal "+j.path)
	case <-j.gone:
		return kinds.New(kinds.NotDurable, "journal "+j.path+" is closed")
	}
}

// RecordDurable commits a decision of the request path before the request is forwarded,
// as a decision of the sort [record.Accept].
func (j *Journal) RecordDurable(ctx context.Context, d *record.Decision) error {
	accepted := *d
	accepted.Action = record.Accept
	return j.Commit(ctx, accepted)
}

// SetVMCount tells the journal how many VMs share the store's budget.
func (j *Journal) SetVMCount(vms int) { j.loop.Send(FleetMsg{vms}) }

// Status returns what is waiting, kept, lost and refused.
func (j *Journal) Status() Status { return j.loop.Model().(Model).Status }

// Close writes what is left, for at most five seconds, and waits. Entries that
// could not be written are lost; the count is logged and returned as an error.
func (j *Journal) Close() error {
	j.once.Do(func() { j.err = j.shut() })
	return j.err
}

func (j *Journal) shut() error {
	defer close(j.gone)
	j.loop.Send(CloseMsg{})
	t := time.NewTimer(closeWait)
	defer t.Stop()
	select {
	case <-j.done:
	case <-t.C:
	}
	if err := j.loop.Close(); err != nil {
		return err
	}
	if err := j.group.Close(); err != nil {
		return err
	}
	left := j.Status().Waiting
	if left == 0 {
		return nil
	}
	j.log.Error("journal closed with entries unwritten", slog.String("path", j.path), slog.Int("count", left))
	return kinds.New(kinds.NotDurable, "journal "+j.path+" closed with entries unwritten")
}

func (j *Journal) forget(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.waits, id)
}

// run carries out the model's effects.
func (j *Journal) run(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case AckCmd:
		j.ack(cmd)
	case DoneCmd:
		close(j.done)
	case TailCmd:
		j.call(tailCalls, func(ctx context.Context) {
			next, err := j.recoverTail(ctx, cmd.From)
			send(TailMsg{Kind: kinds.Of(err), Next: next})
		})
	case PutCmd:
		j.call(1, func(ctx context.Context) {
			_, err := j.store.Put(ctx, nameOf(j.path, cmd.N), cmd.Value, 0)
			send(PutMsg{N: cmd.N, Kind: kinds.Of(err)})
		})
	case ReadCmd:
		j.call(1, func(ctx context.Context) {
			s, err := Read(ctx, j.store, j.path, cmd.N)
			send(ReadMsg{N: cmd.N, Kind: kinds.Of(err), Tok: s.Tok})
		})
	}
}

// tailCalls is about how many calls one after another finding a tail takes.
const tailCalls = 32

// call runs f, which makes n store calls one after another.
func (j *Journal) call(n int, f func(ctx context.Context)) {
	j.group.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(n)*j.lim.Call)
		defer cancel()
		f(ctx)
		return nil
	})
}

func (j *Journal) ack(cmd AckCmd) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if answer, ok := j.waits[cmd.Ticket]; ok {
		answer <- cmd.Kind
		delete(j.waits, cmd.Ticket)
	}
}
