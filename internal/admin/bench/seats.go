package bench

import (
	"context"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// seatSpan is how long the seats are held, on a clock of their own.
const seatSpan = 30 * time.Second

// seatSlope: processor time and messages of holding seats, with a deputy for
// each, when nothing goes wrong.
func seatSlope(ctx context.Context, s *Section) error {
	cost := slope{name: "seat and its deputy, processor time a second", per: "seats", unit: "µs"}
	memory := slope{name: "seat and its deputy", per: "seats", unit: "bytes"}
	orders := slope{name: "orders to backend servers", per: "seats", unit: "a second"}
	sent := slope{name: "messages between entry VMs", per: "seats", unit: "a second"}
	store := slope{name: "store calls after the start", per: "seats", unit: "a second"}
	for _, n := range []int{5, 20, 50, 100} {
		b, bytes, err := heap(func() (*bench, error) { return newBench(n) })
		if err != nil {
			return err
		}
		b.run(time.Second) // taking the seats
		b.orders, b.sent, b.store = 0, 0, 0
		start := time.Now()
		b.run(seatSpan)
		per := seatSpan.Seconds()
		cost.at(float64(n), float64(time.Since(start).Microseconds())/per)
		memory.at(float64(n), bytes)
		orders.at(float64(n), float64(b.orders)/per)
		sent.at(float64(n), float64(b.sent)/per)
		store.at(float64(n), float64(b.store)/per)
	}
	for _, p := range []slope{cost, memory, orders, sent, store} {
		s.slope(p)
	}
	return ctx.Err()
}

// watchSlope: what a VM keeps for each seat that is not its own, so that it can
// take it over.
func watchSlope(ctx context.Context, s *Section) error {
	memory := slope{name: "seat that is only watched, with its loop", per: "seats", unit: "bytes"}
	for _, n := range []int{50, 200, 500, 900} {
		loops, bytes, err := heap(func() ([]*loop.Loop, error) { return watched(n), nil })
		if err != nil {
			return err
		}
		memory.at(float64(n), bytes)
		for _, l := range loops {
			if err := l.Close(); err != nil {
				return err
			}
		}
	}
	s.slope(memory)
	return ctx.Err()
}

func watched(n int) []*loop.Loop {
	nothing := loop.RunnerFunc(func(context.Context, loop.Cmd, func(loop.Msg)) {})
	loops := make([]*loop.Loop, 0, n)
	for _, name := range serverNames(n) {
		l := loop.New(lessor.New(lessor.Config{Self: benchVMs[0], Service: "lookup", Server: name}), nothing)
		l.Send(lessor.RoleMsg{Deputy: benchVMs[1]})
		loops = append(loops, l)
	}
	return loops
}

// bench is a row of seats on a clock of its own: for each server a holder and a
// deputy, with a store and a server that answer at once.
type bench struct {
	now     time.Time
	start   time.Time
	tab     table.Table
	records map[ident.Server]lessor.RecordMsg
	chairs  []*chair
	due     []event

	orders, sent, store int
}

type chair struct {
	server ident.Server
	vms    [2]loop.Model // holder, deputy
}

// event is a message that arrives later.
type event struct {
	at  time.Time
	c   *chair
	vm  int
	msg loop.Msg
}

var benchVMs = [2]ident.VM{"vm-1", "vm-2"}

func newBench(n int) (*bench, error) {
	tab, err := fullTable(max(4096, n), n)
	if err != nil {
		return nil, err
	}
	epoch := time.Unix(0, 0)
	b := &bench{now: epoch, start: epoch, tab: tab, records: map[ident.Server]lessor.RecordMsg{}}
	for _, name := range serverNames(n) {
		c := &chair{server: name}
		for i, vm := range benchVMs {
			c.vms[i] = lessor.New(lessor.Config{Self: vm, Service: "lookup", Server: name, FenceChecks: true})
		}
		b.chairs = append(b.chairs, c)
		b.send(c, 0, lessor.RoleMsg{Preferred: true, Deputy: benchVMs[1]})
	}
	return b, nil
}

// run lets time pass.
func (b *bench) run(d time.Duration) {
	end := b.now.Add(d)
	for len(b.due) > 0 && b.due[0].at.Before(end) {
		e := b.due[0]
		b.due = b.due[1:]
		b.now = e.at
		b.send(e.c, e.vm, e.msg)
	}
	b.now = end
}

func (b *bench) later(e event) {
	i, _ := slices.BinarySearchFunc(b.due, e.at, func(x event, at time.Time) int {
		if x.at.After(at) {
			return 1
		}
		return -1
	})
	b.due = slices.Insert(b.due, i, e)
}

func (b *bench) send(c *chair, vm int, msg loop.Msg) {
	next, cmds := c.vms[vm].Update(b.now, msg)
	c.vms[vm] = next
	for _, cmd := range cmds {
		if answer := b.do(c, vm, cmd); answer != nil {
			b.send(c, vm, answer)
		}
	}
}

func (b *bench) do(c *chair, vm int, cmd loop.Cmd) loop.Msg {
	switch cmd := cmd.(type) {
	case loop.AfterCmd:
		b.later(event{b.now.Add(cmd.D), c, vm, cmd.Msg})
	case lessor.SendCmd:
		b.sent++
		b.later(event{b.now, c, 1 - vm, from(cmd.Msg, benchVMs[vm])})
	case lessor.OrderCmd:
		b.orders++
		return lessor.ReplyMsg{Order: cmd, Reply: b.reply(cmd.Order)}
	case lessor.ReadServerCmd:
		b.orders++
		return lessor.ReplyMsg{Read: cmd, Reply: b.reply(server.Order{})}
	default:
		return b.doStore(c, cmd)
	}
	return nil
}

func (b *bench) doStore(c *chair, cmd loop.Cmd) loop.Msg {
	switch cmd := cmd.(type) {
	case lessor.ReadRecordCmd:
		b.store++
		m := b.records[c.server]
		m.Cmd = cmd
		if m.Version == 0 {
			m.Kind = kinds.NotFound
		}
		return m
	case lessor.PutRecordCmd:
		b.store++
		b.records[c.server] = lessor.RecordMsg{Record: cmd.Record, Version: cmd.Old + 1}
		return lessor.RecordPutMsg{Cmd: cmd, Version: cmd.Old + 1}
	case lessor.ReadTableCmd:
		b.store++
		return lessor.TableMsg{Table: b.tab, Version: 1}
	case lessor.PutTableCmd:
		b.store++
		b.tab = cmd.Table
		return lessor.TablePutMsg{Cmd: cmd, Version: 1}
	}
	return nil
}

func (b *bench) reply(o server.Order) server.Reply {
	return server.Reply{
		Done: true, Fence: o.Fence, Rev: o.Rev, Left: o.TTL,
		Mark: server.Mark{Boot: 1, At: b.now.Sub(b.start)},
	}
}

// from does what the transport does: it says who sent a message.
func from(msg loop.Msg, vm ident.VM) loop.Msg {
	switch m := msg.(type) {
	case lessor.HeartbeatMsg:
		m.From = vm
		return m
	case lessor.ClockMsg:
		m.From = vm
		return m
	case lessor.PrepareMsg:
		m.From = vm
		return m
	case lessor.PromiseMsg:
		m.From = vm
		return m
	}
	return msg
}
