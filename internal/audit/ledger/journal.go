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

// closeTimeout is how long Close tries to write the remaining entries.
const closeTimeout = 5 * time.Second

// Journal is a running journal. Create one with Open.
//
//	j := ledger.Open(store, ledger.LogPath("vm-1"))
//	defer j.Close()
//	j.Append(decision)                     // written in the background
//	err := j.Commit(ctx, decision)         // durable when it returns nil
type Journal struct {
	store    object.Store
	path     string
	token    string
	limits   Limits
	log      *slog.Logger
	loop     *loop.Loop
	group    group.Group
	drained  chan struct{} // closed when no entries are left to write
	ended    chan struct{} // closed when the journal has ended
	once     sync.Once
	closeErr error

	lastTicket atomic.Uint64 // number of the last call of Commit
	mu         sync.Mutex
	waiters    map[uint64]chan kinds.Kind // calls of Commit that wait, by ticket
}

var _ record.Sink = (*Journal)(nil)

// Option configures a Journal.
type Option func(*Journal)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(j *Journal) { j.limits = l } }

// WithLog sets the logger for entries that could not be encoded or written.
func WithLog(l *slog.Logger) Option { return func(j *Journal) { j.log = l } }

// WithToken sets the writer token, which is random otherwise.
func WithToken(token string) Option { return func(j *Journal) { j.token = token } }

// Open starts the journal at path; see [LogPath] and [OwnershipPath]. It returns at
// once. Entries are buffered until the tail of the journal is found.
//
// A path that several VMs write, such as an ownership history, needs a Window
// of one, which Open sets for every path under [OwnershipPrefix].
func Open(store object.Store, path string, opts ...Option) *Journal {
	j := &Journal{store: store, path: path, token: rand.Text(), log: slog.Default(), drained: make(chan struct{}), ended: make(chan struct{}), waiters: map[uint64]chan kinds.Kind{}}
	for _, opt := range opts {
		opt(j)
	}
	j.limits = j.limits.withDefaults()
	j.limits.Window = min(j.limits.Window, MaxWindow)
	if isShared(path) {
		j.limits.Window = 1
	}
	j.loop = loop.New(NewModel(path, j.token, j.limits), loop.RunnerFunc(j.run))
	j.loop.Send(TickMsg{})
	return j
}

// Append adds a decision. It never waits for the store.
func (j *Journal) Append(d record.Decision) {
	data, err := wire.Encode(&d)
	if err != nil {
		j.log.Error("decision not encoded", slog.String("err", err.Error()))
		return
	}
	j.loop.Send(AddMsg{Data: data, At: d.At})
}

// Commit adds a decision and waits until the store has confirmed it. An error of
// kind NotDurable means that the decision may not be stored, and that the action
// that depends on it must not be carried out.
func (j *Journal) Commit(ctx context.Context, d record.Decision) error {
	if d.At.IsZero() {
		d.At = time.Now()
	}
	data, err := wire.Encode(&d)
	if err != nil {
		return err
	}
	id := j.lastTicket.Add(1)
	answer := make(chan kinds.Kind, 1)
	j.mu.Lock()
	j.waiters[id] = answer
	j.mu.Unlock()
	defer j.removeWaiter(id)
	j.loop.Send(AddMsg{Data: data, At: d.At, Ticket: id})
	select {
	case k := <-answer:
		if k != kinds.None {
			return kinds.New(k, "journal "+j.path)
		}
		return nil
	case <-ctx.Done():
		return kinds.Wrap(kinds.NotDurable, ctx.Err(), "journal "+j.path)
	case <-j.ended:
		return kinds.New(kinds.NotDurable, "journal "+j.path+" is closed")
	}
}

// RecordDurable commits a decision as [record.Accept] before its request is forwarded.
func (j *Journal) RecordDurable(ctx context.Context, d *record.Decision) error {
	accepted := *d
	accepted.Action = record.Accept
	return j.Commit(ctx, accepted)
}

// SetVMCount sets the number of VMs that share the write budget of the store.
func (j *Journal) SetVMCount(vms int) { j.loop.Send(VMCountMsg{vms}) }

// Status returns the counts of waiting, stored, lost and refused entries.
func (j *Journal) Status() Status { return j.loop.Model().(Model).Status }

// Close writes the remaining entries, for at most five seconds, and returns when that
// is done. Entries that could not be written are lost: their count is logged and an
// error of kind NotDurable is returned.
func (j *Journal) Close() error {
	j.once.Do(func() { j.closeErr = j.closeOnce() })
	return j.closeErr
}

func (j *Journal) closeOnce() error {
	defer close(j.ended)
	j.loop.Send(CloseMsg{})
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-j.drained:
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

func (j *Journal) removeWaiter(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.waiters, id)
}

// run executes the commands of the model.
func (j *Journal) run(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case AckCmd:
		j.ack(cmd)
	case DoneCmd:
		close(j.drained)
	case TailCmd:
		j.call(tailCalls, func(ctx context.Context) {
			next, err := j.recoverTail(ctx, cmd.From)
			send(TailMsg{Kind: kinds.Of(err), NextAddress: next})
		})
	case PutCmd:
		j.call(1, func(ctx context.Context) {
			_, err := j.store.Put(ctx, objectName(j.path, cmd.Address), cmd.Value, 0)
			send(PutMsg{Address: cmd.Address, Kind: kinds.Of(err)})
		})
	case ReadCmd:
		j.call(1, func(ctx context.Context) {
			s, err := Read(ctx, j.store, j.path, cmd.Address)
			send(ReadMsg{Address: cmd.Address, Kind: kinds.Of(err), WriterToken: s.WriterToken})
		})
	}
}

// tailCalls is the approximate number of successive store calls needed to find a tail.
const tailCalls = 32

// call runs f, which makes n successive store calls, with a timeout of n times
// Limits.Call.
func (j *Journal) call(n int, f func(ctx context.Context)) {
	j.group.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(n)*j.limits.Call)
		defer cancel()
		f(ctx)
		return nil
	})
}

func (j *Journal) ack(cmd AckCmd) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if answer, ok := j.waiters[cmd.Ticket]; ok {
		answer <- cmd.Kind
		delete(j.waiters, cmd.Ticket)
	}
}
