// Package syncer keeps the rules and ownership tables of one entry VM and of its
// peers up to date: it carries out the decisions of node/gossip, rules/revs and
// rules/quorum, using the store and messages between entry VMs.
//
// Only a few VMs watch the store, and the others are updated by them: a pending
// watch counts as a call of the object API, whose rate limits grow more slowly than
// the fleet. While the store is down, a VM that starts gets its rules and tables
// from peers, verified by digest.
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

// Sender sends packets to other entry VMs. It never blocks; a packet may be lost.
type Sender interface {
	// Send is for packets that should arrive; Cast is for small packets that are
	// useless when they are late.
	Send(to ident.VM, body []byte)
	Cast(to ident.VM, body []byte)
}

// Options configure a Syncer. Self, Store, Rules and Peers are required.
type Options struct {
	Self         gossip.Peer
	Store        object.Store
	Rules        *revs.Holder
	Peers        Sender
	ApplyTable   func(table.Table, object.Version) // called with each table; version zero from a peer
	ApplyLoads   func([]gossip.LoadRow)            // called with loads that peers read
	ApplyStandby func(leases.Standby)              // called with standby hints of peers
	Confirm      Sender                            // sends confirmations of rules/quorum; nil sends none
	Timeout      time.Duration                     // of one store call, except watches; default 2 s
	Log          *slog.Logger
}

// Syncer synchronises one VM with the store and its peers. Create one with New.
type Syncer struct {
	Options
	group   group.Group // periodic work
	effects group.Group // calls that commands started
	rules   *loop.Loop
	gossip  *loop.Loop
	quorum  *loop.Loop

	watching atomic.Bool
	watcher  *storeWatcher

	onViews atomic.Pointer[func(gossip.ViewsCmd)]
	onList  atomic.Pointer[func()]

	rulesVersion atomic.Uint64 // version of the rules object that was last passed on
}

// New starts synchronising.
func New(o Options) *Syncer {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	s := &Syncer{Options: o}
	s.watcher = &storeWatcher{syncer: s}
	s.rules = loop.New(revs.Model{}, loop.RunnerFunc(s.runRules))
	s.gossip = loop.New(gossip.New(time.Now(), o.Self), loop.RunnerFunc(s.runGossip))
	s.quorum = loop.New(quorum.New(o.Self.VM), loop.RunnerFunc(s.runQuorum))
	s.group.Go(s.rulesLoop)
	s.group.Go(s.gossipLoop)
	s.group.Go(s.probeLoop)
	return s
}

// Close stops synchronising and waits.
func (s *Syncer) Close() error {
	err := s.group.Close()
	for _, part := range []interface{ Close() error }{s.gossip, s.rules, s.quorum, s.watcher, &s.effects} {
		if e := part.Close(); err == nil {
			err = e
		}
	}
	return err
}

// SetPeers sets the VMs that take part, including this one.
func (s *Syncer) SetPeers(live []gossip.Peer) {
	s.gossip.Send(gossip.PeersMsg{Live: live})
	s.quorum.Send(quorum.PeersMsg{Order: gossip.WatchOrder(live)})
}

// PublishLoads sends the other VMs loads of backend servers that this VM read itself.
func (s *Syncer) PublishLoads(rows []gossip.LoadRow) { s.gossip.Send(gossip.ReportMsg{Rows: rows}) }

// PublishView tells the other VMs which members look frozen or suspect to this one.
// It replaces the view published before.
func (s *Syncer) PublishView(msg gossip.ViewMsg) { s.gossip.Send(msg) }

// OnViews sets the function that is called with the views of the other VMs.
func (s *Syncer) OnViews(f func(gossip.ViewsCmd)) { s.onViews.Store(&f) }

// OnList sets the function that reads the platform's list of VMs when it is due.
func (s *Syncer) OnList(f func()) { s.onList.Store(&f) }

// ReportListRead passes on what this VM read from the platform's list of VMs, and when it
// asked for it.
func (s *Syncer) ReportListRead(msg gossip.ListReadMsg) { s.gossip.Send(msg) }

// Watching reports whether this VM watches the store for the others.
func (s *Syncer) Watching() bool { return s.watching.Load() }

