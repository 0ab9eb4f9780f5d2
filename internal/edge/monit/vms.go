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

// pingMsg is what monitors of entry VMs send each other: a ping or its answer.
type pingMsg struct {
	Ping bool `cbor:"1,keyasint,omitempty"`
	Pong bool `cbor:"2,keyasint,omitempty"`
}

// Heard notes that any message arrived from a peer.
func (m *Monitor) Heard(from ident.VM) {
	m.mu.Lock()
	m.lastHeard[from] = time.Now()
	m.mu.Unlock()
	m.vms.Send(detect.HeartbeatMsg[ident.VM]{ID: from})
}

// Handle takes a ping or its answer from a peer. The caller passes as sender the VM
// that the peer's certificate names.
func (m *Monitor) Handle(from ident.VM, body []byte) error {
	msg, err := decodePing(body)
	if err != nil {
		return err
	}
	if msg.Ping {
		m.cast(from, pingMsg{Pong: true})
	}
	return nil
}

// decodePing decodes a ping or an answer. It fails with kind Malformed unless the
// message is exactly one of them.
func decodePing(body []byte) (pingMsg, error) {
	var msg pingMsg
	if err := wire.Decode(body, &msg); err != nil {
		return pingMsg{}, err
	}
	if msg.Ping == msg.Pong {
		return pingMsg{}, kinds.New(kinds.Malformed, "message is not exactly one of ping and answer")
	}
	return msg, nil
}

func (m *Monitor) cast(to ident.VM, msg pingMsg) {
	b, err := wire.Encode(msg)
	if err != nil {
		m.Log.Error("cannot encode ping", "err", err)
		return
	}
	m.Peers.Cast(to, b)
}

// runVMs carries out the commands of the detector for entry VMs.
func (m *Monitor) runVMs(_ context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case detect.ProbeCmd[ident.VM]:
		m.ping(cmd.ID)
	case detect.ViewCmd[ident.VM]:
		m.changeView(func(v *ownView) { v.frozenVMs = cmd.Frozen })
	case detect.ChangeCmd[ident.VM]:
		m.Log.Info("entry VM changed state", "id", cmd.ID, "from", cmd.From, "to", cmd.To, "why", cmd.Reason)
		m.onVMChange(cmd)
	}
}

// ping sends a VM a ping. Any message from it within probeTimeout counts as an answer;
// silence is reported to the detector as evidence of a freeze.
func (m *Monitor) ping(id ident.VM) {
	asked := time.Now()
	m.cast(id, pingMsg{Ping: true})
	m.effects.Go(func(ctx context.Context) error {
		group.Sleep(ctx, probeTimeout)
		m.mu.Lock()
		quiet := m.lastHeard[id].Before(asked)
		m.mu.Unlock()
		m.vms.Send(detect.ProbeMsg[ident.VM]{ID: id, Failed: quiet, Health: server.Health{Ready: !quiet}})
		return nil
	})
}

func (m *Monitor) onVMChange(cmd detect.ChangeCmd[ident.VM]) {
	m.mu.Lock()
	if cmd.To == detect.Frozen {
		m.frozen[cmd.ID] = true
	} else {
		delete(m.frozen, cmd.ID)
	}
	m.mu.Unlock()
	m.effects.Go(func(ctx context.Context) error {
		m.applyList()
		m.repeatSuspects(ctx)
		return nil
	})
}

// repeatSuspects tells the lessors again which VMs look frozen: a suspicion expires
// after a few seconds.
func (m *Monitor) repeatSuspects(context.Context) {
	m.mu.Lock()
	var all []ident.VM
	for vm := range m.frozen {
		all = append(all, vm)
	}
	m.mu.Unlock()
	for _, vm := range all {
		m.Leases.Suspect(vm)
	}
}
