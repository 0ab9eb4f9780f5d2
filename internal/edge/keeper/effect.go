package keeper

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/seat"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// serverAt says where a backend server takes orders.
type serverAt struct {
	name    ident.Server
	control netip.AddrPort
	centre  ident.Centre
}

// Names of objects.
const (
	tablePrefix = "table/"
	seatPrefix  = "seat/"
)

func tableObject(svc ident.Service) string { return tablePrefix + string(svc) }

func (n seatName) object() string { return seatPrefix + string(n.svc) + "/" + string(n.srv) }

// run carries out one effect of a seat. Whatever may wait runs on its own; the
// answer comes back as a message.
func (k *Keeper) run(ctx context.Context, c *chair, cmd loop.Cmd, send func(loop.Msg)) {
	var call func(context.Context) loop.Msg
	wait := k.Times.StoreWait()
	switch cmd := cmd.(type) {
	case seat.ReadRecordCmd:
		call = func(ctx context.Context) loop.Msg { return k.readRecord(ctx, c, cmd) }
	case seat.PutRecordCmd:
		call = func(ctx context.Context) loop.Msg { return k.putRecord(ctx, c, cmd) }
	case seat.ReadTableCmd:
		call = func(ctx context.Context) loop.Msg { return k.readTable(ctx, c.seatName.svc) }
	case seat.PutTableCmd:
		k.edit(c, cmd, send)
		return
	case seat.OrderCmd:
		call, wait = func(ctx context.Context) loop.Msg { return k.order(ctx, c, cmd) }, k.Times.CallWait()
	case seat.ReadServerCmd:
		call, wait = func(ctx context.Context) loop.Msg { return k.readServer(ctx, c, cmd) }, k.Times.CallWait()
	case seat.PlanCmd:
		call = func(context.Context) loop.Msg { return k.plan(c, cmd) }
	default:
		k.runLocal(c, cmd)
		return
	}
	k.effect.Go(func(context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		send(call(ctx))
		return nil
	})
}

// runLocal carries out what never waits.
func (k *Keeper) runLocal(c *chair, cmd loop.Cmd) {
	log := k.Log.With("service", c.seatName.svc, "server", c.srv)
	switch cmd := cmd.(type) {
	case seat.SendCmd:
		k.post(c.seatName, cmd)
	case seat.MovedCmd:
		k.moved(c, cmd)
	case seat.HeldCmd:
		log.Info("seat taken", "epoch", cmd.Epoch)
	case seat.StoodCmd:
		log.Info("seat given up", "epoch", cmd.Epoch, "why", cmd.Why)
	case seat.AloneCmd:
		log.Warn("renewing as deputy: the holder is silent", "epoch", cmd.Epoch)
	case seat.StandCmd:
		k.lend(c, cmd)
	case seat.DrainedCmd:
		log.Info("server drained")
	case seat.LeftCmd:
		c.once.Do(k.left.Done)
	case seat.FaultCmd:
		log.Error("fault in a seat", "err", cmd.Err)
	default:
		log.Error("unknown effect", "cmd", fmt.Sprintf("%T", cmd))
	}
}

// outcome reduces an error to the kinds that a seat tells apart. What is
// neither a conflict nor doubtful certainly did nothing.
func outcome(err error) kinds.Kind {
	switch k := kinds.Of(err); k {
	case kinds.None, kinds.Absent, kinds.Conflict, kinds.Ambiguous:
		return k
	}
	return kinds.Down
}

func (k *Keeper) readRecord(ctx context.Context, c *chair, cmd seat.ReadRecordCmd) loop.Msg {
	o, err := k.look(ctx, c.object())
	if err != nil {
		return seat.RecordMsg{Cmd: cmd, Kind: outcome(err)}
	}
	rec, err := seat.DecodeRecord(o.Value)
	if err != nil {
		// A record of a newer program, or a broken one: who may act is not
		// known, so this VM must not act.
		k.Log.Error("seat record", "name", o.Name, "err", err)
		return seat.RecordMsg{Cmd: cmd, Kind: kinds.Down}
	}
	return seat.RecordMsg{Cmd: cmd, Record: rec, Version: o.Version}
}

