package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// dealer carries out what the deal of one service wants.
type dealer struct {
	r   *reign
	svc ident.Service
	// bad is the version that could not be read, and badAt when that was logged. Only
	// reads use them, of which there is one at a time.
	bad   object.Version
	badAt time.Time
}

func (d *dealer) name() string { return d.r.plat.OwnPrefix + "keys-" + string(d.svc) }

// Run carries out a command.
func (d *dealer) Run(ctx context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	r := d.r
	switch cmd := cmd.(type) {
	case assign.ReadCmd:
		r.group.Go(func(context.Context) error { send(d.read(ctx)); return nil })
	case assign.WriteCmd:
		r.group.Go(func(context.Context) error { send(d.write(ctx, cmd)); return nil })
	case assign.OrderCmd:
		r.group.Go(func(context.Context) error { send(d.order(ctx, cmd)); return nil })
	case assign.PublishCmd:
		r.serve(d.svc, cmd)
	case assign.StaleEpochCmd:
		r.behind(d.svc, cmd.Epoch)
	case assign.LogCmd:
		r.log.Info(cmd.Event, "service", d.svc, "server", cmd.Server, "former", cmd.PrevOwner, "rows", cmd.Rows, "why", cmd.Reason)
	}
}

// serve publishes who serves what, here and for those who ask.
func (r *reign) serve(svc ident.Service, cmd assign.PublishCmd) {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	view := r.board.Publish(svc, poll.Change{Epoch: cmd.Epoch, Seq: seq, Full: cmd.Full, Spans: cmd.Changes})
	if s, ok := r.state.Service(svc); ok {
		s.SetFinder(view)
	}
}

func (d *dealer) read(ctx context.Context) assign.ReadResultMsg {
	o, err := d.r.plat.Store.Get(ctx, d.name())
	msg := assign.ReadResultMsg{Version: o.Version, Kind: kinds.Of(err)}
	if err == nil {
		if msg.Table, err = ranges.Decode(o.Value); err != nil {
			msg.Kind = kinds.Of(err)
		}
		if n := msg.Table.LostRows(); n > 0 {
			d.r.log.Warn("the key table has rows that name nobody; their keys wait for all grants there may be", "service", d.svc, "rev", o.Version, "rows", n)
		}
		if err != nil && d.complains(o.Version) {
			d.r.log.Error("table cannot be read", "service", d.svc, "rev", o.Version, "err", err)
		}
	}
	return msg
}

// complainEvery is how often a table that cannot be read is logged, if it stays the same.
const complainEvery = 30 * time.Second

// complains reports whether a version of the table that cannot be read should be logged.
func (d *dealer) complains(v object.Version) bool {
	now := clock.Now()
	if v == d.bad && now.Sub(d.badAt) < complainEvery {
		return false
	}
	d.bad, d.badAt = v, now
	return true
}

func (d *dealer) write(ctx context.Context, cmd assign.WriteCmd) assign.WriteResultMsg {
	b, err := cmd.Table.Encode()
	if err != nil {
		return assign.WriteResultMsg{Kind: kinds.Of(err)}
	}
	version, err := d.r.plat.Store.Put(ctx, d.name(), b, cmd.Old)
	if err != nil {
		d.r.log.Warn("table not written", "service", d.svc, "old", cmd.Old, "err", err)
	}
	return assign.WriteResultMsg{Version: version, Kind: kinds.Of(err)}
}

// Times of orders.
const (
	// grantWait is beyond what a healthy server's answer takes by a factor of fifty.
	grantWait = 250 * time.Millisecond
	// grantsAtOnce keeps a server that leaves some orders unanswered from holding up
	// the renewal of its other keys.
	grantsAtOnce = 2
	// releaseWait covers work that is still running on the keys.
	releaseWait = 2 * time.Second
	// releasesAtOnce bounds the connections that releases take from requests.
	releasesAtOnce = 4
)

func (d *dealer) order(ctx context.Context, cmd assign.OrderCmd) assign.OrderResultMsg {
	msg := assign.OrderResultMsg{Server: cmd.Server, Incarnation: cmd.Incarnation}
	if len(cmd.Orders) > 0 && cmd.Orders[0].Release {
		msg.Results = d.releases(ctx, cmd)
		return msg
	}
	msg.Results = d.grants(ctx, cmd)
	return msg
}

// grants gives keys, a few spans at a time, until too many in a row are not answered:
// each may be obeyed without an answer, and keeps its keys from others.
func (d *dealer) grants(ctx context.Context, cmd assign.OrderCmd) []assign.OrderResult {
	var mu sync.Mutex
	var all []assign.OrderResult
	missed := 0
	d.each(len(cmd.Orders), grantsAtOnce, func(i int) bool {
		done := d.grant(ctx, cmd, cmd.Orders[i])
		mu.Lock()
		defer mu.Unlock()
		if done.Sent.IsZero() {
			return false
		}
		all = append(all, done)
		missed++
		if done.Kind == kinds.None || done.Kind == kinds.Fenced {
			missed = 0
		}
		return missed < assign.MaxMissedGrants && done.Kind != kinds.Misrouted
	})
	return all
}

// grant gives one span, if the authority still lasts.
func (d *dealer) grant(ctx context.Context, cmd assign.OrderCmd, o assign.Order) assign.OrderResult {
	done := assign.OrderResult{Order: o}
	due := clock.Now()
	defer d.r.pace.begin(ctx)()
	now := clock.Now()
	done.Waited = now.Sub(due)
	if !now.Before(cmd.Until) {
		return done
	}
	done.Sent = now
	grant := feed.Grant{Span: o.Span, Fence: o.Fence, TTL: o.TTL, Token: o.Token}
	done.Kind = kinds.Of(d.call(ctx, grantWait, func(ctx context.Context) error {
		return d.r.plat.Orders.Grant(ctx, cmd.Addr, cmd.Server, grant)
	}))
	return done
}

// each does something for the first n numbers, some at a time, until it says that it
// is enough.
func (d *dealer) each(n, atOnce int, do func(i int) bool) {
	var next atomic.Int64
	var g group.Group
	for range min(atOnce, n) {
		g.Go(func(context.Context) error {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				if !do(i) {
					next.Store(int64(n))
				}
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (d *dealer) call(ctx context.Context, wait time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return do(ctx)
}

// releases takes keys back, several spans at a time: each answer waits for the work
// that runs on its keys.
func (d *dealer) releases(ctx context.Context, cmd assign.OrderCmd) []assign.OrderResult {
	all := make([]assign.OrderResult, len(cmd.Orders))
	d.each(len(all), releasesAtOnce, func(i int) bool {
		all[i] = d.release(ctx, cmd, cmd.Orders[i])
		return true
	})
	return all
}

func (d *dealer) release(ctx context.Context, cmd assign.OrderCmd, o assign.Order) assign.OrderResult {
	defer d.r.pace.begin(ctx)()
	done := assign.OrderResult{Order: o, Sent: clock.Now(), Kind: kinds.Unavailable}
	if !done.Sent.Before(cmd.Until) {
		return done
	}
	err := d.call(ctx, releaseWait, func(ctx context.Context) error {
		var err error
		done.Token, err = d.r.plat.Orders.Release(ctx, cmd.Addr, cmd.Server, o.Span, o.Fence)
		return err
	})
	done.Kind = kinds.Of(err)
	return done
}
