// Package syncer keeps one entry VM's rules and tables up to date, and those of
// its peers: it carries out what node/gossip and rules/force decide, over the
// store and the exchange between entry VMs.
//
// A few VMs watch the store, the others hear from them: a waiting watch counts
// as a call of the object API, and its rates grow more slowly than the fleet.
// While the store is down, a VM that starts anew gets its rules and tables from
// peers, verified by digest.
package syncer

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/edge/leases"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

const tablePrefix = "table/"

// Sender carries packets to other entry VMs. It never waits; a packet may be
// lost.
type Sender interface {
	// Send is for packets that should arrive, Cast for small ones that are
	// stale when they are late.
	Send(to ident.VM, body []byte)
	Cast(to ident.VM, body []byte)
}

// Options are what the exchange needs. Self, Store, Book and Peers are
// required.
type Options struct {
	Self     gossip.Peer
	Store    object.Store
	Book     *revs.Holder
	Peers    Sender
	Tables   func(table.Table, object.Version) // told of each table; version zero from a peer
	Loads    func([]gossip.LoadRow)            // told of loads that peers read
	Standbys func(leases.Standby)              // told of servers that stand by
	Confirm  Sender                            // carries what rules/quorum tells other VMs; nil: nobody is told
	Timeout  time.Duration                     // of one store call, watches apart
	Log      *slog.Logger
}

// Syncer is one VM's end of the exchange. Make one with New.
type Syncer struct {
	Options
	group  group.Group
	effect group.Group
	rules  *loop.Loop
	gossip *loop.Loop
	quorum *loop.Loop

	watching atomic.Bool
	watchers *follower

	views atomic.Pointer[func(gossip.ViewsCmd)]
	read  atomic.Pointer[func()]

	seen atomic.Uint64 // version of the rules object that was handed on
}

// New joins the exchange.
func New(o Options) *Syncer {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	n := &Syncer{Options: o}
	n.watchers = &follower{n: n}
	n.rules = loop.New(revs.Model{}, loop.RunnerFunc(n.runRules))
	n.gossip = loop.New(gossip.New(time.Now(), o.Self), loop.RunnerFunc(n.runGossip))
	n.quorum = loop.New(quorum.New(o.Self.VM), loop.RunnerFunc(n.runQuorum))
	n.group.Go(n.tickRules)
	n.group.Go(n.tickGossip)
	n.group.Go(n.probes)
	return n
}

// Close leaves the exchange and waits.
func (n *Syncer) Close() error {
	err := n.group.Close()
	for _, c := range []interface{ Close() error }{n.gossip, n.rules, n.quorum, n.watchers, &n.effect} {
		if e := c.Close(); err == nil {
			err = e
		}
	}
	return err
}

// SetPeers says which VMs take part, this one included.
func (n *Syncer) SetPeers(live []gossip.Peer) {
	n.gossip.Send(gossip.PeersMsg{Live: live})
	n.quorum.Send(quorum.PeersMsg{Order: gossip.WatchOrder(live)})
}

// Report passes on loads of backend servers that this VM read itself.
func (n *Syncer) Report(rows []gossip.LoadRow) { n.gossip.Send(gossip.ReportMsg{Rows: rows}) }

// PublishView tells the other VMs whom this one holds to look frozen or odd, in place of
// what it said before.
func (n *Syncer) PublishView(msg gossip.ViewMsg) { n.gossip.Send(msg) }

// OnViews says who is told what the other VMs say.
func (n *Syncer) OnViews(f func(gossip.ViewsCmd)) { n.views.Store(&f) }

// OnList says who reads the platform's list of VMs when it is time to.
func (n *Syncer) OnList(f func()) { n.read.Store(&f) }

// Listed tells what this VM read of that list, and when it asked.
func (n *Syncer) Listed(msg gossip.ListReadMsg) { n.gossip.Send(msg) }

// Watching reports whether this VM watches the store for the others.
func (n *Syncer) Watching() bool { return n.watching.Load() }

// Handle takes a packet of a peer, whom its certificate names. Kind Malformed
// means that it made no sense; it changed nothing.
func (n *Syncer) Handle(from ident.VM, body []byte) error {
	p, err := gossip.DecodePacket(body)
	if err != nil {
		return err
	}
	n.gossip.Send(gossip.PacketMsg{From: from, Packet: p})
	return nil
}

