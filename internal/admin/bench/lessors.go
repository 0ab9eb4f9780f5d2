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

// lessorTime is the simulated time over which the lessors are measured.
const lessorTime = 30 * time.Second

// lessorSlope measures processor time, memory, messages and store calls of lessors that
// hold their authority, each with a deputy on another VM, while nothing fails. The report
// calls the authority over one backend server a seat.
func lessorSlope(ctx context.Context, s *Section) error {
	cost := slope{name: "seat and its deputy, processor time a second", per: "seats", unit: "µs"}
	memory := slope{name: "seat and its deputy", per: "seats", unit: "bytes"}
	orders := slope{name: "orders to backend servers", per: "seats", unit: "a second"}
	sent := slope{name: "messages between entry VMs", per: "seats", unit: "a second"}
	store := slope{name: "store calls after the start", per: "seats", unit: "a second"}
	for _, n := range []int{5, 20, 50, 100} {
		sim, bytes, err := measureHeap(func() (*lessorSim, error) { return newLessorSim(n) })
		if err != nil {
			return err
		}
		sim.run(time.Second) // the lessors acquire their authority
		sim.orders, sim.sent, sim.store = 0, 0, 0
		start := time.Now()
		sim.run(lessorTime)
		seconds := lessorTime.Seconds()
		cost.add(float64(n), float64(time.Since(start).Microseconds())/seconds)
		memory.add(float64(n), bytes)
		orders.add(float64(n), float64(sim.orders)/seconds)
		sent.add(float64(n), float64(sim.sent)/seconds)
		store.add(float64(n), float64(sim.store)/seconds)
	}
	for _, p := range []slope{cost, memory, orders, sent, store} {
		s.addSlope(p)
	}
	return ctx.Err()
}

// watcherSlope measures the memory of a lessor that does not hold the authority. A VM runs
// one for each backend server, so that it can take over.
func watcherSlope(ctx context.Context, s *Section) error {
	memory := slope{name: "seat that is only watched, with its loop", per: "seats", unit: "bytes"}
	for _, n := range []int{50, 200, 500, 900} {
		loops, bytes, err := measureHeap(func() ([]*loop.Loop, error) { return startWatchers(n), nil })
		if err != nil {
			return err
		}
		memory.add(float64(n), bytes)
		for _, l := range loops {
			if err := l.Close(); err != nil {
				return err
			}
		}
	}
	s.addSlope(memory)
	return ctx.Err()
}

// startWatchers starts n lessors that neither hold their authority nor are deputies.
func startWatchers(n int) []*loop.Loop {
	nothing := loop.RunnerFunc(func(context.Context, loop.Cmd, func(loop.Msg)) {})
	loops := make([]*loop.Loop, 0, n)
	for _, name := range serverNames(n) {
		l := loop.New(lessor.New(lessor.Config{Self: simVMs[0], Service: "lookup", Server: name}), nothing)
		l.Send(lessor.RoleMsg{Deputy: simVMs[1]})
		loops = append(loops, l)
	}
	return loops
}

// lessorSim simulates, on a clock of its own, the two lessors of each backend server: the
// holder of the authority and its deputy. The store and the servers answer immediately.
type lessorSim struct {
	now     time.Time
	start   time.Time
	tab     table.Table
	records map[ident.Server]lessor.RecordMsg
	pairs   []*lessorPair
	pending []event // ordered by time

	orders, sent, store int // numbers of orders to servers, messages between VMs and store calls
}

// lessorPair holds the lessors of one backend server.
type lessorPair struct {
	server  ident.Server
	lessors [2]loop.Model // holder and deputy
}

// event is the arrival of a message at one lessor of a pair.
type event struct {
	at   time.Time
	pair *lessorPair
	vm   int
	msg  loop.Msg
}

// simVMs are the VMs of the holders and of the deputies.
var simVMs = [2]ident.VM{"vm-1", "vm-2"}

