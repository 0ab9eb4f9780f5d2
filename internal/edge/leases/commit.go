package leases

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// startWriter starts the single writer of a service's table on this VM. The
// decisions are made by owner/commit; the store calls are made here.
func (mgr *Manager) startWriter(svc ident.Service, ts *tableState) {
	model := commit.New(commit.Config{Self: mgr.VM, Service: svc, StoreTimeout: mgr.Times.StoreTimeout})
	ts.writer = loop.New(model, loop.RunnerFunc(func(ctx context.Context, cmd loop.Cmd, send func(loop.Msg)) {
		mgr.runWriter(ctx, svc, cmd, send)
	}))
}

// submitEdit passes a lessor's table edit to the writer. The lessor's loop must
// never wait for the writer while the writer waits for the lessor, so the result
// comes back through the reply function, which never blocks.
func (mgr *Manager) submitEdit(h *hostedLessor, cmd lessor.PutTableCmd, reply func(loop.Msg)) {
	h.editReply.Store(&reply)
	mgr.tables[h.lessorID.svc].writer.Send(commit.EditMsg{Cmd: cmd})
}

// runWriter carries out one command of a table writer.
func (mgr *Manager) runWriter(ctx context.Context, svc ident.Service, cmd loop.Cmd, send func(loop.Msg)) {
	var call func(context.Context) loop.Msg
	switch cmd := cmd.(type) {
	case commit.ReadCmd:
		call = func(ctx context.Context) loop.Msg { return mgr.readForWriter(ctx, svc, cmd) }
	case commit.WriteCmd:
		call = func(ctx context.Context) loop.Msg { return mgr.writeTable(ctx, svc, cmd) }
	case commit.AnswerCmd:
		mgr.replyToLessor(svc, cmd)
		return
	case commit.SendCmd:
		mgr.sendToWriter(svc, cmd)
		return
	default:
		mgr.Log.Error("unknown effect of a writer", "service", svc, "cmd", fmt.Sprintf("%T", cmd))
		return
	}
	mgr.effects.Go(func(context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, mgr.Times.StoreWait())
		defer cancel()
		send(call(ctx))
		return nil
	})
}

// replyToLessor hands the outcome of an edit to the lessor that submitted it.
func (mgr *Manager) replyToLessor(svc ident.Service, cmd commit.AnswerCmd) {
	h, ok := mgr.lessors[lessorID{svc, cmd.Server}]
	if !ok {
		return
	}
	if reply := h.editReply.Load(); reply != nil {
		(*reply)(cmd.Msg)
	}
}

// sendToWriter sends a message to another VM's writer, unless the authority behind
// the message ended while it waited here.
func (mgr *Manager) sendToWriter(svc ident.Service, cmd commit.SendCmd) {
	if !cmd.Valid(time.Now()) {
		return
	}
	msg := message{Svc: svc}
	switch m := cmd.Msg.(type) {
	case commit.ForwardMsg:
		msg.Forward = &m
	case commit.ForwardedMsg:
		msg.Forwarded = &m
	}
	body, err := wire.Encode(msg)
	if err != nil {
		mgr.Log.Error("message between writers", "err", err)
		return
	}
	mgr.Peers.Send(cmd.To, body)
}

// deliverToWriter passes a message from another VM's writer to the local writer.
func (mgr *Manager) deliverToWriter(svc ident.Service, msg loop.Msg) error {
	ts, ok := mgr.tables[svc]
	if !ok {
		return kinds.New(kinds.NotFound, "no such service here")
	}
	ts.writer.Send(msg)
	return nil
}

// coordinatorCount is how many VMs are named to merge the edits of all VMs: one
// may be lost together with its data centre, and the next one be cut off.
const coordinatorCount = 3

// coordinators picks those VMs by rendezvous hashing, in different data centres
// where that is possible.
func coordinators(svc ident.Service, live []vmlist.VM) []ident.VM {
	var picked []ident.VM
	taken := map[ident.Centre]bool{}
	for range coordinatorCount {
		vm := best("commit\x00"+string(svc), live, func(vm vmlist.VM) int {
			switch {
			case slices.Contains(picked, vm.ID):
				return skip
			case taken[vm.Centre]:
				return 1
			}
			return 0
		})
		if vm == nil {
			break
		}
		picked = append(picked, vm.ID)
		taken[vm.Centre] = true
	}
	return picked
}

func (mgr *Manager) readForWriter(ctx context.Context, svc ident.Service, cmd commit.ReadCmd) loop.Msg {
	msg := mgr.readTable(ctx, svc).(lessor.TableMsg)
	return commit.ReadResultMsg{Cmd: cmd, Table: msg.Table, Version: msg.Version, Kind: msg.Kind}
}

// writeTable writes a table that contains the edits of several lessors, unless the
// authority behind one of them ended while the write waited here.
func (mgr *Manager) writeTable(ctx context.Context, svc ident.Service, cmd commit.WriteCmd) loop.Msg {
	body, err := cmd.Table.Encode()
	if err != nil {
		return commit.WriteResultMsg{Cmd: cmd, Kind: kinds.Unavailable}
	}
	if !cmd.Valid(time.Now()) {
		return commit.WriteResultMsg{Cmd: cmd, Kind: kinds.Unavailable, Expired: true}
	}
	v, err := mgr.Store.Put(ctx, tableObject(svc), body, cmd.Old)
	if err == nil {
		mgr.publish(svc, cmd.Table, v)
	}
	return commit.WriteResultMsg{Cmd: cmd, Version: v, Kind: storeOutcome(err)}
}
