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

// serverConfig is the part of a backend server's settings that its lessor needs.
type serverConfig struct {
	name    ident.Server
	control netip.AddrPort
	centre  ident.Centre
}

// Prefixes of object names in the store.
const (
	tablePrefix  = "table/"
	recordPrefix = "seat/"
)

func tableObject(svc ident.Service) string { return tablePrefix + string(svc) }

func (id lessorID) object() string { return recordPrefix + string(id.svc) + "/" + string(id.srv) }

// run carries out one command of a lessor. Calls that may block run in their own
// goroutine, and the result is sent back as a message.
func (mgr *Manager) run(ctx context.Context, h *hostedLessor, cmd loop.Cmd, send func(loop.Msg)) {
	var call func(context.Context) loop.Msg
	wait := mgr.Times.StoreWait()
	switch cmd := cmd.(type) {
	case lessor.ReadRecordCmd:
		call = func(ctx context.Context) loop.Msg { return mgr.readRecord(ctx, h, cmd) }
	case lessor.PutRecordCmd:
		call = func(ctx context.Context) loop.Msg { return mgr.putRecord(ctx, h, cmd) }
	case lessor.ReadTableCmd:
		call = func(ctx context.Context) loop.Msg { return mgr.readTable(ctx, h.lessorID.svc) }
	case lessor.PutTableCmd:
		mgr.submitEdit(h, cmd, send)
		return
	case lessor.OrderCmd:
		call, wait = func(ctx context.Context) loop.Msg { return mgr.sendOrder(ctx, h, cmd) }, mgr.Times.CallWait()
	case lessor.ReadServerCmd:
		call, wait = func(ctx context.Context) loop.Msg { return mgr.readServer(ctx, h, cmd) }, mgr.Times.CallWait()
	case lessor.PlanCmd:
		call = func(context.Context) loop.Msg { return mgr.plan(h, cmd) }
	default:
		mgr.runLocal(h, cmd)
		return
	}
	mgr.effects.Go(func(context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		send(call(ctx))
		return nil
	})
}

// runLocal carries out the commands that never block.
func (mgr *Manager) runLocal(h *hostedLessor, cmd loop.Cmd) {
	log := mgr.Log.With("service", h.lessorID.svc, "server", h.srv)
	switch cmd := cmd.(type) {
	case lessor.SendCmd:
		mgr.send(h.lessorID, cmd)
	case lessor.MovedCmd:
		mgr.onMoved(h, cmd)
	case lessor.AcquiredCmd:
		log.Info("lessor authority acquired", "epoch", cmd.Epoch)
	case lessor.SteppedDownCmd:
		log.Info("lessor authority released", "epoch", cmd.Epoch, "why", cmd.Reason)
	case lessor.DeputyActiveCmd:
		log.Warn("renewing leases as deputy: no heartbeat from the holder", "epoch", cmd.Epoch)
	case lessor.StandbyCmd:
		mgr.announceStandby(h, cmd)
	case lessor.DrainedCmd:
		log.Info("server drained")
	case lessor.LeftCmd:
		h.leftOnce.Do(mgr.leaving.Done)
	case lessor.FaultCmd:
		log.Error("internal error in a lessor", "err", cmd.Err)
	default:
		log.Error("unknown lessor command", "cmd", fmt.Sprintf("%T", cmd))
	}
}

// storeOutcome reduces a store error to the kinds that a lessor tells apart. A
// call that neither conflicted nor is ambiguous certainly had no effect.
func storeOutcome(err error) kinds.Kind {
	switch k := kinds.Of(err); k {
	case kinds.None, kinds.NotFound, kinds.Conflict, kinds.Ambiguous:
		return k
	}
	return kinds.Unavailable
}

func (mgr *Manager) readRecord(ctx context.Context, h *hostedLessor, cmd lessor.ReadRecordCmd) loop.Msg {
	o, err := mgr.getRecord(ctx, h.object())
	if err != nil {
		return lessor.RecordMsg{Cmd: cmd, Kind: storeOutcome(err)}
	}
	rec, err := lessor.DecodeRecord(o.Value)
	if err != nil {
		// The record is corrupt or was written by a newer version of the
		// program. Which VM has authority is then unknown, so this VM must not
		// act.
		mgr.Log.Error("cannot decode lessor record", "name", o.Name, "err", err)
		return lessor.RecordMsg{Cmd: cmd, Kind: kinds.Unavailable}
	}
	return lessor.RecordMsg{Cmd: cmd, Record: rec, Version: o.Version}
}