func newLessorSim(n int) (*lessorSim, error) {
	tab, err := fullTable(max(4096, n), n)
	if err != nil {
		return nil, err
	}
	epoch := time.Unix(0, 0)
	sim := &lessorSim{now: epoch, start: epoch, tab: tab, records: map[ident.Server]lessor.RecordMsg{}}
	for _, name := range serverNames(n) {
		pair := &lessorPair{server: name}
		for i, vm := range simVMs {
			pair.lessors[i] = lessor.New(lessor.Config{Self: vm, Service: "lookup", Server: name, FenceChecks: true})
		}
		sim.pairs = append(sim.pairs, pair)
		sim.send(pair, 0, lessor.RoleMsg{Preferred: true, Deputy: simVMs[1]})
	}
	return sim, nil
}

// run processes the events of the next d and advances the clock by d.
func (sim *lessorSim) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.pending) > 0 && sim.pending[0].at.Before(end) {
		e := sim.pending[0]
		sim.pending = sim.pending[1:]
		sim.now = e.at
		sim.send(e.pair, e.vm, e.msg)
	}
	sim.now = end
}

// schedule inserts an event after those of the same time.
func (sim *lessorSim) schedule(e event) {
	i, _ := slices.BinarySearchFunc(sim.pending, e.at, func(x event, at time.Time) int {
		if x.at.After(at) {
			return 1
		}
		return -1
	})
	sim.pending = slices.Insert(sim.pending, i, e)
}

// send delivers a message to a lessor and executes the commands that it returns.
func (sim *lessorSim) send(pair *lessorPair, vm int, msg loop.Msg) {
	next, cmds := pair.lessors[vm].Update(sim.now, msg)
	pair.lessors[vm] = next
	for _, cmd := range cmds {
		if answer := sim.execute(pair, vm, cmd); answer != nil {
			sim.send(pair, vm, answer)
		}
	}
}

// execute executes a command and returns the answer, or nil if there is none.
func (sim *lessorSim) execute(pair *lessorPair, vm int, cmd loop.Cmd) loop.Msg {
	switch cmd := cmd.(type) {
	case loop.AfterCmd:
		sim.schedule(event{sim.now.Add(cmd.D), pair, vm, cmd.Msg})
	case lessor.SendCmd:
		sim.sent++
		sim.schedule(event{sim.now, pair, 1 - vm, withSender(cmd.Msg, simVMs[vm])})
	case lessor.OrderCmd:
		sim.orders++
		return lessor.ReplyMsg{Order: cmd, Reply: sim.reply(cmd.Order)}
	case lessor.ReadServerCmd:
		sim.orders++
		return lessor.ReplyMsg{Read: cmd, Reply: sim.reply(server.Order{})}
	default:
		return sim.executeStore(pair, cmd)
	}
	return nil
}

// executeStore executes a command to the store.
func (sim *lessorSim) executeStore(pair *lessorPair, cmd loop.Cmd) loop.Msg {
	switch cmd := cmd.(type) {
	case lessor.ReadRecordCmd:
		sim.store++
		m := sim.records[pair.server]
		m.Cmd = cmd
		if m.Version == 0 {
			m.Kind = kinds.NotFound
		}
		return m
	case lessor.PutRecordCmd:
		sim.store++
		sim.records[pair.server] = lessor.RecordMsg{Record: cmd.Record, Version: cmd.Old + 1}
		return lessor.RecordPutMsg{Cmd: cmd, Version: cmd.Old + 1}
	case lessor.ReadTableCmd:
		sim.store++
		return lessor.TableMsg{Table: sim.tab, Version: 1}
	case lessor.PutTableCmd:
		sim.store++
		sim.tab = cmd.Table
		return lessor.TablePutMsg{Cmd: cmd, Version: 1}
	}
	return nil
}

func (sim *lessorSim) reply(o server.Order) server.Reply {
	return server.Reply{
		Done: true, Fence: o.Fence, Rev: o.Rev, Left: o.TTL,
		Mark: server.Mark{Boot: 1, At: sim.now.Sub(sim.start)},
	}
}

// withSender sets the sender of a message between VMs, as the transport does.
func withSender(msg loop.Msg, vm ident.VM) loop.Msg {
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