func (k *Keeper) putRecord(ctx context.Context, c *chair, cmd seat.PutRecordCmd) loop.Msg {
	b, err := cmd.Record.Encode()
	if err != nil {
		return seat.RecordPutMsg{Cmd: cmd, Kind: kinds.Down}
	}
	v, err := k.Store.Put(ctx, c.object(), b, cmd.Old)
	return seat.RecordPutMsg{Cmd: cmd, Version: v, Kind: outcome(err)}
}

func (k *Keeper) readTable(ctx context.Context, svc ident.Service) loop.Msg {
	o, err := k.Store.Get(ctx, tableObject(svc))
	if err != nil {
		return seat.TableMsg{Kind: kinds.Down}
	}
	tab, err := k.seen(o)
	if err != nil {
		k.Log.Error("ownership table", "name", o.Name, "err", err)
		return seat.TableMsg{Kind: kinds.Down}
	}
	return seat.TableMsg{Table: tab, Version: o.Version}
}

// order sends an order, unless its authority ended while it waited here.
func (k *Keeper) order(ctx context.Context, c *chair, cmd seat.OrderCmd) loop.Msg {
	if !cmd.Valid(time.Now()) {
		return seat.ReplyMsg{Order: cmd, Kind: kinds.Down}
	}
	send := k.Control.Grant
	if cmd.Revoke {
		send = k.Control.Revoke
	}
	to, ok := k.chairBeside(c, cmd.Order.Server)
	if !ok {
		return seat.ReplyMsg{Order: cmd, Kind: kinds.Down}
	}
	sent := time.Now()
	reply, err := send(ctx, to.cfg.control, cmd.Order)
	k.heard(to, reply.Word, time.Since(sent), err)
	return seat.ReplyMsg{Order: cmd, Reply: reply, Kind: unanswered(err)}
}

func (k *Keeper) readServer(ctx context.Context, c *chair, cmd seat.ReadServerCmd) loop.Msg {
	to, ok := k.chairBeside(c, cmp.Or(cmd.To, c.srv))
	if !ok {
		return seat.ReplyMsg{Read: cmd, Kind: kinds.Down}
	}
	sent := time.Now()
	reply, err := k.Control.Read(ctx, to.cfg.control, c.seatName.svc, c.srv)
	k.heard(to, reply.Word, time.Since(sent), err)
	return seat.ReplyMsg{Read: cmd, Reply: reply, Kind: unanswered(err)}
}

func (k *Keeper) heard(c *chair, word *server.Word, took time.Duration, err error) {
	if tell := k.answered.Load(); err == nil && tell != nil {
		(*tell)(c.srv, word, took)
	}
}

func unanswered(err error) kinds.Kind {
	if err == nil {
		return kinds.None
	}
	if kinds.Of(err) == kinds.Ambiguous {
		return kinds.Ambiguous
	}
	return kinds.Down
}

func (k *Keeper) plan(c *chair, cmd seat.PlanCmd) loop.Msg {
	v := c.svc.View()
	if v == nil {
		return seat.MoveMsg{Lost: cmd.Lost}
	}
	return seat.MoveMsg{Moves: k.Plan(c.svc, v.Table(), c.srv, k.usable(c.svc, c.srv)), Lost: cmd.Lost}
}

// moved records an acknowledged move, one decision for each slice or key.
func (k *Keeper) moved(c *chair, cmd seat.MovedCmd) {
	k.tellNext(c.seatName.svc, cmd.Rev, cmd.Moves)
	k.Log.Info("keys moved", "service", c.seatName.svc, "from", c.srv, "count", len(cmd.Moves), "rev", cmd.Rev)
	if k.Record == nil {
		return
	}
	for _, m := range cmd.Moves {
		k.Record.Record(record.Decision{
			Sort: record.Place, Service: c.seatName.svc, Key: m.Key, Slice: m.Slice, Rev: cmd.Rev,
			Server: m.To, Former: c.srv, Epoch: cmd.Epoch, Why: "moved",
		})
	}
}
