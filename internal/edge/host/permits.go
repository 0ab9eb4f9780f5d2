package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
	"hawthornfield.org/hawthornfield/internal/load/quota"
)

// noLeaderRetry is when a gate may ask again after no leader has answered.
const noLeaderRetry = time.Second

// permits asks the leader for the permits that the gates want, and grants them while this VM
// leads.
type permits struct {
	group   group.Group
	cfg     Config
	hub     *poll.Hub
	coord   *coordinator
	state   *state.State
	notices *notices
	client  *poll.Client
	log     *slog.Logger

	wanted     chan struct{} // receives when a gate wants permits
	unanswered bool          // the last question got no answer

	mu        sync.Mutex
	dispenser quota.Dispenser
	epoch     uint64 // of the term to which the dispenser belongs
}

func newPermits(lc fx.Lifecycle, cfg Config, hub *poll.Hub, coord *coordinator, st *state.State, n *notices, log *slog.Logger) *permits {
	p := &permits{cfg: cfg, hub: hub, coord: coord, state: st, notices: n, client: poll.NewClient(), log: log, wanted: make(chan struct{}, 1)}
	runWhileStarted(lc, &p.group, p.run)
	return p
}

// wake is called when a gate wants permits. It does not block.
func (p *permits) wake() {
	select {
	case p.wanted <- struct{}{}:
	default:
	}
}

// run asks for permits whenever a gate wants some, one question at a time.
func (p *permits) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wanted:
			p.askAll(ctx)
		}
	}
}

// gateAsk is what one gate asks for.
type gateAsk struct {
	gate *gate.Gate
	ask  gate.PermitAsk
}

// askAll asks for what all gates want and passes on the answers.
func (p *permits) askAll(ctx context.Context) {
	var all []gateAsk
	req := &poll.PermitRequest{VM: p.cfg.VM}
	for _, svc := range p.state.Services() {
		for _, ask := range svc.Gate.TakePermitAsks() {
			process := svc.Process(ask.Server)
			all = append(all, gateAsk{svc.Gate, ask})
			req.Asks = append(req.Asks, poll.PermitAsk{Server: ask.Server, Incarnation: process.Incarnation, N: ask.N})
			if r, ok := p.notices.reportOf(process); ok {
				req.Notices = append(req.Notices, r)
			}
		}
	}
	if len(all) == 0 {
		return
	}
	asked := clock.Now()
	resp, err := p.ask(ctx, req)
	p.logUnanswered(err)
	now := clock.Now()
	until := time.Now().Add(asked.Add(quota.PermitTime).Sub(now))
	for i, a := range all {
		answer := gate.PermitAnswer{PermitAsk: a.ask, Until: until, Next: noLeaderRetry}
		if err == nil {
			answer.Granted, answer.Next = min(resp.Grants[i].N, a.ask.N), resp.Grants[i].Next
		}
		a.gate.Permit(answer)
	}
}

// errTermOver means that this VM was the last leader and may grant nothing any more.
var errTermOver = kinds.New(kinds.Unavailable, "this VM's term as leader is over")

// ask asks the leader, which may be this VM.
func (p *permits) ask(ctx context.Context, req *poll.PermitRequest) (poll.PermitResponse, error) {
	lease, leads := p.hub.Lease()
	if !leads {
		return p.client.AskPermits(ctx, lease.Addr, req)
	}
	resp := p.take(req)
	if !resp.IsLeader {
		return resp, errTermOver
	}
	return resp, nil
}

// logUnanswered logs when questions for permits begin or cease to be unanswered.
func (p *permits) logUnanswered(err error) {
	if unanswered := err != nil; unanswered != p.unanswered {
		p.unanswered = unanswered
		p.log.Info("permits for servers with limits", "answered", !unanswered, "err", err)
	}
}

// take grants permits to a VM if this one leads.
func (p *permits) take(req *poll.PermitRequest) poll.PermitResponse {
	now := clock.Now()
	epoch, oldEnd, leads := p.coord.term(now)
	if !leads {
		return poll.PermitResponse{}
	}
	p.notices.merge(req.Notices)
	resp := poll.PermitResponse{IsLeader: true, Grants: make([]poll.PermitGrant, len(req.Asks))}
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch != p.epoch {
		p.epoch = epoch
		p.dispenser.BeginTerm(oldEnd)
	}
	for i, a := range req.Asks {
		process := ident.Process{Server: a.Server, Incarnation: a.Incarnation}
		said := p.notices.of(process)
		if !said.Limited {
			resp.Grants[i] = poll.PermitGrant{N: a.N} // the limit has ended, and the VM has not heard of it yet
			continue
		}
		n, next := p.dispenser.Take(now, process, said.Rate, a.N)
		resp.Grants[i] = poll.PermitGrant{N: n, Next: next}
	}
	return resp
}
