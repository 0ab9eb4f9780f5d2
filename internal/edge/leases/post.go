package leases

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// letter is a seat message on its way between entry VMs: the seat, and exactly
// one message.
type letter struct {
	Svc     ident.Service      `cbor:"svc,omitempty"`
	Srv     ident.Server       `cbor:"srv,omitempty"`
	Seat    uint64             `cbor:"1,keyasint,omitempty"` // in place of both; see desks
	Beat    *beatForm          `cbor:"2,keyasint,omitempty"`
	Ask     *askForm           `cbor:"3,keyasint,omitempty"`
	Yield   *lessor.PrepareMsg `cbor:"yield,omitempty"`
	Yielded *lessor.PromiseMsg `cbor:"did,omitempty"`
	// Edit and Did are between the writers of a service's table; they name no
	// seat.
	Edit *commit.ForwardMsg   `cbor:"edit,omitempty"`
	Did  *commit.ForwardedMsg `cbor:"wrote,omitempty"`
	// All, in place of everything else, are whole letters that share a packet.
	All [][]byte `cbor:"all,omitempty"`
}

// post sends a seat's message. Beats and the questions that answer them are
// stale when they are late, so they do not queue behind anything.
func (k *Manager) post(name seatName, cmd lessor.SendCmd) {
	var l letter
	k.name(&l, name)
	cast := false
	switch m := cmd.Msg.(type) {
	case lessor.HeartbeatMsg:
		l.Beat, cast = formOf(m), true
	case lessor.ClockMsg:
		l.Ask, cast = &askForm{Epoch: m.Epoch, At: m.At.Milliseconds(), Born: m.Incarnation}, true
	case lessor.PrepareMsg:
		l.Yield = &m
	case lessor.PromiseMsg:
		l.Yielded = &m
	}
	b, err := wire.Encode(l)
	if err != nil {
		k.Log.Error("seat message", "err", err)
		return
	}
	if cast {
		k.share(cmd.To, b)
		return
	}
	k.Peers.Send(cmd.To, b)
}

// Handle takes a message from another entry VM. The sender is whom the peer's
// certificate names. Kind Malformed means that the message made no sense; it
// changed nothing.
func (k *Manager) Handle(from ident.VM, body []byte) error {
	var l letter
	if err := wire.Decode(body, &l); err != nil {
		return err
	}
	if len(l.All) > 0 {
		return k.handleAll(from, l.All)
	}
	return k.deliver(from, &l)
}

// handleAll takes letters that shared a packet. One that makes no sense does not
// hold the others up.
func (k *Manager) handleAll(from ident.VM, all [][]byte) error {
	var first error
	for _, b := range all {
		var l letter
		err := wire.Decode(b, &l)
		if err == nil {
			err = k.deliver(from, &l)
		}
		if first == nil {
			first = err
		}
	}
	return first
}

func (k *Manager) deliver(from ident.VM, l *letter) error {
	msg, n := l.open(from)
	if n != 1 || len(l.All) > 0 {
		return kinds.New(kinds.Malformed, "not exactly one seat message")
	}
	if l.Edit != nil || l.Did != nil {
		return k.deliverWriter(l.Svc, msg)
	}
	c, ok := k.chairOf(l)
	if !ok {
		return kinds.New(kinds.NotFound, "no such seat here")
	}
	c.loop.Send(msg)
	return nil
}

// open returns the message, signed with its true sender, and how many there
// were.
func (l *letter) open(from ident.VM) (msg loop.Msg, n int) {
	if l.Beat != nil {
		msg, n = l.Beat.msg(from), n+1
	}
	if l.Ask != nil {
		msg, n = l.Ask.msg(from), n+1
	}
	if l.Yield != nil {
		l.Yield.From = from
		msg, n = *l.Yield, n+1
	}
	if l.Yielded != nil {
		l.Yielded.From = from
		msg, n = *l.Yielded, n+1
	}
	if l.Edit != nil {
		l.Edit.From = from
		msg, n = *l.Edit, n+1
	}
	if l.Did != nil {
		l.Did.From = from
		msg, n = *l.Did, n+1
	}
	return msg, n
}