// runGossip carries out what node/gossip decides.
func (n *Syncer) runGossip(_ context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case gossip.SendCmd:
		n.post(cmd)
	case gossip.HeadCmd:
		if cmd.Head.Name == revs.Current {
			n.Book.NoteRevision(cmd.Head.Rev)
			n.rules.Send(revs.HeardMsg{From: cmd.From, Rev: cmd.Head.Rev, Sum: cmd.Head.Sum})
		}
	case gossip.ValueCmd:
		n.value(cmd)
	case gossip.WatchCmd:
		n.watching.Store(cmd.On)
		n.watchers.set(cmd.On)
	case gossip.ContactCmd:
		n.rules.Send(revs.ContactMsg{Store: cmd.Store, Live: cmd.Live, Heard: cmd.Heard, At: cmd.At})
	case gossip.ViewsCmd:
		if tell := n.views.Load(); tell != nil {
			(*tell)(cmd)
		}
	case gossip.ReadListCmd:
		if read := n.read.Load(); read != nil {
			(*read)()
		}
	case gossip.LoadCmd:
		if n.Loads != nil {
			n.Loads(cmd.Rows)
		}
	}
}

func (n *Syncer) post(cmd gossip.SendCmd) {
	b, err := cmd.Packet.Encode()
	if err != nil {
		n.Log.Error("peer packet", "err", err)
		return
	}
	p := cmd.Packet
	if p.Heartbeat != nil || p.Ack != nil || p.Probe != nil || p.News != nil {
		n.Peers.Cast(cmd.To, b)
		return
	}
	n.Peers.Send(cmd.To, b)
}

// value takes what a peer brought. What came from the store was handed on when
// it was read.
func (n *Syncer) value(cmd gossip.ValueCmd) {
	switch {
	case cmd.From == "":
	case cmd.Head.Name == revs.Current:
		n.rules.Send(revs.LoadedMsg{From: cmd.From, Raw: cmd.Raw})
	case strings.HasPrefix(cmd.Head.Name, tablePrefix):
		tab, err := decode(cmd.Head.Name, cmd.Raw)
		if err != nil {
			n.Log.Error("ownership table", "from", cmd.From, "err", err)
			return
		}
		n.tables(tab, 0)
	case strings.HasPrefix(cmd.Head.Name, standPrefix):
		n.onLend(cmd)
	}
}

func (n *Syncer) tables(tab table.Table, ver object.Version) {
	if n.Tables != nil {
		n.Tables(tab, ver)
	}
}

// runRules carries out what rules/force decides.
func (n *Syncer) runRules(ctx context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case revs.ApplyCmd:
		n.Book.Apply(cmd.Snap)
		n.quorum.Send(quorum.AppliedMsg{Rev: cmd.Snap.Rev})
		n.Log.Info("rules in force", "rev", cmd.Snap.Rev, "author", cmd.Snap.Author)
	case revs.ServeCmd:
		n.Book.SetState(cmd.State)
		n.Log.Info("answering requests", "state", cmd.State.String())
	case revs.AlarmCmd:
		n.Log.Error("rules", "from", cmd.From, "rev", cmd.Rev, "err", cmd.Err)
	case revs.FetchCmd:
		if cmd.From != "" {
			return // node/gossip asks peers by itself
		}
		n.effect.Go(func(context.Context) error {
			n.seen.Store(0)
			n.probe(ctx)
			return nil
		})
	}
}

// tickRules is the period of rules/force.
const tickRules = 250 * time.Millisecond

func (n *Syncer) tickRules(ctx context.Context) error {
	for ctx.Err() == nil {
		n.rules.Send(revs.TickMsg{})
		n.quorum.Send(quorum.TickMsg{})
		group.Sleep(ctx, tickRules)
	}
	return nil
}

func (n *Syncer) tickGossip(ctx context.Context) error {
	for ctx.Err() == nil {
		n.gossip.Send(gossip.TickMsg{})
		group.Sleep(ctx, gossip.TickInterval)
	}
	return nil
}
