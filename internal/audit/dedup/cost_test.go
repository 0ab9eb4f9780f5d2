package dedup

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// batcher implements the rejected alternative: ids are hashed to buckets, each one object
// that is extended by conditional updates, and a VM collects the claims of a bucket for
// a short time before it writes them together.
type batcher struct {
	store *objmem.Store
	group *group.Group
	mu    sync.Mutex
	open  map[uint64]*bucketBatch
}

// bucketBatch collects the ids that are written to a bucket together.
type bucketBatch struct {
	ids  []string
	done chan struct{}
}

const (
	costVMs        = 10
	costBuckets    = 64
	costBatchDelay = 20 * time.Millisecond
	costStoreDelay = 3 * time.Millisecond
	costDuration   = 5 * time.Second
)

// claim returns a channel that is closed once the id is written to its bucket.
func (b *batcher) claim(id string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := xxhash.Sum64String(id) % costBuckets
	if b.open[n] == nil {
		batch := &bucketBatch{done: make(chan struct{})}
		b.open[n] = batch
		b.group.Go(func(ctx context.Context) error {
			time.Sleep(costBatchDelay)
			b.write(ctx, n, batch)
			return nil
		})
	}
	b.open[n].ids = append(b.open[n].ids, id)
	return b.open[n].done
}

func (b *batcher) write(ctx context.Context, n uint64, batch *bucketBatch) {
	defer close(batch.done)
	b.mu.Lock()
	delete(b.open, n)
	b.mu.Unlock()
	name := fmt.Sprint("bucket/", n)
	for {
		var ids []string
		var old object.Version
		if o, err := b.store.Get(ctx, name); err == nil {
			old = o.Version
			_ = wire.Decode(o.Value, &ids)
		}
		value, _ := wire.Encode(append(ids, batch.ids...))
		if _, err := b.store.Put(ctx, name, value, old); kinds.Of(err) != kinds.Conflict {
			return
		}
	}
}

// claimCost is the load on the store and the wait of the caller.
type claimCost struct {
	writes, reads, bytes, wait float64 // per receipt; wait in milliseconds
}

func slowStore() *objmem.Store {
	store := objmem.New()
	store.SetFault(func(objmem.Op, string) objmem.Fault { return objmem.Fault{Delay: costStoreDelay} })
	return store
}

func costOf(store *objmem.Store, n int, wait time.Duration) claimCost {
	u := store.Usage()
	return claimCost{
		writes: float64(u.Writes) / float64(n),
		reads:  float64(u.Reads) / float64(n),
		bytes:  float64(u.In+u.Out) / float64(n),
		wait:   float64(wait.Microseconds()) / 1000 / float64(n),
	}
}

func costOfCreates(t *testing.T, rate int) (c claimCost) {
	synctest.Test(t, func(t *testing.T) {
		store := slowStore()
		var g group.Group
		guards := make([]*Guard, costVMs)
		for i := range guards {
			guards[i] = newGuard(store, fmt.Sprint("vm-", i))
		}
		n := int(costDuration.Seconds()) * rate
		waits := make([]time.Duration, n)
		for i := range n {
			g.Go(func(ctx context.Context) error {
				start := time.Now()
				ticket, err := guards[i%costVMs].Claim(ctx, claimRequest(fmt.Sprint(i)))
				waits[i] = time.Since(start)
				if err == nil {
					ticket.Done(201)
				}
				return err
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		assert.NilError(t, g.Wait())
		for _, guard := range guards {
			assert.NilError(t, guard.Close())
		}
		c = costOf(store, n, sum(waits))
	})
	return c
}

func costOfBatches(t *testing.T, rate int) (c claimCost) {
	synctest.Test(t, func(t *testing.T) {
		store := slowStore()
		var g group.Group
		vms := make([]*batcher, costVMs)
		for i := range vms {
			vms[i] = &batcher{store: store, group: &g, open: map[uint64]*bucketBatch{}}
		}
		n := int(costDuration.Seconds()) * rate
		waits := make([]time.Duration, n)
		for i := range n {
			vm := vms[i%costVMs]
			id := fmt.Sprint(i)
			done := vm.claim(id)
			g.Go(func(context.Context) error {
				start := time.Now()
				<-done
				waits[i] = time.Since(start)
				return nil
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		assert.NilError(t, g.Wait())
		c = costOf(store, n, sum(waits))
	})
	return c
}

func sum(all []time.Duration) (total time.Duration) {
	for _, d := range all {
		total += d
	}
	return total
}

// Compares the load on the store of one create for each request and of batched claims.
// The log of this test is the table in docs/design/audit.md. At the request rates of
// current users one create for each request costs less, and its caller waits less.
func TestCostOfClaims(t *testing.T) {
	for _, rate := range []int{5, 20, 100, 500} {
		create, batch := costOfCreates(t, rate), costOfBatches(t, rate)
		for name, c := range map[string]claimCost{"create": create, "batch": batch} {
			t.Logf("%3d receipts/s, %s: %.2f writes, %.2f reads, %.0f bytes a receipt; %.0f writes/s; waits %.1f ms",
				rate, name, c.writes, c.reads, c.bytes, c.writes*float64(rate), c.wait)
		}
		assert.Assert(t, create.wait < batch.wait)
		assert.Assert(t, create.writes*float64(rate) <= float64(rate+doneRate*costVMs+1+doneBurst*costVMs))
		assert.Equal(t, create.reads, 0.0)
	}
}

// Claims older than a week are deleted; newer and undecodable ones stay.
func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		guard := newGuard(store, "vm-1")
		for i := range 200 {
			_, err := guard.Claim(t.Context(), claimRequest(fmt.Sprint("old", i)))
			assert.NilError(t, err)
		}
		assert.NilError(t, guard.Close())
		time.Sleep(Retention + time.Hour)
		guard = newGuard(store, "vm-2")
		_, err := guard.Claim(t.Context(), claimRequest("young"))
		assert.NilError(t, err)
		_, err = store.Put(t.Context(), Prefix+"00/x", []byte{0xff}, 0)
		assert.NilError(t, err)
		time.Sleep(shards * (sweepInterval + time.Minute))
		left, _, err := store.List(t.Context(), Prefix)
		assert.NilError(t, err)
		assert.Equal(t, len(left), 2)
		assert.NilError(t, guard.Close())
	})
}
