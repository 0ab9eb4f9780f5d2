package leases

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// A VM that starts reads the record of every lessor, 884 at the size designed for,
// and again a quarter of a second later while the store is down. If records were
// read one by one, a starting data centre of 130 VMs would use a minute of the
// store's read capacity. So a few reads are sent immediately, and those that
// arrive while these are in flight are queued: one List answers them all. Nothing
// is cached: each read is answered from a call that began after it.
const (
	// maxSingleReads is how many reads of single records may be in flight before
	// further reads are queued. A lost VM's lessors are fewer, so a takeover never
	// waits in the queue.
	maxSingleReads = 4
	// minReadsForList is how many queued reads justify a List, which returns all
	// records: it costs the store about as much as a few reads.
	minReadsForList = 8
	// listRetryDelay is how long no List is sent after one failed although a read had
	// just been answered; each record is then read by itself, since a platform may
	// refuse to list and still answer reads. In an outage of both, there is no such
	// delay, and calls stay few.
	listRetryDelay = time.Second
	// failurePause is how long reads fail without a call after maxSingleReads calls
	// failed in a row. A lessor retries after 250 ms, so the pause delays recovery
	// after an outage only slightly; one lost answer delays nobody.
	failurePause = 100 * time.Millisecond
)

// recordReads batches the reads of lessor records. The zero value is ready to use.
type recordReads struct {
	mu          sync.Mutex
	inFlight    int       // single reads
	listing     bool      // a List is in flight
	lastRead    time.Time // when a single read was last answered
	failures    int       // calls that failed in a row
	lastFailure time.Time // when the last of them ended
	noListUntil time.Time // see listRetryDelay
	queue       []queuedRead
}

// queuedRead is a read that waits.
type queuedRead struct {
	name   string
	result chan readResult // buffered for the one result
}

// readResult is the outcome of a read.
type readResult struct {
	object.Object
	err error
}

// getRecord reads one record.
func (mgr *Manager) getRecord(ctx context.Context, name string) (object.Object, error) {
	q := queuedRead{name, make(chan readResult, 1)}
	mgr.reads.mu.Lock()
	if mgr.reads.paused() {
		mgr.reads.mu.Unlock()
		return object.Object{}, kinds.New(kinds.Unavailable, "the store did not answer recent reads")
	}
	if mgr.reads.mayReadNow() {
		mgr.reads.inFlight++
		mgr.reads.mu.Unlock()
		return mgr.getSingle(ctx, name)
	}
	mgr.reads.queue = append(mgr.reads.queue, q)
	mgr.reads.mu.Unlock()
	select {
	case res := <-q.result:
		return res.Object, res.err
	case <-ctx.Done():
		return object.Object{}, kinds.Wrap(kinds.Unavailable, ctx.Err(), "read "+name)
	}
}

// mayReadNow reports whether a read may be sent without queueing.
func (r *recordReads) mayReadNow() bool {
	return time.Now().Before(r.noListUntil) || r.inFlight < maxSingleReads && !r.listing && len(r.queue) == 0
}

// paused reports whether reads fail without a call; see failurePause.
func (r *recordReads) paused() bool {
	return r.failures >= maxSingleReads && time.Since(r.lastFailure) < failurePause
}

// noteResult counts the failures in a row.
func (r *recordReads) noteResult(err error) {
	if k := kinds.Of(err); k == kinds.None || k == kinds.NotFound {
		r.failures = 0
		return
	}
	r.failures, r.lastFailure = r.failures+1, time.Now()
}

// getSingle reads one record with a call of its own.
func (mgr *Manager) getSingle(ctx context.Context, name string) (object.Object, error) {
	o, err := mgr.Store.Get(ctx, name)
	mgr.reads.mu.Lock()
	defer mgr.reads.mu.Unlock()
	mgr.reads.inFlight--
	if mgr.reads.noteResult(err); mgr.reads.failures == 0 {
		mgr.reads.lastRead = time.Now()
	}
	mgr.startQueued()
	return o, err
}

// startQueued sends the queued reads, by one List or one by one, unless a List is
// in flight. The caller holds the lock.
func (mgr *Manager) startQueued() {
	waiting := mgr.reads.queue
	switch {
	case mgr.reads.listing || len(waiting) == 0:
		return
	case len(waiting) >= minReadsForList && !time.Now().Before(mgr.reads.noListUntil):
		mgr.reads.listing = true
		mgr.effects.Go(func(ctx context.Context) error {
			mgr.listRecords(ctx, waiting)
			return nil
		})
	default:
		for _, q := range waiting {
			mgr.reads.inFlight++
			mgr.effects.Go(func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, mgr.Times.StoreWait())
				defer cancel()
				o, err := mgr.getSingle(ctx, q.name)
				q.result <- readResult{o, err}
				return nil
			})
		}
	}
	mgr.reads.queue = nil
}

// listRecords answers many reads with one List.
func (mgr *Manager) listRecords(ctx context.Context, waiting []queuedRead) {
	ctx, cancel := context.WithTimeout(ctx, mgr.Times.StoreWait())
	defer cancel()
	all, _, err := mgr.Store.List(ctx, recordPrefix)
	records := make(map[string]object.Object, len(all))
	for _, o := range all {
		records[o.Name] = o
	}
	for _, q := range waiting {
		o, ok := records[q.name]
		switch {
		case err != nil:
			q.result <- readResult{err: err}
		case !ok:
			q.result <- readResult{err: kinds.New(kinds.NotFound, q.name)}
		default:
			q.result <- readResult{Object: o}
		}
	}
	mgr.reads.mu.Lock()
	defer mgr.reads.mu.Unlock()
	mgr.reads.listing = false
	mgr.reads.noteResult(err)
	if now := time.Now(); err != nil && now.Sub(mgr.reads.lastRead) < listRetryDelay {
		mgr.reads.noListUntil = now.Add(listRetryDelay)
	}
	mgr.startQueued()
}
