package monit

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/node/detect"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// note is what wardens send each other: a ping or its answer.
type note struct {
	Ping bool `cbor:"1,keyasint,omitempty"`
	Pong bool `cbor:"2,keyasint,omitempty"`
}

// Heard notes that a peer was heard, by whatever it sent.
func (w *Monitor) Heard(from ident.VM) {
	w.mu.Lock()
	w.heard[from] = time.Now()
	w.mu.Unlock()
	w.vms.Send(detect.HeartbeatMsg[ident.VM]{ID: from})
}

// Handle takes a note of a peer, whom its certificate names.
func (w *Monitor) Handle(from ident.VM, body []byte) error {
	n, err := open(body)
	if err != nil {
		return err
	}
	if n.Ping {
		w.cast(from, note{Pong: true})
	}
	return nil
}

// open decodes a note. It fails with kind Malformed unless the note is either a
// ping or an answer.
func open(body []byte) (note, error) {
	var n note
	if err := wire.Decode(body, &n); err != nil {
		return note{}, err
	}
	if n.Ping == n.Pong {
		return note{}, kinds.New(kinds.Malformed, "a note without sense")
	}
	return n, nil
}

func (w *Monitor) cast(to ident.VM, n note) {
	b, err := wire.Encode(n)
	if err != nil {
		w.Log.Error("note to a peer", "err", err)
		return
	}
	w.Peers.Cast(to, b)
}

// runVMs carries out what the roster of entry VMs asks for.
func (w *Monitor) runVMs(_ context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case detect.ProbeCmd[ident.VM]:
		w.ping(cmd.ID)
	case detect.ViewCmd[ident.VM]:
		w.say(func(s *holds) { s.vms = cmd.Frozen })
	case detect.ChangeCmd[ident.VM]:
		w.Log.Info("entry VM", "id", cmd.ID, "from", cmd.From, "to", cmd.To, "why", cmd.Reason)
		w.vmChanged(cmd)
	}
}

// ping asks a VM for a sign of life. An answer, like anything else that is heard
// from it meanwhile, is one; silence is a witness of a freeze.
func (w *Monitor) ping(id ident.VM) {
	asked := time.Now()
	w.cast(id, note{Ping: true})
	w.effect.Go(func(ctx context.Context) error {
		group.Sleep(ctx, probeWait)
		w.mu.Lock()
		quiet := w.heard[id].Before(asked)
		w.mu.Unlock()
		w.vms.Send(detect.ProbeMsg[ident.VM]{ID: id, Failed: quiet, Health: server.Health{Ready: !quiet}})
		return nil
	})
}

func (w *Monitor) vmChanged(cmd detect.ChangeCmd[ident.VM]) {
	w.mu.Lock()
	if cmd.To == detect.Frozen {
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
func (w *Monitor) tellSuspects(context.Context) {
	w.mu.Lock()
	var all []ident.VM
	for vm := range w.frozen {
		all = append(all, vm)
	}
	w.mu.Unlock()
	for _, vm := range all {
		w.Leases.Suspect(vm)
	}
}
