package host

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// courier asks the leader for news, again and again, and puts them in place. While
// no leader is known or reached, it asks the other VMs.
type courier struct {
	group  group.Group
	p      courierParts
	client *poll.Client

	life   string // of the leader whose numbers follow
	seqs   map[ident.Service]uint64
	cases  uint64           // number up to which it told of requests under suspicion
	others []netip.AddrPort // where VMs were, as the leader said
	next   int
	lost   bool
}

type courierParts struct {
	fx.In
	Config Config
	Board  *poll.Hub
	Reign  *reign
	Fleet  *fleet
	Book   *book
	Fetch  *fetcher
	State  *state.State
	Counts *counts
	Guard  *quarantine
	Log    *slog.Logger
}

func newCourier(lc fx.Lifecycle, p courierParts) *courier {
	c := &courier{p: p, client: poll.NewClient(), seqs: map[ident.Service]uint64{}, others: p.Config.Seeds}
	duties(lc, &c.group, c.run)
	return c
}

// Pauses between questions.
const (
	leadPause = 200 * time.Millisecond // while this VM leads
	failPause = 100 * time.Millisecond // after a question that came to nothing
	// leastTurn is the least time from one question to the next. Whatever this VM
	// cannot take in is answered again at once; without a least time both VMs would do
	// nothing else. News wait this long at most, and only behind other news.
	leastTurn = 20 * time.Millisecond
)

func (c *courier) run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, leads := c.p.Board.Lease()
		next := time.Now().Add(leastTurn)
		switch {
		case leads:
			c.p.Fleet.share(c.p.Board.VMs(time.Now()))
			c.askFormer(ctx)
			group.Sleep(ctx, leadPause)
		case !c.ask(ctx, lease):
			c.askOther(ctx)
			group.Sleep(ctx, failPause)
		default:
			group.Sleep(ctx, time.Until(next))
		}
	}
	return nil
}

// hello is the part of a question that any VM may read. It says what this VM knows, or
// the answer holds all servers: a new leader asks the former one five times a second.
func (c *courier) hello() *poll.Request {
	a := &poll.Request{VM: c.p.Config.VM, Addr: c.p.Config.Peers.String(), CPUs: c.p.Config.CPUs}
	a.Lease, _ = c.p.Board.Lease()
	a.RulesRev = uint64(c.p.State.Rules.Newest())
	_, a.ServersRev = c.p.Board.Revs()
	return a
}

// question is what the leader needs to know, and what this VM has.
func (c *courier) question() *poll.Request {
	a := c.hello()
	a.Incarnation, a.Seqs = c.life, c.seqs
	a.ServersRev = c.p.Fleet.known(time.Now())
	a.Cells, a.LatencySums = c.p.Counts.take()
	a.Reports, a.CaseSeq = c.p.Guard.reports(a.Lease.Incarnation), c.cases
	return a
}

// ask asks the leader, and reports whether it answered as one.
func (c *courier) ask(ctx context.Context, lease elect.Lease) bool {
	if lease.Incarnation == "" || lease.Holder == c.p.Config.VM {
		return false
	}
	a := c.question()
	asked := clock.Now()
	n, err := c.client.Poll(ctx, lease.Addr, a, c.hear)
	if err != nil || !n.IsLeader {
		c.p.Counts.back(a.Cells, a.LatencySums)
		if !c.lost && ctx.Err() == nil {
			c.p.Log.Warn("leader lost", "holder", lease.Holder, "epoch", lease.Epoch, "err", err)
		}
		c.lost = true
		c.take(n, lease.Addr)
		if err == nil && c.ended(n, lease) {
			c.p.Reign.loop.Send(elect.SteppedDownMsg{Epoch: lease.Epoch})
		}
		return false
	}
	if c.lost {
		c.p.Log.Info("leader regained", "holder", n.Lease.Holder, "epoch", n.Lease.Epoch)
	}
	c.lost = false
	c.hear(poll.Heartbeat{Epoch: n.Lease.Epoch, StoreDown: n.StoreDown}) // one of an earlier version says it at the end only
	c.p.Reign.loop.Send(elect.RankMsg{N: n.ClaimRank})
	c.p.Fleet.witness(n.StoreUpFor) // first: it decides how a list without some servers is read
	c.take(n, lease.Addr)
	c.sure(asked, n)
	c.p.Fleet.share(n.VMCount + 1) // the leader beside them
	c.meet(n.VMs)
	c.apply(n)
	c.p.Guard.told(n.Lease.Incarnation, a.Reports)
	if !n.StoreDown {
		c.p.Board.SetSynced(n.ReceivedAt)
	}
	return true
}

