package bench

import (
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/gate"
)

// gatePolicy runs the gate that the daemon uses, one per entry VM.
type gatePolicy struct {
	w             *world
	cores         []*gate.Core
	nextTicks     []time.Duration // when each core's next tick is scheduled, zero for none
	inFlight      map[*gate.Ticket]*gateRequest
	firstAttempts int
	extraAttempts int
	conns         connections
	leader        *leader // nil unless full servers answer nothing
}

// gateRequest is a caller's request with its current attempts.
type gateRequest struct {
	req      *request
	first    *gateAttempt
	hedge    *gateAttempt
	attempts int
}

// gateAttempt is one attempt at a server, with its ticket from the gate.
type gateAttempt struct {
	ticket  *gate.Ticket
	attempt *attempt
	server  int
	sent    time.Duration
}

func newGatePolicy(w *world, seed uint64) *gatePolicy {
	s := w.scenario.Service
	p := &gatePolicy{w: w, inFlight: map[*gate.Ticket]*gateRequest{}, conns: newConnections(s)}
	for i := range s.VMs {
		c := gate.NewCore(gate.Config{Seed: seed<<8 + uint64(i) + 1, SilentKeyed: true})
		var list []gate.ServerInfo
		for j := range s.Servers {
			list = append(list, gate.ServerInfo{
				Name: serverName(j), Slots: s.Slots, Conns: s.Conns,
				Cold: w.scenario.HalfCold && j%2 == 0,
			})
		}
		c.SetShare(w.wallTime(), s.VMs, i)
		c.SetServers(w.wallTime(), list)
		p.cores = append(p.cores, c)
		p.nextTicks = append(p.nextTicks, 0)
	}
	return p
}

func serverName(i int) ident.Server { return ident.Server(strconv.Itoa(i)) }

func serverIndex(s ident.Server) int {
	i, _ := strconv.Atoi(string(s))
	return i
}

func (p *gatePolicy) attemptCounts() (first, extra int) { return p.firstAttempts, p.extraAttempts }

func (p *gatePolicy) report(server, load int, age time.Duration) {
	for vm, c := range p.cores {
		c.Report(p.w.wallTime(), serverName(server), load, age)
		p.applyDecisions(vm)
	}
}

func (p *gatePolicy) arrive(r *request) {
	gr := &gateRequest{req: r}
	p.offer(gr, r.priorAttempts > 0, "")
	p.w.at(r.deadline, func() { p.handleDeadline(gr) })
}

func (p *gatePolicy) newJob(r *request, repeat bool) gate.Job {
	j := gate.Job{
		Caller: r.caller, Key: r.key, Size: shortBytes, Repeat: repeat,
		Deadline: clockStart.Add(r.deadline), Idempotent: p.w.scenario.Service.Idempotent,
	}
	if r.long {
		j.Size = longBytes
	}
	if r.owner >= 0 {
		j.Server = serverName(r.owner)
	}
	return j
}

// offer passes a new attempt of a request to the VM's gate and carries out its verdict.
func (p *gatePolicy) offer(gr *gateRequest, repeat bool, avoid ident.Server) {
	t := &gate.Ticket{Job: p.newJob(gr.req, repeat)}
	if gr.attempts > 0 {
		t.Job = t.Job.NextAttempt(avoid)
	}
	p.inFlight[t] = gr
	vm := gr.req.vm
	switch p.cores[vm].Offer(p.w.wallTime(), t) {
	case gate.Start:
		p.handleStart(gr, t)
	case gate.Refuse:
		p.handleRefusal(gr, t)
	default:
	}
	p.applyDecisions(vm)
}

// applyDecisions carries out the decisions that a core has ready, and schedules its next
// tick.
func (p *gatePolicy) applyDecisions(vm int) {
	c := p.cores[vm]
	for _, t := range c.TakeDecided() {
		gr := p.inFlight[t]
		if t.Server() != "" {
			p.handleStart(gr, t)
			continue
		}
		p.handleRefusal(gr, t)
	}
	next := c.Next()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(clockStart), p.w.now)
	if p.nextTicks[vm] > p.w.now && p.nextTicks[vm] <= at {
		return
	}
	p.nextTicks[vm] = at
	p.w.at(at, func() { p.tick(vm, at) })
}

func (p *gatePolicy) tick(vm int, at time.Duration) {
	if p.nextTicks[vm] != at {
		return
	}
	p.nextTicks[vm] = 0
	p.cores[vm].Tick(p.w.wallTime())
	p.applyDecisions(vm)
}

func (p *gatePolicy) handleRefusal(gr *gateRequest, t *gate.Ticket) {
	delete(p.inFlight, t)
	if gr.req.ended {
		return
	}
	if p.leader != nil {
		p.leader.noteRefused(gr.req.owner)
	}
	_, hint := t.Refusal()
	p.w.end(gr.req, Refused, hint)
}

