package syncer

import (
	"context"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
)

// confirmation is what one VM tells another about a revision of the rules: that the
// sender holds it, or that the revision is accepted.
type confirmation struct {
	Rev  ident.Revision `cbor:"rev"`
	Done bool           `cbor:"done,omitempty"`
}

// HandleConfirm takes a confirmation from a peer. Kind Malformed means that it could
// not be understood and changed nothing.
func (s *Syncer) HandleConfirm(from ident.VM, body []byte) error {
	var c confirmation
	if err := wire.Decode(body, &c); err != nil {
		return err
	}
	switch {
	case c.Rev == 0:
		return kinds.New(kinds.Malformed, "confirmation without a revision")
	case c.Done:
		s.quorum.Send(quorum.AcceptedMsg{Rev: c.Rev})
	default:
		s.quorum.Send(quorum.ConfirmMsg{From: from, Rev: c.Rev})
	}
	return nil
}

// runQuorum carries out the commands of rules/quorum. Store calls run in their own
// goroutine, and the result is sent back as a message.
func (s *Syncer) runQuorum(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case quorum.ConfirmCmd:
		s.sendConfirmation(cmd.To, confirmation{Rev: cmd.Rev})
	case quorum.AcceptedCmd:
		s.sendConfirmation(cmd.To, confirmation{Rev: cmd.Rev, Done: true})
	case quorum.ReadCmd:
		s.callStore(func(ctx context.Context) { send(s.readAccepted(ctx)) })
	case quorum.WriteCmd:
		s.callStore(func(ctx context.Context) { send(s.writeAccepted(ctx, cmd)) })
	}
}

func (s *Syncer) callStore(do func(context.Context)) {
	s.effects.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		do(ctx)
		return nil
	})
}

func (s *Syncer) sendConfirmation(to ident.VM, c confirmation) {
	if s.Confirm == nil {
		return
	}
	body, err := wire.Encode(c)
	if err != nil {
		s.Log.Error("cannot encode confirmation of rules", "err", err)
		return
	}
	s.Confirm.Send(to, body)
}

func (s *Syncer) readAccepted(ctx context.Context) quorum.RecordMsg {
	o, err := s.Store.Get(ctx, quorum.Object)
	if err != nil {
		return quorum.RecordMsg{Kind: kinds.Of(err)}
	}
	rec, err := quorum.Decode(o.Value)
	if err != nil {
		s.Log.Error("cannot decode record of accepted rules", "err", err)
	}
	return quorum.RecordMsg{Record: rec, Version: o.Version, Kind: kinds.Of(err)}
}

func (s *Syncer) writeAccepted(ctx context.Context, cmd quorum.WriteCmd) quorum.WroteMsg {
	raw, err := cmd.Record.Encode()
	if err == nil {
		_, err = s.Store.Put(ctx, quorum.Object, raw, cmd.Old)
	}
	if err == nil {
		s.Log.Info("rules accepted", "rev", cmd.Record.Rev, "have", cmd.Record.Confirmed, "live", cmd.Record.Live)
	}
	return quorum.WroteMsg{Record: cmd.Record, Kind: kinds.Of(err)}
}
