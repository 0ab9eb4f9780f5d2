package bench

import (
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/gate"
)

// ours runs the gates that the daemon uses, one for each entry VM.
type ours struct {
	w     *world
	cores []*gate.Core
	ticks []time.Duration // when each core's tick is scheduled
	live  map[*gate.Ticket]*flight
	first int
	more  int
	links links
}

// flight is one request of a caller inside the policy, with its attempts.
type flight struct {
	req   *request
	first *leg
	hedge *leg
	tries int
}

// leg is one attempt with its place.
type leg struct {
	ticket  *gate.Ticket
	attempt *attempt
	server  int
	sent    time.Duration
}

func newOurs(w *world, seed uint64) *ours {
	s := w.scene.Service
	o := &ours{w: w, live: map[*gate.Ticket]*flight{}, links: newLinks(s)}
	for i := range s.VMs {
		c := gate.NewCore(gate.Config{Seed: seed<<8 + uint64(i) + 1})
		var list []gate.ServerInfo
		for j := range s.Servers {
			list = append(list, gate.ServerInfo{
				Name: serverName(j), Slots: s.Slots, Conns: s.Conns,
				Cold: w.scene.Cold && j%2 == 0,
			})
		}
		c.SetShare(w.time(), s.VMs, i)
		c.SetServers(w.time(), list)
		o.cores = append(o.cores, c)
		o.ticks = append(o.ticks, 0)
	}
	return o
}

func serverName(i int) ident.Server { return ident.Server(strconv.Itoa(i)) }

func serverIndex(s ident.Server) int {
	i, _ := strconv.Atoi(string(s))
	return i
}

func (o *ours) extra() (first, more int) { return o.first, o.more }

func (o *ours) report(server, load int, age time.Duration) {
	for vm, c := range o.cores {
		c.Report(o.w.time(), serverName(server), load, age)
		o.settle(vm)
	}
}

func (o *ours) arrive(r *request) {
	f := &flight{req: r}
	o.offer(f, r.asks > 0, "")
	o.w.at(r.by, func() { o.deadline(f) })
}

func (o *ours) job(r *request, repeat bool) gate.Job {
	j := gate.Job{
		Caller: r.caller, Key: r.key, Size: shortBytes, Repeat: repeat,
		Deadline: epoch.Add(r.by), Idempotent: o.w.scene.Service.Idempotent,
	}
	if r.long {
		j.Size = longBytes
	}
	if r.owner >= 0 {
		j.Server = serverName(r.owner)
	}
	return j
}

func (o *ours) offer(f *flight, repeat bool, avoid ident.Server) {
	t := &gate.Ticket{Job: o.job(f.req, repeat)}
	if f.tries > 0 {
		t.Job = t.Job.NextAttempt(avoid)
	}
	o.live[t] = f
	vm := f.req.vm
	switch o.cores[vm].Offer(o.w.time(), t) {
	case gate.Start:
		o.started(f, t)
	case gate.Refuse:
		o.refused(f, t)
	default:
	}
	o.settle(vm)
}

// settle carries out what a core has decided, and schedules its next tick.
func (o *ours) settle(vm int) {
	c := o.cores[vm]
	for _, t := range c.TakeDecided() {
		f := o.live[t]
		if t.Server() != "" {
			o.started(f, t)
			continue
		}
		o.refused(f, t)
	}
	next := c.Next()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(epoch), o.w.now)
	if o.ticks[vm] > o.w.now && o.ticks[vm] <= at {
		return
	}
	o.ticks[vm] = at
	o.w.at(at, func() { o.tick(vm, at) })
}

func (o *ours) tick(vm int, at time.Duration) {
	if o.ticks[vm] != at {
		return
	}
	o.ticks[vm] = 0
	o.cores[vm].Tick(o.w.time())
	o.settle(vm)
}

func (o *ours) refused(f *flight, t *gate.Ticket) {
	delete(o.live, t)
	if f.req.ended {
		return
	}
	_, hint := t.Refusal()
	o.w.end(f.req, Refused, hint)
}

