package leases

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// A VM that starts looks at the record of every seat, 884 in the size designed
// for, and again a quarter of a second later while the store is down. Read one by
// one, a data centre of 130 VMs that starts takes a minute of the store's reads.
// So a few looks go out as they come, and those that come while these are under
// way wait for company: one List answers them all. Nothing is kept: each look is
// answered from a call that began after it.
const (
	// looksAtOnce are reads of single records under way together. A lost VM's
	// seats are fewer, so a take-over never waits for company.
	looksAtOnce = 4
	// looksShared is how many waiting looks are worth a List, which carries all
	// records: it costs the store about as much as a few reads.
	looksShared = 8
	// looksAlone is how long after a List that failed, while a read had just been
	// answered, each look is a read again: a platform may refuse to list and still
	// answer reads. In an outage of both, looks stay few.
	looksAlone = time.Second
	// looksRest is how long after looksAtOnce calls failed in a row looks fail
	// without a call. A seat asks again after 250 ms, so it adds little to an
	// outage's end; one lost answer holds nobody up.
	looksRest = 100 * time.Millisecond
)

// looks are the reads of seat records. The zero value is ready to use.
type looks struct {
	mu      sync.Mutex
	single  int // reads under way
	listing bool
	read    time.Time // when a read was last answered
	failed  int       // calls that failed in a row
	tried   time.Time // when the last of them ended
	alone   time.Time // no List before
	queue   []look
}

// look is one read that waits.
type look struct {
	name string
	got  chan found // has room for the one answer
}

type found struct {
	object.Object
	err error
}

// look reads one record.
func (k *Manager) look(ctx context.Context, name string) (object.Object, error) {
	l := look{name, make(chan found, 1)}
	k.looks.mu.Lock()
	if k.looks.resting() {
		k.looks.mu.Unlock()
		return object.Object{}, kinds.New(kinds.Unavailable, "the store did not answer just now")
	}
	if k.looks.free() {
		k.looks.single++
		k.looks.mu.Unlock()
		return k.lookAlone(ctx, name)
	}
	k.looks.queue = append(k.looks.queue, l)
	k.looks.mu.Unlock()
	select {
	case f := <-l.got:
		return f.Object, f.err
	case <-ctx.Done():
		return object.Object{}, kinds.Wrap(kinds.Unavailable, ctx.Err(), "read "+name)
	}
}

// free reports whether a look may go out by itself.
func (l *looks) free() bool {
	return time.Now().Before(l.alone) || l.single < looksAtOnce && !l.listing && len(l.queue) == 0
}

func (l *looks) resting() bool {
	return l.failed >= looksAtOnce && time.Since(l.tried) < looksRest
}

// ended notes how a call went.
func (l *looks) ended(err error) {
	if k := kinds.Of(err); k == kinds.None || k == kinds.NotFound {
		l.failed = 0
		return
	}
	l.failed, l.tried = l.failed+1, time.Now()
}

func (k *Manager) lookAlone(ctx context.Context, name string) (object.Object, error) {
	o, err := k.Store.Get(ctx, name)
	k.looks.mu.Lock()
	defer k.looks.mu.Unlock()
	k.looks.single--
	if k.looks.ended(err); k.looks.failed == 0 {
		k.looks.read = time.Now()
	}
	k.nextLooks()
	return o, err
}

// nextLooks sends what waits, once nothing stands in its way. The lock is held.
func (k *Manager) nextLooks() {
	waiting := k.looks.queue
	switch {
	case k.looks.listing || len(waiting) == 0:
		return
	case len(waiting) >= looksShared && !time.Now().Before(k.looks.alone):
		k.looks.listing = true
		k.effect.Go(func(ctx context.Context) error {
			k.list(ctx, waiting)
			return nil
		})
	default:
		for _, l := range waiting {
			k.looks.single++
			k.effect.Go(func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, k.Times.StoreWait())
				defer cancel()
				o, err := k.lookAlone(ctx, l.name)
				l.got <- found{o, err}
				return nil
			})
		}
	}
	k.looks.queue = nil
}

// list answers many looks with one call.
func (k *Manager) list(ctx context.Context, waiting []look) {
	ctx, cancel := context.WithTimeout(ctx, k.Times.StoreWait())
	defer cancel()
	all, _, err := k.Store.List(ctx, seatPrefix)
	records := make(map[string]object.Object, len(all))
	for _, o := range all {
		records[o.Name] = o
	}
	for _, l := range waiting {
		o, ok := records[l.name]
		switch {
		case err != nil:
			l.got <- found{err: err}
		case !ok:
			l.got <- found{err: kinds.New(kinds.NotFound, l.name)}
		default:
			l.got <- found{Object: o}
		}
	}
	k.looks.mu.Lock()
	defer k.looks.mu.Unlock()
	k.looks.listing = false
	k.looks.ended(err)
	if now := time.Now(); err != nil && now.Sub(k.looks.read) < looksAlone {
		k.looks.alone = now.Add(looksAlone)
	}
	k.nextLooks()
}
