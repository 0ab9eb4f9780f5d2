package syncer

import (
	"context"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
)

// confirm is what one VM tells another about the rules: that it holds a
// revision, or that one is accepted.
type confirm struct {
	Rev  ident.Revision `cbor:"rev"`
	Done bool           `cbor:"done,omitempty"`
}

// HandleConfirm takes what a peer holds, or knows to be accepted. Kind Malformed
// means that it made no sense; it changed nothing.
func (n *Syncer) HandleConfirm(from ident.VM, body []byte) error {
	var c confirm
	if err := wire.Decode(body, &c); err != nil {
		return err
	}
	switch {
	case c.Rev == 0:
		return kinds.New(kinds.Malformed, "a confirmation of no revision")
	case c.Done:
		n.quorum.Send(quorum.AcceptedMsg{Rev: c.Rev})
	default:
		n.quorum.Send(quorum.ConfirmMsg{From: from, Rev: c.Rev})
	}
	return nil
}

// runQuorum carries out what rules/quorum decides. Calls of the store run on
// their own and answer with a message.
func (n *Syncer) runQuorum(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case quorum.ConfirmCmd:
		n.tell(cmd.To, confirm{Rev: cmd.Rev})
	case quorum.AcceptedCmd:
		n.tell(cmd.To, confirm{Rev: cmd.Rev, Done: true})
	case quorum.ReadCmd:
		n.call(func(ctx context.Context) { send(n.readHeld(ctx)) })
	case quorum.WriteCmd:
		n.call(func(ctx context.Context) { send(n.writeHeld(ctx, cmd)) })
	}
}

func (n *Syncer) call(do func(context.Context)) {
	n.effect.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, n.Timeout)
		defer cancel()
		do(ctx)
		return nil
	})
}

func (n *Syncer) tell(to ident.VM, c confirm) {
	if n.Confirm == nil {
		return
	}
	body, err := wire.Encode(c)
	if err != nil {
		n.Log.Error("confirm rules", "err", err)
		return
	}
	n.Confirm.Send(to, body)
}

func (n *Syncer) readHeld(ctx context.Context) quorum.RecordMsg {
	o, err := n.Store.Get(ctx, quorum.Object)
	if err != nil {
		return quorum.RecordMsg{Kind: kinds.Of(err)}
	}
	rec, err := quorum.Decode(o.Value)
	if err != nil {
		n.Log.Error("accepted rules", "err", err)
	}
	return quorum.RecordMsg{Record: rec, Version: o.Version, Kind: kinds.Of(err)}
}

func (n *Syncer) writeHeld(ctx context.Context, cmd quorum.WriteCmd) quorum.WroteMsg {
	raw, err := cmd.Record.Encode()
	if err == nil {
		_, err = n.Store.Put(ctx, quorum.Object, raw, cmd.Old)
	}
	if err == nil {
		n.Log.Info("rules accepted", "rev", cmd.Record.Rev, "have", cmd.Record.Confirmed, "live", cmd.Record.Live)
	}
	return quorum.WroteMsg{Record: cmd.Record, Kind: kinds.Of(err)}
}
