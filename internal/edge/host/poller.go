package host

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// poller polls the leader for news in a loop and applies it. While no leader is known or
// can be reached, it polls the other VMs.
type poller struct {
	group  group.Group
	parts  pollerParts
	client *poll.Client

	leaderIncarnation string // incarnation of the leader to which seqs and caseSeq refer
	seqs              map[ident.Service]uint64
	caseSeq           uint64           // sequence number of the last quarantine case received from the leader
	peers             []netip.AddrPort // addresses of other VMs, as reported by the leader
	next              int
	leaderLost        bool
}

type pollerParts struct {
	fx.In
	Config      Config
	Hub         *poll.Hub
	Coordinator *coordinator
	Servers     *serverTracker
	Rules       *ruleManager
	Fetcher     *fetcher
	State       *state.State
	Counts      *loadCounts
	Quarantine  *quarantine
	Lender      *coldLender
	Notices     *notices
	Shedders    *shedders
	Fleet       *fleetLoad
	Tunnels     *tunnel.Client
	Log         *slog.Logger
}

func newPoller(lc fx.Lifecycle, parts pollerParts) *poller {
	p := &poller{parts: parts, client: poll.NewClient(), seqs: map[ident.Service]uint64{}, peers: parts.Config.Seeds}
	runWhileStarted(lc, &p.group, p.run, p.askAboutOutages)
	return p
}

// Pauses between polls.
const (
	leaderPause    = 200 * time.Millisecond // while this VM leads
	pollRetryPause = 100 * time.Millisecond // after a failed poll
	// minPollInterval is the least time between the starts of two polls of the leader. A
	// response that this VM cannot apply is sent again at once; without a pause, both VMs
	// would do nothing else. It delays news by at most this time, and only when it
	// follows other news.
	minPollInterval = 20 * time.Millisecond
)

func (p *poller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, leads := p.parts.Hub.Lease()
		next := time.Now().Add(minPollInterval)
		switch {
		case leads:
			p.parts.Servers.setVMCount(p.parts.Hub.VMs(time.Now()))
			p.setTunnelPeers(p.parseAddrs(p.parts.Hub.PeerAddrs(time.Now())))
			p.parts.Lender.lendToSelf()
			p.pollPreviousLeader(ctx)
			p.pollPeerIfBehind(ctx)
			group.Sleep(ctx, leaderPause)
		case !p.pollLeader(ctx, lease):
			p.pollPeer(ctx)
			group.Sleep(ctx, pollRetryPause)
		default:
			group.Sleep(ctx, time.Until(next))
		}
	}
	return nil
}

// baseRequest returns the part of a poll request that any VM can answer. It includes the
// revisions known here, because otherwise each response would hold the complete server
// list, and a new leader polls the previous one five times a second.
func (p *poller) baseRequest() *poll.Request {
	req := &poll.Request{VM: p.parts.Config.VM, Addr: p.parts.Config.Peers.String(), CPUs: p.parts.Config.CPUs, Centre: p.parts.Config.Centre}
	req.Lease, _ = p.parts.Hub.Lease()
	req.RulesRev = uint64(p.parts.State.Rules.Newest())
	_, req.ServersRev = p.parts.Hub.Revs()
	req.EvacRev = p.parts.Hub.EvacuatedRev()
	return req
}

// leaderRequest returns the full poll request for the leader, with this VM's reports.
func (p *poller) leaderRequest() *poll.Request {
	req := p.baseRequest()
	req.Incarnation, req.Seqs = p.leaderIncarnation, p.seqs
	req.ServersRev = p.parts.Servers.knownRev(time.Now())
	req.Cells, req.LatencySums = p.parts.Counts.drain()
	req.Reports, req.CaseSeq = p.parts.Quarantine.reports(req.Lease.Incarnation), p.caseSeq
	req.TrialAsks = p.parts.Quarantine.trialAsks()
	req.Shedding = p.parts.Shedders.report()
	req.Notices, req.NoticesRev = p.parts.Notices.report()
	return req
}