// Handle takes a packet from a peer. The caller passes as sender the VM that the
// peer's certificate names. Kind Malformed means that the packet could not be
// understood and changed nothing.
func (s *Syncer) Handle(from ident.VM, body []byte) error {
	p, err := gossip.DecodePacket(body)
	if err != nil {
		return err
	}
	s.gossip.Send(gossip.PacketMsg{From: from, Packet: p})
	return nil
}

// runGossip carries out the commands of node/gossip.
func (s *Syncer) runGossip(_ context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case gossip.SendCmd:
		s.sendPacket(cmd)
	case gossip.HeadCmd:
		if cmd.Head.Name == revs.Current {
			s.Rules.NoteRevision(cmd.Head.Rev)
			s.rules.Send(revs.HeardMsg{From: cmd.From, Rev: cmd.Head.Rev, Sum: cmd.Head.Sum})
		}
	case gossip.ValueCmd:
		s.onValue(cmd)
	case gossip.WatchCmd:
		s.watching.Store(cmd.On)
		s.watcher.set(cmd.On)
	case gossip.ContactCmd:
		s.rules.Send(revs.ContactMsg{Store: cmd.Store, Live: cmd.Live, Heard: cmd.Heard, At: cmd.At})
	case gossip.ViewsCmd:
		if onViews := s.onViews.Load(); onViews != nil {
			(*onViews)(cmd)
		}
	case gossip.ReadListCmd:
		if onList := s.onList.Load(); onList != nil {
			(*onList)()
		}
	case gossip.LoadCmd:
		if s.ApplyLoads != nil {
			s.ApplyLoads(cmd.Rows)
		}
	}
}

func (s *Syncer) sendPacket(cmd gossip.SendCmd) {
	b, err := cmd.Packet.Encode()
	if err != nil {
		s.Log.Error("cannot encode gossip packet", "err", err)
		return
	}
	p := cmd.Packet
	if p.Heartbeat != nil || p.Ack != nil || p.Comparison != nil || p.News != nil {
		s.Peers.Cast(cmd.To, b)
		return
	}
	s.Peers.Send(cmd.To, b)
}

// onValue takes a value that gossip delivered. A value without a sender came from the
// store and was passed on when it was read.
func (s *Syncer) onValue(cmd gossip.ValueCmd) {
	switch {
	case cmd.From == "":
	case cmd.Head.Name == revs.Current:
		s.rules.Send(revs.LoadedMsg{From: cmd.From, Raw: cmd.Raw})
	case strings.HasPrefix(cmd.Head.Name, tablePrefix):
		tab, err := decodeTable(cmd.Head.Name, cmd.Raw)
		if err != nil {
			s.Log.Error("cannot decode ownership table", "from", cmd.From, "err", err)
			return
		}
		s.passTable(tab, 0)
	case strings.HasPrefix(cmd.Head.Name, standbyPrefix):
		s.onStandby(cmd)
	}
}

func (s *Syncer) passTable(tab table.Table, ver object.Version) {
	if s.ApplyTable != nil {
		s.ApplyTable(tab, ver)
	}
}

// runRules carries out the commands of rules/revs.
func (s *Syncer) runRules(ctx context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case revs.ApplyCmd:
		s.Rules.Apply(cmd.Snap)
		s.quorum.Send(quorum.AppliedMsg{Rev: cmd.Snap.Rev})
		s.Log.Info("rules in force", "rev", cmd.Snap.Rev, "author", cmd.Snap.Author)
	case revs.ServeCmd:
		s.Rules.SetState(cmd.State)
		s.Log.Info("answering requests", "state", cmd.State.String())
	case revs.AlarmCmd:
		s.Log.Error("rules", "from", cmd.From, "rev", cmd.Rev, "err", cmd.Err)
	case revs.FetchCmd:
		if cmd.From != "" {
			return // node/gossip asks peers on its own
		}
		s.effects.Go(func(context.Context) error {
			s.rulesVersion.Store(0)
			s.probe(ctx)
			return nil
		})
	}
}

// ruleTickPeriod is the tick period of rules/revs and rules/quorum.
const ruleTickPeriod = 250 * time.Millisecond

func (s *Syncer) rulesLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.rules.Send(revs.TickMsg{})
		s.quorum.Send(quorum.TickMsg{})
		group.Sleep(ctx, ruleTickPeriod)
	}
	return nil
}

func (s *Syncer) gossipLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.gossip.Send(gossip.TickMsg{})
		group.Sleep(ctx, gossip.TickInterval)
	}
	return nil
}
