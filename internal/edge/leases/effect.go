package leases

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
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
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
func (k *Manager) run(ctx context.Context, c *chair, cmd loop.Cmd, send func(loop.Msg)) {
	var call func(context.Context) loop.Msg
	wait := k.Times.StoreWait()
	switch cmd := cmd.(type) {
	case lessor.ReadRecordCmd:
		call = func(ctx context.Context) loop.Msg { return k.readRecord(ctx, c, cmd) }
	case lessor.PutRecordCmd:
		call = func(ctx context.Context) loop.Msg { return k.putRecord(ctx, c, cmd) }
	case lessor.ReadTableCmd:
		call = func(ctx context.Context) loop.Msg { return k.readTable(ctx, c.seatName.svc) }
	case lessor.PutTableCmd:
		k.edit(c, cmd, send)
		return
	case lessor.OrderCmd:
		call, wait = func(ctx context.Context) loop.Msg { return k.order(ctx, c, cmd) }, k.Times.CallWait()
	case lessor.ReadServerCmd:
		call, wait = func(ctx context.Context) loop.Msg { return k.readServer(ctx, c, cmd) }, k.Times.CallWait()
	case lessor.PlanCmd:
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
func (k *Manager) runLocal(c *chair, cmd loop.Cmd) {
	log := k.Log.With("service", c.seatName.svc, "server", c.srv)
	switch cmd := cmd.(type) {
	case lessor.SendCmd:
		k.post(c.seatName, cmd)
	case lessor.MovedCmd:
		k.moved(c, cmd)
	case lessor.AcquiredCmd:
		log.Info("seat taken", "epoch", cmd.Epoch)
	case lessor.SteppedDownCmd:
		log.Info("seat given up", "epoch", cmd.Epoch, "why", cmd.Reason)
	case lessor.DeputyActiveCmd:
		log.Warn("renewing as deputy: the holder is silent", "epoch", cmd.Epoch)
	case lessor.StandbyCmd:
		k.lend(c, cmd)
	case lessor.DrainedCmd:
		log.Info("server drained")
	case lessor.LeftCmd:
		c.once.Do(k.left.Done)
	case lessor.FaultCmd:
		log.Error("fault in a seat", "err", cmd.Err)
	default:
		log.Error("unknown effect", "cmd", fmt.Sprintf("%T", cmd))
	}
}

// outcome reduces an error to the kinds that a seat tells apart. What is
// neither a conflict nor doubtful certainly did nothing.
func outcome(err error) kinds.Kind {
	switch k := kinds.Of(err); k {
	case kinds.None, kinds.NotFound, kinds.Conflict, kinds.Ambiguous:
		return k
	}
	return kinds.Unavailable
}

func (k *Manager) readRecord(ctx context.Context, c *chair, cmd lessor.ReadRecordCmd) loop.Msg {
	o, err := k.look(ctx, c.object())
	if err != nil {
		return lessor.RecordMsg{Cmd: cmd, Kind: outcome(err)}
	}
	rec, err := lessor.DecodeRecord(o.Value)
	if err != nil {
		// A record of a newer program, or a broken one: who may act is not
		// known, so this VM must not act.
		k.Log.Error("seat record", "name", o.Name, "err", err)
		return lessor.RecordMsg{Cmd: cmd, Kind: kinds.Unavailable}
	}
	return lessor.RecordMsg{Cmd: cmd, Record: rec, Version: o.Version}
}

func (k *Manager) putRecord(ctx context.Context, c *chair, cmd lessor.PutRecordCmd) loop.Msg {
	b, err := cmd.Record.Encode()
	if err != nil {
		return lessor.RecordPutMsg{Cmd: cmd, Kind: kinds.Unavailable}
	}
	v, err := k.Store.Put(ctx, c.object(), b, cmd.Old)
	return lessor.RecordPutMsg{Cmd: cmd, Version: v, Kind: outcome(err)}
}

func (k *Manager) readTable(ctx context.Context, svc ident.Service) loop.Msg {
	o, err := k.Store.Get(ctx, tableObject(svc))
	if err != nil {
		return lessor.TableMsg{Kind: kinds.Unavailable}
	}
	tab, err := k.seen(o)
	if err != nil {
		k.Log.Error("ownership table", "name", o.Name, "err", err)
		return lessor.TableMsg{Kind: kinds.Unavailable}
	}
	return lessor.TableMsg{Table: tab, Version: o.Version}
}

// order sends an order, unless its authority ended while it waited here.
func (k *Manager) order(ctx context.Context, c *chair, cmd lessor.OrderCmd) loop.Msg {
	if !cmd.Valid(time.Now()) {
		return lessor.ReplyMsg{Order: cmd, Kind: kinds.Unavailable}
	}
	send := k.Control.Grant
	if cmd.Revoke {
		send = k.Control.Revoke
	}
	to, ok := k.chairBeside(c, cmd.Order.Server)
	if !ok {
		return lessor.ReplyMsg{Order: cmd, Kind: kinds.Unavailable}
	}
	sent := time.Now()
	reply, err := send(ctx, to.cfg.control, cmd.Order)
	k.heard(to, reply.Status, time.Since(sent), err)
	return lessor.ReplyMsg{Order: cmd, Reply: reply, Kind: unanswered(err)}
}

func (k *Manager) readServer(ctx context.Context, c *chair, cmd lessor.ReadServerCmd) loop.Msg {
	to, ok := k.chairBeside(c, cmp.Or(cmd.To, c.srv))
	if !ok {
		return lessor.ReplyMsg{Read: cmd, Kind: kinds.Unavailable}
	}
	sent := time.Now()
	reply, err := k.Control.Read(ctx, to.cfg.control, c.seatName.svc, c.srv)
	k.heard(to, reply.Status, time.Since(sent), err)
	return lessor.ReplyMsg{Read: cmd, Reply: reply, Kind: unanswered(err)}
}

func (k *Manager) heard(c *chair, word *server.Status, took time.Duration, err error) {
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
	return kinds.Unavailable
}

func (k *Manager) plan(c *chair, cmd lessor.PlanCmd) loop.Msg {
	v := c.svc.View()
	if v == nil {
		return lessor.MoveMsg{Lost: cmd.Lost}
	}
	return lessor.MoveMsg{Moves: k.Plan(c.svc, v.Table(), c.srv, k.usable(c.svc, c.srv)), Lost: cmd.Lost}
}

// moved records an acknowledged move, one decision for each slice or key.
func (k *Manager) moved(c *chair, cmd lessor.MovedCmd) {
	k.tellNext(c.seatName.svc, cmd.Rev, cmd.Moves)
	k.Log.Info("keys moved", "service", c.seatName.svc, "from", c.srv, "count", len(cmd.Moves), "rev", cmd.Rev)
	if k.Record == nil {
		return
	}
	for _, m := range cmd.Moves {
		k.Record.Record(record.Decision{
			Action: record.Place, Service: c.seatName.svc, Key: m.Key, Slice: m.Slice, Rev: cmd.Rev,
			Server: m.To, PrevOwner: c.srv, Epoch: cmd.Epoch, Reason: "moved",
		})
	}
}
