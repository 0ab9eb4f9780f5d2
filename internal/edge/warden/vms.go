package warden

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/node/roster"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// maxPings bounds how many VMs are pinged in a round. In a larger fleet the
// others are judged by what they send by themselves, and take their turn.
const maxPings = 32

// note is what wardens send each other: a ping or its answer, and whom the
// sender holds to look frozen.
type note struct {
	Ping bool  `cbor:"ping,omitempty"`
	Pong bool  `cbor:"pong,omitempty"`
	View *view `cbor:"view,omitempty"`
}

// view is whom the sender holds to look frozen, and which of the servers that it
// probes for others gave another word than "ready".
type view struct {
	VMs  []ident.VM     `cbor:"vms,omitempty"`
	Srvs []ident.Server `cbor:"srvs,omitempty"`
	Odd  []ident.Server `cbor:"odd,omitempty"`
	Of   string         `cbor:"of"` // which of the two the view is about
}

// The subjects of a view.
const (
	ofVMs  = "vms"
	ofSrvs = "srvs"
	ofBoth = "both"
)

// Heard notes that a peer was heard, by whatever it sent.
func (w *Warden) Heard(from ident.VM) {
	w.mu.Lock()
	w.heard[from] = time.Now()
	w.mu.Unlock()
	w.vms.Send(roster.BeatMsg[ident.VM]{ID: from})
}

// Handle takes a note of a peer, whom its certificate names.
func (w *Warden) Handle(from ident.VM, body []byte) error {
	n, err := open(body)
	switch {
	case err != nil:
		return err
	case n.Ping:
		w.cast(from, note{Pong: true})
	case n.View != nil:
		w.seen(from, n.View)
	}
	return nil
}

// open decodes a note. It fails with kind Malformed unless the note has exactly
// one part, and a view is about one of the two subjects.
func open(body []byte) (note, error) {
	var n note
	if err := wire.Decode(body, &n); err != nil {
		return note{}, err
	}
	parts := 0
	for _, has := range []bool{n.Ping, n.Pong, n.View != nil && n.View.known()} {
		if has {
			parts++
		}
	}
	if parts != 1 {
		return note{}, kinds.New(kinds.Malformed, "a note without sense")
	}
	return n, nil
}

func (v *view) known() bool { return v.Of == ofVMs || v.Of == ofSrvs || v.Of == ofBoth }

// seen passes a peer's view on to the rosters that it is about.
func (w *Warden) seen(from ident.VM, v *view) {
	if v.Of != ofSrvs {
		w.vms.Send(roster.ViewMsg[ident.VM]{From: from, Bad: v.VMs})
	}
	if v.Of != ofVMs {
		w.servers.Send(roster.ViewMsg[ident.Server]{From: from, Bad: v.Srvs, Odd: v.Odd})
	}
}

func (w *Warden) cast(to ident.VM, n note) {
	b, err := wire.Encode(n)
	if err != nil {
		w.Log.Error("note to a peer", "err", err)
		return
	}
	w.Peers.Cast(to, b)
}

// tellAll sends a note to the live VMs, at most maxPings of them, in turn.
func (w *Warden) tellAll(n note) {
	list := w.listed()
	w.mu.Lock()
	first := w.pings
	w.pings += maxPings
	w.mu.Unlock()
	for i := range min(len(list), maxPings) {
		vm := list[(first+i)%len(list)]
		if vm.ID != w.VM && vm.State == vmlist.Live {
			w.cast(vm.ID, n)
		}
	}
}

// runVMs carries out what the roster of entry VMs asks for.
func (w *Warden) runVMs(_ context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case roster.ProbeCmd[ident.VM]:
		w.ping(cmd.ID)
	case roster.ViewCmd[ident.VM]:
		w.mu.Lock()
		w.bad = cmd.Bad // goes with the next view of servers
		w.mu.Unlock()
	case roster.ChangeCmd[ident.VM]:
		w.Log.Info("entry VM", "id", cmd.ID, "from", cmd.From, "to", cmd.To, "why", cmd.Why)
		w.vmChanged(cmd)
	}
}

// ping reports what became of the last ping and sends the next. An answer, like
// anything else that was heard since, is a proof of life; silence is a witness
// of a freeze.
func (w *Warden) ping(id ident.VM) {
	w.mu.Lock()
	at, ever := w.heard[id]
	w.mu.Unlock()
	quiet := !ever || time.Since(at) > roster.DefaultConfig.Probe
	msg := roster.ProbeMsg[ident.VM]{ID: id, Failed: quiet, Health: server.Health{Ready: !quiet}}
	// The roster's loop runs this line; its inbox may be full.
	w.effect.Go(func(context.Context) error {
		w.vms.Send(msg)
		return nil
	})
	w.cast(id, note{Ping: true})
}

func (w *Warden) vmChanged(cmd roster.ChangeCmd[ident.VM]) {
	w.mu.Lock()
	if cmd.To == roster.Frozen {
		w.frozen[cmd.ID] = true
	} else {
		delete(w.frozen, cmd.ID)
	}
	w.mu.Unlock()
	w.effect.Go(func(ctx context.Context) error {
		w.changed()
		w.tellSuspects(ctx)
		return nil
	})
}

// tellSuspects reminds the seats of the VMs that look frozen: a suspicion
// counts for a few seconds only.
func (w *Warden) tellSuspects(context.Context) {
	w.mu.Lock()
	var all []ident.VM
	for vm := range w.frozen {
		all = append(all, vm)
	}
	w.mu.Unlock()
	for _, vm := range all {
		w.Keeper.Suspect(vm)
	}
}
