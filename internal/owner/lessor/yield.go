package lessor

import (
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Bounds and periods of asking others to yield.
const (
	maxWords  = 256 // promises and listings remembered; losing one costs a question
	askPause  = 500 * time.Millisecond
	helpPause = 100 * time.Millisecond
)

// other is a member of this seat that could act beside us (rule 6).
type other struct {
	Member
	done  bool
	at    time.Time // when we learnt that it has ended
	quiet bool      // and no lease of its orders can still run
	clean bool      // and it granted nothing to a stand-by
}

// word is what we know of a VM's end: its own promise, or the platform's list.
type word struct {
	vm    ident.VM
	below ident.Epoch
	at    time.Time
	quiet bool
	gone  bool
	clean ident.Epoch // see YieldedMsg
}

// heard remembers a word and applies it. Words can come before the take-over
// that needs them.
func (t *turn) heard(w word) {
	w.at = t.now
	if w.gone && t.isGone(w.vm) {
		return
	}
	words := slices.Clone(t.words)
	if len(words) >= maxWords {
		words = words[1:]
	}
	t.words = append(words, w)
	t.others = slices.Clone(t.others)
	for i := range t.others {
		t.others[i].apply(w)
	}
	if w.gone {
		t.want = t.want || t.plan.Lead
	}
}

func (o *other) apply(w word) {
	o.clean = o.clean || w.clean != 0 && w.clean == o.Epoch
	if o.VM != w.vm || o.Epoch >= w.below {
		return
	}
	if !o.done {
		o.done, o.at = true, w.at
	}
	o.quiet = o.quiet || w.quiet
}

func (t *turn) isGone(vm ident.VM) bool {
	return slices.ContainsFunc(t.words, func(w word) bool { return w.gone && w.vm == vm })
}

// beginOthers lists who may act beside us in the epoch that begins.
func (t *turn) beginOthers() {
	r := t.put.Record
	t.others = nil
	for _, m := range r.Past {
		t.others = append(t.others, other{Member: m})
	}
	if r.Deputy != "" {
		t.others = append(t.others, other{Member: Member{VM: r.Deputy, Epoch: r.Epoch, Deputy: true}})
	}
	for i := range t.others {
		o := &t.others[i]
		if o.VM == t.cfg.Self {
			// Our own earlier epochs: this state is their end.
			o.done, o.at, o.quiet = true, t.now, t.quiet()
		}
		for _, w := range t.words {
			o.apply(w)
		}
	}
	t.askAt, t.helpAt = t.now, t.now
}

// longEnded reports whether a member can be forgotten: it has ended, and so has
// every lease of its orders.
func (t *turn) longEnded(m Member) bool {
	for _, o := range t.others {
		if o.Member == m && o.done {
			return !t.now.Before(o.at.Add(t.cfg.Times.MaxRemaining()))
		}
	}
	for _, w := range t.words {
		if w.gone && w.vm == m.VM {
			return !t.now.Before(w.at.Add(t.cfg.Times.MaxRemaining()))
		}
	}
	return false
}

// deputyEnded reports whether our own deputy has promised to act no more.
func (t *turn) deputyEnded() bool {
	return slices.ContainsFunc(t.others, func(o other) bool { return o.Epoch == t.epoch && o.done })
}

// askOthers asks the members of earlier epochs to yield, until all have ended.
func (t *turn) askOthers() {
	if t.epoch == 0 || t.leaving || t.auth != holding && t.auth != barring {
		return
	}
	open := slices.ContainsFunc(t.others, func(o other) bool { return !o.done && o.Epoch < t.epoch })
	if !open || !t.due(t.askAt) {
		return
	}
	t.askAt = t.now.Add(askPause)
	for i, o := range t.others {
		first := slices.IndexFunc(t.others, func(p other) bool { return p.VM == o.VM }) == i
		if !o.done && o.Epoch < t.epoch && first {
			t.do(SendCmd{To: o.VM, Msg: PrepareMsg{From: t.cfg.Self, Below: t.epoch}})
		}
	}
}

// onYield answers a request to yield.
func (t *turn) onYield(m PrepareMsg) {
	if !m.Silent || m.From != t.d.holder || t.d.state == off || m.Below != t.d.epoch+1 {
		t.promise(m)
		return
	}
	// Our holder cannot reach the server. If we can, taking the seat over saves
	// the server its keys.
	if t.d.probe.IsZero() && !t.d.called {
		t.d.probe = t.now
		t.readServer()
	}
}

// promise keeps this VM from acting under any epoch below, for good.
func (t *turn) promise(m PrepareMsg) {
	if m.Silent {
		t.agree(m.Below - 1)
	}
	t.vouchBelow(m.Below)
	if t.cfg.flaw != flawYield {
		t.floor = max(t.floor, m.Below)
		t.obeyFloor()
	}
	t.do(SendCmd{To: m.From, Msg: PromiseMsg{
		From: t.cfg.Self, Below: m.Below, Quiet: t.quiet(), Clean: t.vouch,
		Agreed: m.Silent && t.agreed+1 == m.Below, Born: t.born.UnixNano(),
	}})
}

func (t *turn) obeyFloor() {
	if t.epoch != 0 && t.epoch < t.floor {
		t.step("fenced", "another VM asked to yield")
	}
	if t.d.state != off && t.d.epoch < t.floor {
		t.endDeputy()
	}
}

// quiet reports that no lease of an order of this VM can still run. What an
// earlier process of this VM sent counts from before our start.
func (t *turn) quiet() bool {
	span := t.cfg.Times.MaxRemaining()
	return !t.now.Before(t.srv.used.Expiry(t.cfg.Times)) && !t.now.Before(t.born.Add(span))
}

// onYielded takes a promise.
func (t *turn) onYielded(m PromiseMsg) {
	t.heard(word{vm: m.From, below: m.Below, quiet: m.Quiet, clean: m.Clean})
	t.onAgreed(m)
	t.onTold(m)
	if m.Leave && m.From == t.d.holder && t.d.state != off && m.Below == t.d.epoch+1 {
		t.d.called = true
		t.storeAt = t.now
	}
}
