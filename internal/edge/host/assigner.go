package host

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
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
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// assigner executes the commands of one service's key assignment.
type assigner struct {
	coord *coordinator
	svc   ident.Service
	// badVersion is the last version of the table that could not be decoded, and
	// badLoggedAt is when that was logged. Only readTable uses them, and only one read
	// runs at a time.
	badVersion  object.Version
	badLoggedAt time.Time
}

func (a *assigner) objectName() string { return "keys-" + string(a.svc) }

// Run executes a command of the key assignment.
func (a *assigner) Run(ctx context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	c := a.coord
	switch cmd := cmd.(type) {
	case assign.ReadCmd:
		c.group.Go(func(context.Context) error { send(a.readTable(ctx)); return nil })
	case assign.WriteCmd:
		c.group.Go(func(context.Context) error { send(a.writeTable(ctx, cmd)); return nil })
	case assign.OrderCmd:
		c.group.Go(func(context.Context) error { send(a.sendOrders(ctx, cmd)); return nil })
	case assign.PublishCmd:
		c.publishOwners(a.svc, cmd)
	case assign.StaleEpochCmd:
		c.reportStaleEpoch(a.svc, cmd.Epoch)
	case assign.LogCmd:
		c.log.Info(cmd.Event, "service", a.svc, "server", cmd.Server, "former", cmd.PrevOwner, "rows", cmd.Rows, "why", cmd.Reason)
	}
}

// publishOwners publishes changed key owners to this VM and to those that poll it.
func (c *coordinator) publishOwners(svc ident.Service, cmd assign.PublishCmd) {
	c.mu.Lock()
	c.seq++
	seq := c.seq
	c.mu.Unlock()
	view := c.hub.Publish(svc, poll.Change{Epoch: cmd.Epoch, Seq: seq, Full: cmd.Full, Spans: cmd.Changes})
	if s, ok := c.state.Service(svc); ok {
		s.SetFinder(view)
	}
}

func (a *assigner) readTable(ctx context.Context) assign.ReadResultMsg {
	o, era, err := a.coord.own.get(ctx, a.objectName())
	msg := assign.ReadResultMsg{Version: o.Version, Kind: kinds.Of(err), Era: era}
	if msg.Kind == kinds.NotFound && era > 0 {
		if o, err = a.newestCopy(ctx); err == nil {
			msg.Kind, msg.Copy, msg.Served = kinds.None, true, a.coord.servedBefore(a.svc)
		}
	}
	if err == nil {
		if msg.Table, err = ranges.Decode(o.Value); err != nil {
			msg.Kind = kinds.Of(err)
		}
		if n := msg.Table.LostRows(); n > 0 {
			a.coord.log.Warn("key table has rows whose owner is unknown; their keys wait until every possible grant has expired", "service", a.svc, "rev", o.Version.Revision(), "rows", n)
		}
		if msg.Kind == kinds.None && !msg.Table.Era.Is(era) && !msg.Copy {
			msg.Copy, msg.Served = true, a.coord.servedBefore(a.svc)
		}
		if err != nil && a.shouldLogBadTable(o.Version) {
			a.coord.log.Error("key table cannot be decoded", "service", a.svc, "rev", o.Version.Revision(), "err", err)
		}
	}
	return msg
}

// newestCopy returns the newest table of an earlier era that the store has.
func (a *assigner) newestCopy(ctx context.Context) (object.Object, error) {
	all := a.coord.own.list(ctx, a.objectName())
	if len(all) == 0 {
		return object.Object{}, kinds.New(kinds.NotFound, a.objectName())
	}
	return slices.MaxFunc(all, func(x, y object.Object) int { return cmp.Compare(x.Version, y.Version) }), nil
}

// badTableLogInterval is how often an unreadable table is logged if it does not change.
const badTableLogInterval = 30 * time.Second

// shouldLogBadTable reports whether to log that a version of the table cannot be decoded.
func (a *assigner) shouldLogBadTable(v object.Version) bool {
	now := clock.Now()
	if v == a.badVersion && now.Sub(a.badLoggedAt) < badTableLogInterval {
		return false
	}
	a.badVersion, a.badLoggedAt = v, now
	return true
}

func (a *assigner) writeTable(ctx context.Context, cmd assign.WriteCmd) assign.WriteResultMsg {
	b, err := cmd.Table.Encode()
	if err != nil {
		return assign.WriteResultMsg{Kind: kinds.Of(err)}
	}
	version, err := a.coord.own.put(ctx, a.objectName(), b, cmd.Old, cmd.Table.Era.Era())
	if err != nil {
		a.coord.log.Warn("key table write failed", "service", a.svc, "old", cmd.Old.Revision(), "era", cmd.Table.Era.Era(), "err", err)
	}
	return assign.WriteResultMsg{Version: version, Kind: kinds.Of(err)}
}