// pollLeader polls the leader and reports whether the VM that answered is the leader.
func (p *poller) pollLeader(ctx context.Context, lease elect.Lease) bool {
	if lease.Incarnation == "" || lease.Holder == p.parts.Config.VM {
		return false
	}
	asked := clock.Now() // before the reports are collected: what is heard later is not in them
	req := p.leaderRequest()
	samples := p.parts.Fleet.report(req)
	resp, err := p.client.Poll(ctx, lease.Addr, req, p.onHeartbeat)
	if err != nil || !resp.IsLeader {
		p.parts.Counts.restore(req.Cells, req.LatencySums)
		p.parts.Quarantine.restoreTrialAsks(req.TrialAsks)
		p.parts.Fleet.collector.Restore(samples)
		if !p.leaderLost && ctx.Err() == nil {
			p.parts.Log.Warn("leader lost", "holder", lease.Holder, "epoch", lease.Epoch, "err", err)
		}
		p.leaderLost = true
		p.parts.Servers.leaderLost()
		p.applyShared(asked, resp, lease.Addr)
		if err == nil && p.checkTermEnded(resp, lease) {
			p.parts.Coordinator.election.Send(elect.SteppedDownMsg{Epoch: lease.Epoch})
		}
		return false
	}
	if p.leaderLost {
		p.parts.Log.Info("leader regained", "holder", resp.Lease.Holder, "epoch", resp.Lease.Epoch)
	}
	p.leaderLost = false
	p.parts.Hub.SetHeard(clock.Now())
	// An older version sends no heartbeat header and states this only in the body.
	p.onHeartbeat(poll.Heartbeat{Epoch: resp.Lease.Epoch, StoreDown: resp.StoreDown})
	p.parts.Coordinator.election.Send(elect.RankMsg{N: resp.ClaimRank})
	// Must come before applyShared: it decides how a list with missing servers is interpreted.
	p.parts.Servers.noteStoreSeenByLeader(resp.StoreUpFor)
	p.applyShared(asked, resp, lease.Addr)
	p.parts.Servers.compareWithLeader(time.Now(), resp.ServersDigest, resp.Ages[poll.Servers])
	p.parts.Hub.SetConfirmed(asked.Add(max(resp.ConfirmedFor, resp.RulesFreshFor)))
	p.updateRulesFresh(asked, resp)
	p.parts.Servers.setVMCount(resp.VMCount + 1) // VMCount does not include the leader
	p.setPeers(resp.VMs, lease.Addr)
	p.applyLeaderState(resp)
	p.parts.Notices.applyLeader(asked, resp.Notices, req.Notices)
	p.parts.Fleet.applyLeader(asked, req, &resp, samples)
	p.parts.Quarantine.applyGrants(asked, resp.TrialGrants)
	p.parts.Servers.borrow(asked, resp.Lent)
	p.parts.Quarantine.markReported(resp.Lease.Incarnation, req.Reports)
	if !resp.StoreDown {
		p.parts.Hub.SetSynced(resp.ReceivedAt)
	}
	return true
}

// onHeartbeat handles the heartbeat of a leader whose response is arriving.
func (p *poller) onHeartbeat(b poll.Heartbeat) {
	p.parts.Coordinator.election.Send(elect.HeartbeatMsg{Epoch: b.Epoch, RenewOverdue: b.StoreDown})
}

// checkTermEnded tells the election when the holder of a lease no longer gives orders,
// because it says that it does not lead or its VM runs another process. It reports
// whether that is so.
func (p *poller) checkTermEnded(resp poll.Response, lease elect.Lease) bool {
	steppedDown := resp.Incarnation == lease.Incarnation && !resp.IsLeader && resp.Lease.Epoch >= lease.Epoch
	replaced := resp.VM == lease.Holder && resp.Incarnation != lease.Incarnation
	if !steppedDown && !replaced {
		return false
	}
	p.parts.Coordinator.election.Send(elect.TermEndedMsg{Epoch: lease.Epoch})
	return true
}

// pollPreviousLeader asks the previous leader whether its term has ended. Until that is
// known, the keys of servers that do not answer must wait for the end of the term.
func (p *poller) pollPreviousLeader(ctx context.Context) {
	lease, ok := p.parts.Coordinator.model().Previous(clock.Now())
	if !ok {
		return
	}
	if resp, err := p.client.Poll(ctx, lease.Addr, p.baseRequest(), nil); err == nil {
		p.checkTermEnded(resp, lease)
	}
}

