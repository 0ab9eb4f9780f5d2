package commit

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// A fleet of 520 VMs has one or two seats of a service on each, so there is
// little to join on one VM: measured with 130 VMs and 220 of 440 servers lost,
// the last keys waited 8.2 s although every VM joined its edits. A writer whose
// write came second therefore sends its edits to one VM, the hub, which joins
// those of all VMs. Quiet fleets never use it, and a hub that does not answer
// costs hubWait: then the next one is asked, and without any the writer goes on
// by itself.
//
// The hub has no authority. An edit that was sent to it is like a write whose
// answer is late: it can still take effect, and the rules of the edit itself
// (its holder's epoch is the bar, the server's set is the one that the holder
// saw) keep it harmless however late it comes. So nothing but "done" is believed
// of the hub's answers: a copy that the network delivered twice is refused while
// the first one took effect. All else is told to the seat as a doubt.
const (
	// hubWait is how long an edit waits for the hub. It is several calls to a
	// healthy store, and leaves the seat time within its own patience.
	hubWait = 50 * time.Millisecond
	// hubSkip is how long a hub that did not answer is left alone.
	hubSkip = 5 * time.Second
	// crowdTime is how long after a write that came second, or an edit that the
	// hub wrote, edits go to the hub: the spread of the leases that run out when
	// many servers are lost in one moment is a quarter of it.
	crowdTime = time.Second
	// maxForward is the largest number of moves that are sent to the hub; they
	// fit into a fifth of the largest message. More are written by the VM itself.
	maxForward = 4096
	// maxWait bounds the edits that wait on a hub: twice the seats of the largest
	// service.
	maxWait = 1024
)

// away is an edit that the hub has.
type away struct {
	item
	to    ident.VM
	id    uint64
	until time.Time
}

// written is an edit that the hub wrote, in a table that is not known here yet.
type written struct {
	item
	rev ident.Revision
	at  time.Time
}

// skipped is a hub that did not answer.
type skipped struct {
	vm    ident.VM
	until time.Time
}

// hub returns the VM that joins the edits of all, which may be this one, or ""
// when there is none.
func (t *turn) hub() ident.VM {
	for _, vm := range t.hubs {
		if !slices.ContainsFunc(t.skip, func(s skipped) bool { return s.vm == vm && t.now.Before(s.until) }) {
			return vm
		}
	}
	return ""
}

// forward sends this VM's own edits to the hub while others write as well.
func (t *turn) forward() {
	hub := t.hub()
	if hub == "" || hub == t.cfg.Self || !t.now.Before(t.crowd) {
		return
	}
	kept := t.wait[:0:0]
	for _, e := range t.wait {
		switch {
		case e.from != "" || len(e.cmd.Edit.Moves) > maxForward:
			kept = append(kept, e)
		case !e.cmd.Valid(t.now):
			t.answer(e, kinds.Unavailable)
		default:
			t.seq++
			t.away = append(t.away, away{e, hub, t.seq, t.now.Add(hubWait)})
			t.do(SendCmd{Guard: e.cmd.Guard, To: hub, Msg: ForwardMsg{Born: t.born, ID: t.seq, Edit: e.cmd.Edit}})
		}
	}
	t.wait = kept
}

// onForward takes an edit of another VM. It is given back after as long as one
// of our own, by this VM's clock.
func (t *turn) onForward(m ForwardMsg) {
	e := item{at: t.now, from: m.From, born: m.Born, id: m.ID}
	e.cmd = lessor.PutTableCmd{Guard: lessor.Guard{Until: t.now.Add(2 * t.cfg.StoreTimeout)}, Edit: m.Edit}
	if len(t.wait) >= maxWait {
		t.answer(e, kinds.Conflict)
		return
	}
	t.queue(e)
}

// onForwarded takes the hub's answer.
func (t *turn) onForwarded(m ForwardedMsg) {
	i := slices.IndexFunc(t.away, func(a away) bool { return a.id == m.ID && a.to == m.From })
	if i < 0 || m.Born != t.born {
		return
	}
	a := t.away[i]
	t.away = slices.Delete(slices.Clone(t.away), i, i+1)
	if !m.Done {
		t.answer(a.item, kinds.Ambiguous)
		return
	}
	t.crowd = t.now.Add(crowdTime)
	t.done = append(t.done, written{a.item, m.Rev, t.now})
}

// giveUp ends the wait for a hub that does not answer.
func (t *turn) giveUp() {
	kept := t.away[:0:0]
	for _, a := range t.away {
		if t.now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		t.leaveAlone(a.to)
		t.answer(a.item, kinds.Ambiguous)
	}
	t.away = kept
}

// leaveAlone asks other hubs for a while.
func (t *turn) leaveAlone(vm ident.VM) {
	kept := t.skip[:0:0]
	for _, s := range t.skip {
		if s.vm != vm && t.now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	t.skip = append(kept, skipped{vm, t.now.Add(hubSkip)})
}

// settle tells the seats whose edit the hub wrote, once a table is known that
// contains it.
func (t *turn) settle() {
	kept := t.done[:0:0]
	for _, d := range t.done {
		switch {
		case t.tab.Rev >= d.rev:
			t.succeed(d.item, d.rev, t.tab, t.ver)
		case t.now.Sub(d.at) > t.cfg.StoreTimeout:
			t.answer(d.item, kinds.Ambiguous) // the seat reads it for itself
		default:
			kept = append(kept, d)
		}
	}
	t.done = kept
}
