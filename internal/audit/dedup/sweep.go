package dedup

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Retention is how long a claim is kept. A request that is repeated later runs again, so
// the time is longer than any caller retries: it covers a weekend and a holiday.
const Retention = 7 * 24 * time.Hour

// Old claims must be deleted, or they would fill the store. Each VM checks the shards one
// after another; ten VMs together check all of them about every four hours. The pause
// between deletions keeps the sweep a small part of the store's writes.
const (
	shards        = 256
	sweepInterval = 10 * time.Minute
	sweepPause    = 100 * time.Millisecond
)

// sweepLoop sweeps one shard in each interval. Each VM starts at a shard given by its
// name, so that they differ.
func (g *Guard) sweepLoop(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	shard := xxhash.Sum64String(string(g.vm))
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		shard++
		n, err := Sweep(ctx, g.store, byte(shard%shards), time.Now().Add(-Retention))
		if n > 0 || err != nil {
			g.log.Debug("old claims deleted", slog.Int("count", n), slog.Any("err", err))
		}
	}
}

// Sweep deletes the claims of one shard that were written before a time, and returns
// their number. Claims that change meanwhile and claims that cannot be decoded stay.
func Sweep(ctx context.Context, store object.Store, shard byte, before time.Time) (int, error) {
	all, _, err := store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, shard))
	if err != nil {
		return 0, err
	}
	n := 0
	pause := time.NewTicker(sweepPause)
	defer pause.Stop()
	for _, o := range all {
		var r Record
		if wire.Decode(o.Value, &r) != nil || r.FormatVersion > Version || !r.WrittenAt.Before(before) {
			continue
		}
		if store.Delete(ctx, o.Name, o.Version) == nil {
			n++
		}
		select {
		case <-pause.C:
		case <-ctx.Done():
			return n, nil
		}
	}
	return n, nil
}