// applyShared applies the parts of a response that any VM may send, to a request that was sent at
// a time of the boot clock.
func (p *poller) applyShared(asked time.Time, resp poll.Response, from netip.AddrPort) {
	if resp.ClusterFormed {
		p.parts.Coordinator.election.Send(elect.ClusterFormedMsg{})
	}
	if resp.Lease.Incarnation != "" {
		p.parts.Coordinator.election.Send(elect.LeaseMsg{Lease: resp.Lease})
	}
	if resp.RulesRev > 0 {
		p.parts.Fetcher.noteRevision(resp.RulesRev, from)
	}
	if resp.Evacuated != nil {
		p.parts.Servers.applyEvacuations(*resp.Evacuated, "peer", clock.Now().Sub(resp.MadeAt(asked)))
	}
	if resp.Servers != nil {
		p.parts.Servers.mergePeerList(*resp.Servers, clock.Now().Sub(resp.MadeAt(asked)))
	}
	p.parts.Servers.noteAges(resp.MadeAt(asked), resp.Ages)
}

// updateRulesFresh records how long the leader's rules count as the newest. The time is
// measured from the sending of the request, because this VM does not know when the
// response was written.
func (p *poller) updateRulesFresh(asked time.Time, resp poll.Response) {
	if p.parts.Rules.hasRevision(resp.RulesRev) {
		p.parts.State.Rules.SetFreshUntil(asked.Add(resp.RulesFreshFor))
		p.parts.Hub.SetRulesCursor(resp.RulesCursor)
	}
}

// setPeers stores the addresses of other VMs, and those through which this VM may reach
// backend servers, which include the leader.
func (p *poller) setPeers(addrs []string, leader netip.AddrPort) {
	all := p.parseAddrs(addrs)
	if len(all) > 0 {
		p.peers = all
		p.parts.Fetcher.setPeers(all)
	}
	p.setTunnelPeers(append(slices.Clone(all), leader))
}

// setTunnelPeers sets the VMs through which this VM may reach backend servers. Those known
// before stay while none is known: a new leader has not been polled yet.
func (p *poller) setTunnelPeers(all []netip.AddrPort) {
	if len(all) > 0 {
		p.parts.Tunnels.SetPeers(all)
	}
}

// parseAddrs returns the valid addresses but this VM's own.
func (p *poller) parseAddrs(addrs []string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, text := range addrs {
		if addr, err := netip.ParseAddrPort(text); err == nil && addr != p.parts.Config.Peers {
			all = append(all, addr)
		}
	}
	return all
}

// applyLeaderState applies the key owners and quarantine cases that the leader sent.
func (p *poller) applyLeaderState(resp poll.Response) {
	if resp.Lease.Incarnation != p.leaderIncarnation {
		p.leaderIncarnation, p.seqs, p.caseSeq = resp.Lease.Incarnation, map[ident.Service]uint64{}, 0
		p.parts.Notices.leaderChanged()
	}
	if resp.Cases != nil {
		p.parts.Quarantine.applyVerdicts(p.leaderIncarnation, resp.Cases.List)
		p.caseSeq = resp.Cases.Seq
	}
	for name, change := range resp.Changes {
		svc, ok := p.parts.State.Service(name)
		if !ok {
			continue
		}
		old, _ := svc.Finder().(*ranges.View)
		svc.SetFinder(old.Apply(change.Epoch, change.Seq, change.Full, change.Spans))
		p.seqs[name] = change.Seq
	}
}

// pollPeerIfBehind asks another VM for newer servers and evacuations while this VM, which leads,
// does not hear them from the store: the others ask the store themselves by then.
func (p *poller) pollPeerIfBehind(ctx context.Context) {
	if p.parts.Servers.isBehind() {
		p.pollPeer(ctx)
	}
}

// pollPeer polls another VM for the current lease, newer servers and its newest rules
// revision.
func (p *poller) pollPeer(ctx context.Context) {
	if len(p.peers) == 0 {
		return
	}
	p.next++
	addr := p.peers[p.next%len(p.peers)]
	req, asked := p.baseRequest(), clock.Now()
	if resp, err := p.client.Poll(ctx, addr, req, nil); err == nil {
		p.parts.Servers.noteStoreSeenByPeer(resp.StoreUpFor) // before applyShared, as of a leader
		p.applyShared(asked, resp, addr)
	}
}
