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

// startWriter starts the one writer of a service's table on this VM. The
// decisions are owner/commit's; here are its calls to the store.
func (k *Manager) startWriter(svc ident.Service, b *book) {
	model := commit.New(commit.Config{Self: k.VM, Service: svc, StoreTimeout: k.Times.StoreTimeout})
	b.writer = loop.New(model, loop.RunnerFunc(func(ctx context.Context, cmd loop.Cmd, send func(loop.Msg)) {
		k.runWriter(ctx, svc, cmd, send)
	}))
}

// edit passes a seat's write on. The seat's loop must never wait for the writer
// while the writer waits for it, so the answer goes the way of answers, which
// have room always.
func (k *Manager) edit(c *chair, cmd lessor.PutTableCmd, answer func(loop.Msg)) {
	c.answer.Store(&answer)
	k.books[c.seatName.svc].writer.Send(commit.EditMsg{Cmd: cmd})
}

func (k *Manager) runWriter(ctx context.Context, svc ident.Service, cmd loop.Cmd, send func(loop.Msg)) {
	var call func(context.Context) loop.Msg
	switch cmd := cmd.(type) {
	case commit.ReadCmd:
		call = func(ctx context.Context) loop.Msg { return k.readForWriter(ctx, svc, cmd) }
	case commit.WriteCmd:
		call = func(ctx context.Context) loop.Msg { return k.writeTable(ctx, svc, cmd) }
	case commit.AnswerCmd:
		k.answerSeat(svc, cmd)
		return
	case commit.SendCmd:
		k.postEdit(svc, cmd)
		return
	default:
		k.Log.Error("unknown effect of a writer", "service", svc, "cmd", fmt.Sprintf("%T", cmd))
		return
	}
	k.effect.Go(func(context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, k.Times.StoreWait())
		defer cancel()
		send(call(ctx))
		return nil
	})
}

func (k *Manager) answerSeat(svc ident.Service, cmd commit.AnswerCmd) {
	c, ok := k.seats[seatName{svc, cmd.Server}]
	if !ok {
		return
	}
	if answer := c.answer.Load(); answer != nil {
		(*answer)(cmd.Msg)
	}
}

// postEdit sends a message to another VM's writer, unless the authority behind
// it ended while it waited here.
func (k *Manager) postEdit(svc ident.Service, cmd commit.SendCmd) {
	if !cmd.Valid(time.Now()) {
		return
	}
	l := letter{Svc: svc}
	switch m := cmd.Msg.(type) {
	case commit.ForwardMsg:
		l.Edit = &m
	case commit.ForwardedMsg:
		l.Did = &m
	}
	b, err := wire.Encode(l)
	if err != nil {
		k.Log.Error("message between writers", "err", err)
		return
	}
	k.Peers.Send(cmd.To, b)
}

func (k *Manager) deliverWriter(svc ident.Service, msg loop.Msg) error {
	b, ok := k.books[svc]
	if !ok {
		return kinds.New(kinds.NotFound, "no such service here")
	}
	b.writer.Send(msg)
	return nil
}

// hubCount is how many VMs are named to join the edits of all: one may be lost,
// with its data centre, and the next one be cut off.
const hubCount = 3

// hubs picks them by rendezvous hashing, in different data centres where that is
// possible.
func hubs(svc ident.Service, live []vmlist.VM) []ident.VM {
	var picked []ident.VM
	taken := map[ident.Centre]bool{}
	for range hubCount {
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

func (k *Manager) readForWriter(ctx context.Context, svc ident.Service, cmd commit.ReadCmd) loop.Msg {
	m := k.readTable(ctx, svc).(lessor.TableMsg)
	return commit.ReadResultMsg{Cmd: cmd, Table: m.Table, Version: m.Version, Kind: m.Kind}
}

// writeTable writes the table with the edits of several seats in it, unless the
// authority behind one of them ended while it waited here.
func (k *Manager) writeTable(ctx context.Context, svc ident.Service, cmd commit.WriteCmd) loop.Msg {
	b, err := cmd.Table.Encode()
	if err != nil {
		return commit.WriteResultMsg{Cmd: cmd, Kind: kinds.Unavailable}
	}
	if !cmd.Valid(time.Now()) {
		return commit.WriteResultMsg{Cmd: cmd, Kind: kinds.Unavailable, Expired: true}
	}
	v, err := k.Store.Put(ctx, tableObject(svc), b, cmd.Old)
	if err == nil {
		k.publish(svc, cmd.Table, v)
	}
	return commit.WriteResultMsg{Cmd: cmd, Version: v, Kind: outcome(err)}
}