func (mgr *Manager) putRecord(ctx context.Context, h *hostedLessor, cmd lessor.PutRecordCmd) loop.Msg {
	b, err := cmd.Record.Encode()
	if err != nil {
		return lessor.RecordPutMsg{Cmd: cmd, Kind: kinds.Unavailable}
	}
	v, err := mgr.Store.Put(ctx, h.object(), b, cmd.Old)
	return lessor.RecordPutMsg{Cmd: cmd, Version: v, Kind: storeOutcome(err)}
}

func (mgr *Manager) readTable(ctx context.Context, svc ident.Service) loop.Msg {
	o, err := mgr.Store.Get(ctx, tableObject(svc))
	if err != nil {
		return lessor.TableMsg{Kind: kinds.Unavailable}
	}
	tab, err := mgr.publishRead(o)
	if err != nil {
		mgr.Log.Error("cannot decode ownership table", "name", o.Name, "err", err)
		return lessor.TableMsg{Kind: kinds.Unavailable}
	}
	return lessor.TableMsg{Table: tab, Version: o.Version}
}

// sendOrder sends an order to a backend server, unless the authority behind it
// ended while it waited here.
func (mgr *Manager) sendOrder(ctx context.Context, h *hostedLessor, cmd lessor.OrderCmd) loop.Msg {
	if !cmd.Valid(time.Now()) {
		return lessor.ReplyMsg{Order: cmd, Kind: kinds.Unavailable}
	}
	send := mgr.Control.Grant
	if cmd.Revoke {
		send = mgr.Control.Revoke
	}
	to, ok := mgr.lessorFor(h, cmd.Order.Server)
	if !ok {
		return lessor.ReplyMsg{Order: cmd, Kind: kinds.Unavailable}
	}
	sent := time.Now()
	reply, err := send(ctx, to.cfg.control, cmd.Order)
	mgr.reportAnswer(to, reply.Status, time.Since(sent), err)
	return lessor.ReplyMsg{Order: cmd, Reply: reply, Kind: callOutcome(err)}
}

func (mgr *Manager) readServer(ctx context.Context, h *hostedLessor, cmd lessor.ReadServerCmd) loop.Msg {
	to, ok := mgr.lessorFor(h, cmp.Or(cmd.To, h.srv))
	if !ok {
		return lessor.ReplyMsg{Read: cmd, Kind: kinds.Unavailable}
	}
	sent := time.Now()
	reply, err := mgr.Control.Read(ctx, to.cfg.control, h.lessorID.svc, h.srv)
	mgr.reportAnswer(to, reply.Status, time.Since(sent), err)
	return lessor.ReplyMsg{Read: cmd, Reply: reply, Kind: callOutcome(err)}
}

// reportAnswer passes a server's answer to the function that OnAnswer set.
func (mgr *Manager) reportAnswer(h *hostedLessor, status *server.Status, took time.Duration, err error) {
	if report := mgr.onAnswer.Load(); err == nil && report != nil {
		(*report)(h.srv, status, took)
	}
}

// callOutcome reduces the error of a call to a backend server to the kinds that a
// lessor tells apart.
func callOutcome(err error) kinds.Kind {
	if err == nil {
		return kinds.None
	}
	if kinds.Of(err) == kinds.Ambiguous {
		return kinds.Ambiguous
	}
	return kinds.Unavailable
}

func (mgr *Manager) plan(h *hostedLessor, cmd lessor.PlanCmd) loop.Msg {
	v := h.svc.View()
	if v == nil {
		return lessor.MoveMsg{Lost: cmd.Lost}
	}
	return lessor.MoveMsg{Moves: mgr.Plan(h.svc, v.Table(), h.srv, mgr.usable(h.svc, h.srv)), Lost: cmd.Lost}
}

// onMoved handles an acknowledged move: it notifies the new owners' preferred
// holders and records one decision for each slice or key.
func (mgr *Manager) onMoved(h *hostedLessor, cmd lessor.MovedCmd) {
	mgr.notifyPreferred(h.lessorID.svc, cmd.Rev, cmd.Moves)
	mgr.Log.Info("keys moved", "service", h.lessorID.svc, "from", h.srv, "count", len(cmd.Moves), "rev", cmd.Rev)
	if mgr.Record == nil {
		return
	}
	for _, m := range cmd.Moves {
		mgr.Record.Record(record.Decision{
			Action: record.Place, Service: h.lessorID.svc, Key: m.Key, Slice: m.Slice, Rev: cmd.Rev,
			Server: m.To, PrevOwner: h.srv, Epoch: cmd.Epoch, Reason: "moved",
		})
	}
}
