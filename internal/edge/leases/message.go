package leases

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// message is what entry VMs send each other about lessors: the lessor's address and
// exactly one content field.
type message struct {
	Svc       ident.Service      `cbor:"svc,omitempty"`
	Srv       ident.Server       `cbor:"srv,omitempty"`
	Hash      uint64             `cbor:"1,keyasint,omitempty"` // in place of Svc and Srv; see lessorIndex
	Heartbeat *heartbeatWire     `cbor:"2,keyasint,omitempty"`
	Clock     *clockWire         `cbor:"3,keyasint,omitempty"`
	Prepare   *lessor.PrepareMsg `cbor:"yield,omitempty"`
	Promise   *lessor.PromiseMsg `cbor:"did,omitempty"`
	// Forward and Forwarded are sent between the writers of a service's table;
	// they name no lessor.
	Forward   *commit.ForwardMsg   `cbor:"edit,omitempty"`
	Forwarded *commit.ForwardedMsg `cbor:"wrote,omitempty"`
	// Batch, in place of all other fields, holds encoded messages that share a
	// packet.
	Batch [][]byte `cbor:"all,omitempty"`
}

// send sends a lessor's message. Heartbeats, and the clock requests that answer
// them, are useless when late, so they go as datagrams and never queue behind other
// messages.
func (mgr *Manager) send(id lessorID, cmd lessor.SendCmd) {
	var out message
	mgr.setAddress(&out, id)
	datagram := false
	switch m := cmd.Msg.(type) {
	case lessor.HeartbeatMsg:
		out.Heartbeat, datagram = heartbeatToWire(m), true
	case lessor.ClockMsg:
		out.Clock, datagram = &clockWire{Epoch: m.Epoch, At: m.At.Milliseconds(), Incarnation: m.Incarnation}, true
	case lessor.PrepareMsg:
		out.Prepare = &m
	case lessor.PromiseMsg:
		out.Promise = &m
	}
	b, err := wire.Encode(out)
	if err != nil {
		mgr.Log.Error("cannot encode lessor message", "err", err)
		return
	}
	if datagram {
		mgr.castBatched(cmd.To, b)
		return
	}
	mgr.Peers.Send(cmd.To, b)
}

// Handle takes a message from another entry VM. The caller passes as sender the VM
// that the peer's certificate names. Kind Malformed means that the message could
// not be understood and changed nothing.
func (mgr *Manager) Handle(from ident.VM, body []byte) error {
	var m message
	if err := wire.Decode(body, &m); err != nil {
		return err
	}
	if len(m.Batch) > 0 {
		return mgr.handleBatch(from, m.Batch)
	}
	return mgr.deliver(from, &m)
}

// handleBatch handles messages that shared a packet. A malformed message does not
// prevent the others from being handled; the first error is returned.
func (mgr *Manager) handleBatch(from ident.VM, all [][]byte) error {
	var first error
	for _, b := range all {
		var m message
		err := wire.Decode(b, &m)
		if err == nil {
			err = mgr.deliver(from, &m)
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// deliver passes a message to its lessor or to the writer of its service's table.
func (mgr *Manager) deliver(from ident.VM, m *message) error {
	msg, n := m.unpack(from)
	if n != 1 || len(m.Batch) > 0 {
		return kinds.New(kinds.Malformed, "not exactly one lessor message")
	}
	if m.Forward != nil || m.Forwarded != nil {
		return mgr.deliverToWriter(m.Svc, msg)
	}
	h, ok := mgr.lessorOf(m)
	if !ok {
		return kinds.New(kinds.NotFound, "no such lessor on this VM")
	}
	h.loop.Send(msg)
	return nil
}

// unpack returns the content, with its true sender filled in, and how many content
// fields were set.
func (m *message) unpack(from ident.VM) (msg loop.Msg, n int) {
	if m.Heartbeat != nil {
		msg, n = m.Heartbeat.msg(from), n+1
	}
	if m.Clock != nil {
		msg, n = m.Clock.msg(from), n+1
	}
	if m.Prepare != nil {
		m.Prepare.From = from
		msg, n = *m.Prepare, n+1
	}
	if m.Promise != nil {
		m.Promise.From = from
		msg, n = *m.Promise, n+1
	}
	if m.Forward != nil {
		m.Forward.From = from
		msg, n = *m.Forward, n+1
	}
	if m.Forwarded != nil {
		m.Forwarded.From = from
		msg, n = *m.Forwarded, n+1
	}
	return msg, n
}
