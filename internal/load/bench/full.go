package bench

import (
	"math"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// This file measures services whose full servers answer nothing: a request that finds no
// place hangs until its caller gives up. The gates learn what all VMs know from lists that a
// fake leader sends.

// Full describes how full servers and the fleet's lists behave.
type Full struct {
	Places     int           // requests that a server holds, running and waiting; a further one hangs
	Speeds     []float64     // relative speeds of the servers, in turn
	HalfAtOne  bool          // half of the requests come to the first VM
	Limited    bool          // the gates know that full servers are silent
	ListAge    time.Duration // from the making of a list until it reaches the gates; zero means listDelay
	NoLists    Span          // there is no leader
	QuarterOut time.Duration // every fourth VM is lost then; zero if none is
}

// Span is a time span.
type Span struct{ From, To time.Duration }

func (s Span) has(at time.Duration) bool { return at >= s.From && at < s.To }

const (
	listInterval = 500 * time.Millisecond
	listDelay    = 100 * time.Millisecond
	// rateDecay is the part of a rate that is left after a list interval: a half-life of 1 s.
	rateDecay = math.Sqrt2 / 2
	// lossNotice is the time until the other VMs know that a VM is lost.
	lossNotice = time.Second
	// inTarget is the latency objective of most requests of such services.
	inTarget = 800 * time.Millisecond
)

// FullResult holds the figures of one window.
type FullResult struct {
	Asked, Sent, Hung, Served, InTarget, Refused int
}

// HungShare returns the hung requests as a share of those that were sent.
func (r FullResult) HungShare() float64 { return float64(r.Hung) / float64(max(r.Sent, 1)) }

// view is what the fake leader knows of one server.
type view struct {
	load             int
	at               time.Duration // of load; zero if there was no report
	served           time.Duration // when the newest answered request was sent
	sent, offered    float64       // since the last list
	sentRate, asking float64
	work             float64
}

// leader is a fake leader, which is told of every event at once.
type leader struct {
	w     *world
	p     *gatePolicy
	views []view
	known bool // a list was made
}

func newLeader(w *world, p *gatePolicy) *leader {
	return &leader{w: w, p: p, views: make([]view, w.scenario.Service.Servers)}
}

// noteSent counts an attempt.
func (l *leader) noteSent(server int) {
	l.views[server].sent++
	l.views[server].offered++
}

// noteRefused counts a request that the gates refused; without an owner at all servers.
func (l *leader) noteRefused(owner int) {
	if owner >= 0 {
		l.views[owner].offered++
		return
	}
	for i := range l.views {
		l.views[i].offered += l.w.origins[i].speed / float64(len(l.views))
	}
}

// noteAnswer takes down the report of an answer.
func (l *leader) noteAnswer(a *gateAttempt) {
	v := &l.views[a.server]
	if at := l.w.now - hopDelay; at >= v.at {
		v.load, v.at = a.attempt.load, at
	}
	v.served = max(v.served, a.sent)
	work := a.attempt.req.work.Seconds() / l.w.origins[a.server].speed
	if v.work == 0 {
		v.work = work
	}
	v.work += (work - v.work) / 20
}

// makeList sends all gates a list and prepares the next one.
func (l *leader) makeList() {
	f := l.w.scenario.Full
	at := l.w.wallTime()
	list := make([]fleet.Entry, 0, len(l.views))
	for i := range l.views {
		v := &l.views[i]
		v.sentRate, v.asking = l.rate(v.sentRate, v.sent), l.rate(v.asking, v.offered)
		v.sent, v.offered = 0, 0
		e := fleet.Entry{Server: serverName(i), Load: v.load, Sent: v.sentRate, Offered: v.asking, Work: seconds(v.work)}
		if v.at > 0 {
			e.LoadAge, e.ServedAge = l.w.now-v.at, l.w.now-v.served
		}
		list = append(list, e)
	}
	l.known = true
	if !f.NoLists.has(l.w.now) {
		delay := max(f.ListAge, listDelay)
		l.w.after(delay, func() { l.deliver(at, list) })
	}
	if l.w.now < l.w.scenario.End {
		l.w.after(listInterval, l.makeList)
	}
}

func (l *leader) rate(old, n float64) float64 {
	now := n / listInterval.Seconds()
	if !l.known {
		return now
	}
	return old*rateDecay + now*(1-rateDecay)
}

func (l *leader) deliver(at time.Time, list []fleet.Entry) {
	for vm, c := range l.p.cores {
		c.ApplyFleet(l.w.wallTime(), at, list, l.w.scenario.Full.Places)
		l.p.applyDecisions(vm)
	}
}

// loseQuarter takes every fourth VM out; the others learn of it later.
func (l *leader) loseQuarter() {
	vms := l.w.scenario.Service.VMs
	left := 0
	for vm := range vms {
		if !l.w.out(vm) {
			left++
		}
	}
	l.w.after(lossNotice, func() {
		index := 0
		for vm, c := range l.p.cores {
			if l.w.out(vm) {
				continue
			}
			c.SetShare(l.w.wallTime(), left, index)
			l.p.applyDecisions(vm)
			index++
		}
	})
}

// out reports whether a VM is lost.
func (w *world) out(vm int) bool {
	at := w.scenario.Full.QuarterOut
	return at > 0 && w.now >= at && vm%4 == 3
}

// entryVM returns the VM to which a request comes that drew a VM evenly.
func (w *world) entryVM(vm int) int {
	if w.scenario.Full.HalfAtOne && w.arrivalRand.IntN(2) == 0 {
		vm = 0
	}
	for w.out(vm) {
		vm = w.arrivalRand.IntN(w.scenario.Service.VMs)
	}
	return vm
}

// RunFull simulates a scenario with Full servers and returns the figures of each window.
func RunFull(sc Scenario, seed uint64) []FullResult {
	w := newWorld(sc, seed)
	p := newGatePolicy(w, seed)
	w.policy = p
	p.leader = newLeader(w, p)
	w.full = make([]FullResult, len(sc.WindowEnds)+1)
	for _, c := range p.cores {
		c.SetSilent(w.wallTime(), sc.Full.Limited)
	}
	w.after(listInterval, p.leader.makeList)
	if sc.Full.QuarterOut > 0 {
		w.at(sc.Full.QuarterOut, p.leader.loseQuarter)
	}
	w.start()
	w.run(sc.End)
	w.drain()
	return w.full
}

// fullWindow returns the figures that a request counts in.
func (w *world) fullWindow(r *request) *FullResult {
	for i, end := range w.scenario.WindowEnds {
		if r.askedAt < end {
			return &w.full[i]
		}
	}
	return &w.full[len(w.full)-1]
}

func (w *world) recordFull(r *request, outcome Outcome) {
	if w.full == nil {
		return
	}
	f := w.fullWindow(r)
	f.Asked++
	f.Sent += r.sent
	f.Hung += r.hung
	switch outcome {
	case Served:
		f.Served++
		if w.now-r.askedAt <= inTarget {
			f.InTarget++
		}
	case Refused:
		f.Refused++
	default:
	}
}