// Timeouts and limits of orders to servers.
const (
	// grantTimeout is fifty times what a healthy server takes to answer.
	grantTimeout = 250 * time.Millisecond
	// maxConcurrentGrants lets the renewals of a server's other keys continue while it
	// leaves one order unanswered.
	maxConcurrentGrants = 2
	// releaseTimeout allows for work that is still running on the keys.
	releaseTimeout = 2 * time.Second
	// maxConcurrentReleases limits the connections that releases take away from requests.
	maxConcurrentReleases = 4
)

func (a *assigner) sendOrders(ctx context.Context, cmd assign.OrderCmd) assign.OrderResultMsg {
	msg := assign.OrderResultMsg{Server: cmd.Server, Incarnation: cmd.Incarnation}
	if len(cmd.Orders) > 0 && cmd.Orders[0].Release {
		msg.Results = a.sendReleases(ctx, cmd)
		return msg
	}
	msg.Results = a.sendGrants(ctx, cmd)
	return msg
}

// sendGrants sends grants, a few at a time, until too many in a row get no answer. Each
// unanswered grant may have been accepted and keeps its keys from other servers.
func (a *assigner) sendGrants(ctx context.Context, cmd assign.OrderCmd) []assign.OrderResult {
	var mu sync.Mutex
	var all []assign.OrderResult
	unanswered := 0
	a.forEach(len(cmd.Orders), maxConcurrentGrants, func(i int) bool {
		result := a.sendGrant(ctx, cmd, cmd.Orders[i])
		mu.Lock()
		defer mu.Unlock()
		if result.Sent.IsZero() {
			return false
		}
		all = append(all, result)
		unanswered++
		if result.Kind == kinds.None || result.Kind == kinds.Fenced {
			unanswered = 0
		}
		return unanswered < assign.MaxMissedGrants && result.Kind != kinds.Misrouted
	})
	return all
}

// sendGrant grants one span of keys if the leader's authority has not expired.
func (a *assigner) sendGrant(ctx context.Context, cmd assign.OrderCmd, o assign.Order) assign.OrderResult {
	result := assign.OrderResult{Order: o}
	queuedAt := clock.Now()
	defer a.coord.pacer.acquire(ctx)()
	delay := a.maxDelay(cmd.Addr)
	now := clock.Now()
	result.Waited = now.Sub(queuedAt)
	if !now.Add(delay).Before(cmd.Until) {
		return result
	}
	result.Sent, result.Delay = now, delay
	grant := feed.Grant{Span: o.Span, Fence: o.Fence, TTL: o.TTL, Token: o.Token}
	result.Kind = kinds.Of(a.callWithTimeout(ctx, grantTimeout, func(ctx context.Context) error {
		return a.coord.plat.Orders.Grant(ctx, cmd.Addr, cmd.Server, grant)
	}))
	result.Delay = max(result.Delay, a.maxDelay(cmd.Addr)) // the path may have been lost meanwhile
	return result
}

// maxDelay returns how much later than over a direct connection an order to a server may
// arrive.
func (a *assigner) maxDelay(to netip.AddrPort) time.Duration {
	if a.coord.dialer.MayRelayOrders(to) {
		return tunnel.MaxDelay
	}
	return 0
}

// forEach calls do for 0 to n-1, at most atOnce at a time, until do returns false.
func (a *assigner) forEach(n, atOnce int, do func(i int) bool) {
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

func (a *assigner) callWithTimeout(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx)
}

// sendReleases releases several spans at a time, since each answer waits for the work
// that is running on its keys.
func (a *assigner) sendReleases(ctx context.Context, cmd assign.OrderCmd) []assign.OrderResult {
	all := make([]assign.OrderResult, len(cmd.Orders))
	a.forEach(len(all), maxConcurrentReleases, func(i int) bool {
		all[i] = a.sendRelease(ctx, cmd, cmd.Orders[i])
		return true
	})
	return all
}

func (a *assigner) sendRelease(ctx context.Context, cmd assign.OrderCmd, o assign.Order) assign.OrderResult {
	defer a.coord.pacer.acquire(ctx)()
	result := assign.OrderResult{Order: o, Sent: clock.Now(), Delay: a.maxDelay(cmd.Addr), Kind: kinds.Unavailable}
	if !result.Sent.Add(result.Delay).Before(cmd.Until) {
		return result
	}
	err := a.callWithTimeout(ctx, releaseTimeout, func(ctx context.Context) error {
		var err error
		result.Token, err = a.coord.plat.Orders.Release(ctx, cmd.Addr, cmd.Server, o.Span, o.Fence)
		return err
	})
	result.Kind = kinds.Of(err)
	return result
}