func (p *gatePolicy) handleStart(gr *gateRequest, t *gate.Ticket) {
	a := &gateAttempt{ticket: t, server: serverIndex(t.Server()), sent: p.w.now}
	p.countAttempt(gr)
	gr.first = a
	p.send(gr, a)
	after := p.cores[gr.req.vm].HedgeAfter()
	if after == 0 || !p.w.scenario.Service.Idempotent || gr.req.owner >= 0 {
		return
	}
	p.w.after(after, func() { p.tryHedge(gr, a) })
}

func (p *gatePolicy) countAttempt(gr *gateRequest) {
	if gr.attempts == 0 {
		p.firstAttempts++
	} else {
		p.extraAttempts++
	}
	gr.attempts++
}

func (p *gatePolicy) send(gr *gateRequest, a *gateAttempt) {
	a.attempt = &attempt{req: gr.req}
	a.attempt.onAnswer = func(refused bool) { p.handleAnswer(gr, a, refused) }
	origin := p.w.origins[a.server]
	gr.req.sent++
	if p.leader != nil {
		p.leader.noteSent(a.server)
	}
	wait := hopDelay + p.conns.open(gr.req.vm, a.server, p.w.now)
	p.w.after(wait, func() { origin.arrive(a.attempt) })
}

func (p *gatePolicy) handleAnswer(gr *gateRequest, a *gateAttempt, refused bool) {
	if refused {
		p.handleServerRefusal(gr, a)
		return
	}
	if p.leader != nil {
		p.leader.noteAnswer(a)
		p.cores[gr.req.vm].Report(p.w.wallTime(), serverName(a.server), a.attempt.load, hopDelay)
	}
	p.finish(gr, a, gate.Outcome{})
	if other := gr.other(a); other != nil {
		p.cancel(gr, other, gate.Cancel())
	}
	if !gr.req.ended {
		p.w.end(gr.req, Served, 0)
	}
}

// handleServerRefusal handles a refusal by the server, which did not run the request: it
// retries elsewhere if the gate permits and no hedge is in flight.
func (p *gatePolicy) handleServerRefusal(gr *gateRequest, a *gateAttempt) {
	out := gate.Outcome{Kind: kinds.Busy, Refused: true}
	mayRetry := gr.other(a) == nil && p.cores[gr.req.vm].MayRetry(p.w.wallTime(), a.ticket, out)
	p.finish(gr, a, out)
	if gr.req.ended {
		return
	}
	if other := gr.other(a); other != nil && !other.attempt.done {
		return // the other attempt may still be answered
	}
	if !mayRetry {
		p.w.end(gr.req, Refused, kinds.Busy.Answer().Retry)
		return
	}
	gr.first, gr.hedge = nil, nil
	p.offer(gr, false, a.ticket.Server())
}

// other returns the other one of the first attempt and the hedge, or nil.
func (gr *gateRequest) other(a *gateAttempt) *gateAttempt {
	switch a {
	case gr.first:
		return gr.hedge
	default:
		return gr.first
	}
}

func (p *gatePolicy) finish(gr *gateRequest, a *gateAttempt, out gate.Outcome) {
	vm := gr.req.vm
	_, warm := p.cores[vm].Conns(p.w.wallTime(), serverName(a.server))
	p.conns.release(vm, a.server, warm, out.Kind == kinds.None)
	delete(p.inFlight, a.ticket)
	p.cores[vm].Done(p.w.wallTime(), a.ticket, out)
	p.applyDecisions(vm)
}

func (p *gatePolicy) cancel(gr *gateRequest, a *gateAttempt, out gate.Outcome) {
	if a.attempt.done {
		return
	}
	p.w.origins[a.server].cancel(a.attempt)
	p.finish(gr, a, out)
}

func (p *gatePolicy) tryHedge(gr *gateRequest, a *gateAttempt) {
	if gr.req.ended || a.attempt.done || gr.hedge != nil {
		return
	}
	t := &gate.Ticket{Job: p.newJob(gr.req, false).NextAttempt(a.ticket.Server())}
	vm := gr.req.vm
	if !p.cores[vm].Hedge(p.w.wallTime(), t) {
		return
	}
	p.inFlight[t] = gr
	gr.hedge = &gateAttempt{ticket: t, server: serverIndex(t.Server()), sent: p.w.now}
	p.countAttempt(gr)
	p.send(gr, gr.hedge)
	p.applyDecisions(vm)
}

// handleDeadline ends a request whose caller stops waiting. If an attempt was sent and
// not answered, the outcome is Unknown, because it may have run.
func (p *gatePolicy) handleDeadline(gr *gateRequest) {
	if gr.req.ended {
		return
	}
	sent := false
	for _, a := range []*gateAttempt{gr.first, gr.hedge} {
		if a != nil && !a.attempt.done {
			sent = true
			p.cancel(gr, a, gate.Outcome{Kind: kinds.Unknown})
		}
	}
	outcome := Refused
	if sent {
		outcome = Unknown
	}
	p.w.end(gr.req, outcome, 0)
}
