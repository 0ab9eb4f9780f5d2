package leases

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Limits of messages that share a packet.
const (
	// batchDelay is how long a heartbeat may wait for others to the same VM. The
	// heartbeats of all lessors fall due at the same moment, so this only covers
	// their goroutines running one after the other. It is a twentieth of the
	// heartbeat period and less than the margin, so three lost heartbeats still mean
	// 300 ms.
	batchDelay = 5 * time.Millisecond
	// maxBatchBytes is the largest total size of the messages in one packet, in
	// bytes. With the framing it stays below the capacity of a datagram.
	maxBatchBytes = 1000
)

// castBatches are the datagram messages that wait for others to the same VM. Without
// them each lessor's heartbeat would be a packet of its own, more than half of which
// would be the headers of IP, UDP and QUIC.
type castBatches struct {
	mu   sync.Mutex
	open map[ident.VM]*castBatch
}

type castBatch struct {
	messages [][]byte
	size     int
}

// castBatched sends a message in one datagram with others to the same VM, after
// batchDelay at most.
func (mgr *Manager) castBatched(to ident.VM, msg []byte) {
	mgr.batches.mu.Lock()
	defer mgr.batches.mu.Unlock()
	batch := mgr.batches.open[to]
	if batch != nil && batch.size+len(msg) > maxBatchBytes {
		delete(mgr.batches.open, to)
		mgr.sendBatch(to, batch)
		batch = nil
	}
	if batch == nil {
		batch = &castBatch{}
		mgr.batches.add(to, batch)
		mgr.effects.Go(func(ctx context.Context) error {
			mgr.flushBatch(ctx, to, batch)
			return nil
		})
	}
	batch.messages = append(batch.messages, msg)
	batch.size += len(msg)
}

func (b *castBatches) add(to ident.VM, batch *castBatch) {
	if b.open == nil {
		b.open = map[ident.VM]*castBatch{}
	}
	b.open[to] = batch
}

// flushBatch sends a batch after batchDelay, unless it was full and sent before.
func (mgr *Manager) flushBatch(ctx context.Context, to ident.VM, batch *castBatch) {
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	mgr.batches.mu.Lock()
	defer mgr.batches.mu.Unlock()
	if mgr.batches.open[to] == batch {
		delete(mgr.batches.open, to)
		mgr.sendBatch(to, batch)
	}
}

// sendBatch sends a batch as one datagram.
func (mgr *Manager) sendBatch(to ident.VM, batch *castBatch) {
	if len(batch.messages) == 1 {
		mgr.Peers.Cast(to, batch.messages[0])
		return
	}
	b, err := wire.Encode(message{Batch: batch.messages})
	if err != nil {
		mgr.Log.Error("cannot encode lessor messages", "err", err)
		return
	}
	mgr.Peers.Cast(to, b)
}