func (o *ours) started(f *flight, t *gate.Ticket) {
	l := &leg{ticket: t, server: serverIndex(t.Server()), sent: o.w.now}
	o.count(f)
	f.first = l
	o.send(f, l)
	after := o.cores[f.req.vm].HedgeAfter()
	if after == 0 || !o.w.scene.Service.Idempotent || f.req.owner >= 0 {
		return
	}
	o.w.after(after, func() { o.tryHedge(f, l) })
}

func (o *ours) count(f *flight) {
	if f.tries == 0 {
		o.first++
	} else {
		o.more++
	}
	f.tries++
}

func (o *ours) send(f *flight, l *leg) {
	l.attempt = &attempt{req: f.req}
	l.attempt.left = func(refused bool) { o.answered(f, l, refused) }
	origin := o.w.origins[l.server]
	wait := hop + o.links.open(f.req.vm, l.server, o.w.now)
	o.w.after(wait, func() { origin.arrive(l.attempt) })
}

func (o *ours) answered(f *flight, l *leg, refused bool) {
	if refused {
		o.shed(f, l)
		return
	}
	o.finish(f, l, gate.Outcome{})
	if other := f.other(l); other != nil {
		o.cancel(f, other, gate.Cancel())
	}
	if !f.req.ended {
		o.w.end(f.req, Served, 0)
	}
}

// shed is a refusal by the server: nothing ran there.
func (o *ours) shed(f *flight, l *leg) {
	out := gate.Outcome{Kind: kinds.Busy, Refused: true}
	may := f.other(l) == nil && o.cores[f.req.vm].MayRetry(o.w.time(), l.ticket, out)
	o.finish(f, l, out)
	if f.req.ended {
		return
	}
	if other := f.other(l); other != nil && !other.attempt.over {
		return // the hedge may still be answered
	}
	if !may {
		o.w.end(f.req, Refused, kinds.Busy.Answer().Retry)
		return
	}
	f.first, f.hedge = nil, nil
	o.offer(f, false, l.ticket.Server())
}

func (f *flight) other(l *leg) *leg {
	switch l {
	case f.first:
		return f.hedge
	default:
		return f.first
	}
}

func (o *ours) finish(f *flight, l *leg, out gate.Outcome) {
	vm := f.req.vm
	_, warm := o.cores[vm].Conns(o.w.time(), serverName(l.server))
	o.links.free(vm, l.server, warm, out.Kind == kinds.None)
	delete(o.live, l.ticket)
	o.cores[vm].Done(o.w.time(), l.ticket, out)
	o.settle(vm)
}

func (o *ours) cancel(f *flight, l *leg, out gate.Outcome) {
	if l.attempt.over {
		return
	}
	o.w.origins[l.server].cancel(l.attempt)
	o.finish(f, l, out)
}

func (o *ours) tryHedge(f *flight, l *leg) {
	if f.req.ended || l.attempt.over || f.hedge != nil {
		return
	}
	t := &gate.Ticket{Job: o.job(f.req, false).NextAttempt(l.ticket.Server())}
	vm := f.req.vm
	if !o.cores[vm].Hedge(o.w.time(), t) {
		return
	}
	o.live[t] = f
	f.hedge = &leg{ticket: t, server: serverIndex(t.Server()), sent: o.w.now}
	o.count(f)
	o.send(f, f.hedge)
	o.settle(vm)
}

// deadline is when the caller stops waiting: what was sent may have run.
func (o *ours) deadline(f *flight) {
	if f.req.ended {
		return
	}
	sent := false
	for _, l := range []*leg{f.first, f.hedge} {
		if l != nil && !l.attempt.over {
			sent = true
			o.cancel(f, l, gate.Outcome{Kind: kinds.Unknown})
		}
	}
	how := Refused
	if sent {
		how = Unknown
	}
	o.w.end(f.req, how, 0)
}