// hear takes in the heartbeat of a leader whose answer has begun.
func (c *courier) hear(b poll.Heartbeat) {
	c.p.Reign.loop.Send(elect.HeartbeatMsg{Epoch: b.Epoch, RenewOverdue: b.StoreDown})
}

// ended tells the decision who leads when the holder of a lease gives no orders any
// more: it says that it does not lead, or its VM runs another process.
func (c *courier) ended(n poll.Response, lease elect.Lease) bool {
	rests := n.Incarnation == lease.Incarnation && !n.IsLeader && n.Lease.Epoch >= lease.Epoch
	replaced := n.VM == lease.Holder && n.Incarnation != lease.Incarnation
	if !rests && !replaced {
		return false
	}
	c.p.Reign.loop.Send(elect.TermEndedMsg{Epoch: lease.Epoch})
	return true
}

// askFormer asks whoever led before this VM whether it has ended: until it is known
// to have, keys of servers that do not answer must wait for its term.
func (c *courier) askFormer(ctx context.Context) {
	lease, may := c.p.Reign.model().Previous(clock.Now())
	if !may {
		return
	}
	if n, err := c.client.Poll(ctx, lease.Addr, c.hello(), nil); err == nil {
		c.ended(n, lease)
	}
}

// take takes in what any VM may tell.
func (c *courier) take(n poll.Response, from netip.AddrPort) {
	if n.ClusterFormed {
		c.p.Reign.loop.Send(elect.ClusterFormedMsg{})
	}
	if n.Lease.Incarnation != "" {
		c.p.Reign.loop.Send(elect.LeaseMsg{Lease: n.Lease})
	}
	if n.RulesRev > 0 {
		c.p.Fetch.name(n.RulesRev, from)
	}
	if n.Rules != nil {
		c.p.Book.take(*n.Rules, "peer")
	}
	if n.Servers != nil {
		c.p.Fleet.take(*n.Servers)
	}
}

// sure takes in for how long the leader's rules are the newest. The time counts from the
// question: when the answer was written nobody here knows.
func (c *courier) sure(asked time.Time, n poll.Response) {
	if c.p.Book.has(n.RulesRev) {
		c.p.State.Rules.SetFreshUntil(asked.Add(n.RulesFreshFor))
		c.p.Board.SetRulesCursor(n.RulesCursor)
	}
}

// meet remembers where the other VMs are.
func (c *courier) meet(vms []string) {
	var all []netip.AddrPort
	for _, text := range vms {
		if at, err := netip.ParseAddrPort(text); err == nil && at != c.p.Config.Peers {
			all = append(all, at)
		}
	}
	if len(all) > 0 {
		c.others = all
		c.p.Fetch.meet(all)
	}
}

// apply puts newer owners of keys in place.
func (c *courier) apply(n poll.Response) {
	if n.Lease.Incarnation != c.life {
		c.life, c.seqs, c.cases = n.Lease.Incarnation, map[ident.Service]uint64{}, 0
	}
	if n.Cases != nil {
		c.p.Guard.take(c.life, n.Cases.List)
		c.cases = n.Cases.Seq
	}
	for name, change := range n.Changes {
		svc, ok := c.p.State.Service(name)
		if !ok {
			continue
		}
		old, _ := svc.Finder().(*ranges.View)
		svc.SetFinder(old.Apply(change.Epoch, change.Seq, change.Full, change.Spans))
		c.seqs[name] = change.Seq
	}
}

// askOther asks another VM who leads, for servers that are newer, and which rules it has.
func (c *courier) askOther(ctx context.Context) {
	if len(c.others) == 0 {
		return
	}
	c.next++
	at := c.others[c.next%len(c.others)]
	a := c.hello()
	if n, err := c.client.Poll(ctx, at, a, nil); err == nil {
		c.take(n, at)
	}
}
