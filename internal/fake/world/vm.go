package world

import (
	"cmp"
	"fmt"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// VM is one entry VM: a seat model for each backend server and a runner.
type VM struct {
	ID     ident.VM
	Centre int
	Dead   bool
	Gone   bool // listed as gone
	Left   bool // asked to leave

	w        *World
	rate     float64
	off      time.Duration
	pausedTo time.Duration
	pausedAt time.Duration
	waiting  []waiter
	life     int // process number; effects of an earlier one are gone
	seats    map[ident.Server]loop.Model
	promised map[ident.Server]ident.Epoch
	plans    map[ident.Server]lessor.RoleMsg // last sent
	table    table.Table
	writer   loop.Model // nil where each seat writes for itself
	involved []bool     // by server, in a lean world: see noteInvolved
}

func newVM(w *World, i int) *VM {
	v := &VM{
		ID: vmName(i), Centre: i % w.Opt.Centres,
		w: w, rate: w.rate(), off: w.between(0, time.Hour),
	}
	v.boot()
	return v
}

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm%d", i)) }

func (v *VM) boot() {
	v.life++
	v.promised = map[ident.Server]ident.Epoch{}
	v.plans = map[ident.Server]lessor.RoleMsg{}
	v.table = table.Table{}
	v.bootWriter()
	v.seats = map[ident.Server]loop.Model{}
	v.involved = make([]bool, len(v.w.Servers))
	for _, s := range v.w.Servers {
		v.seats[s.Name] = v.w.Opt.NewLessor(lessor.Config{
			Self: v.ID, Service: Service, Server: s.Name, FenceChecks: v.w.Opt.FenceChecks,
			Times: v.w.times, MoveDelay: v.w.Opt.Patience, Standby: v.w.Opt.Standby,
		})
	}
}

// local is the VM's own clock.
func (v *VM) local() time.Time {
	return start.Add(v.off + time.Duration(float64(v.w.now)*v.rate))
}

// real turns a time on the VM's clock into the history's, rounded up: a timer
// that fires early by a rounding would be set for the same moment for ever.
func (v *VM) real(d time.Duration) time.Duration {
	return time.Duration(float64(d)/v.rate) + time.Nanosecond
}

// Paused reports whether the VM stands still.
func (v *VM) Paused() bool { return v.w.now < v.pausedTo }

// Pause stops the VM for a while.
func (v *VM) Pause(d time.Duration) {
	if !v.Paused() {
		v.pausedAt = v.w.now
	}
	v.pausedTo = max(v.pausedTo, v.w.now+d)
}

// Kill ends the VM for good. The platform lists it as gone after a lag.
func (v *VM) Kill(lag time.Duration) {
	v.Dead = true
	v.w.after(lag, func() { v.Gone = true; v.w.planAll() })
}

// Restart starts the process anew on the same VM, without its memory.
func (v *VM) Restart() {
	if !v.Dead {
		v.boot()
		v.w.plan(v)
		if !v.w.Store.down() {
			v.w.Store.push()
		}
	}
}

// Leave asks every seat to hand over.
func (v *VM) Leave() {
	v.Left = true
	for _, s := range v.w.Servers {
		v.Send(s.Name, lessor.LeaveMsg{})
	}
}

// Send delivers a message to one seat, once the VM runs.
func (v *VM) Send(srv ident.Server, msg loop.Msg) { v.run(v.life, func() { v.update(srv, msg) }) }

// run does something on the VM, after its pause, unless its process has ended.
// What comes during a pause waits in line.
func (v *VM) run(life int, do func()) {
	switch {
	case v.Dead || life != v.life:
	case v.Paused() || len(v.waiting) > 0:
		v.waiting = append(v.waiting, waiter{life, do})
		if len(v.waiting) == 1 {
			v.w.At(v.pausedTo, v.wake)
		}
	default:
		do()
	}
}

type waiter struct {
	life int
	do   func()
}

// wake goes through the line until it is empty or the VM pauses again.
func (v *VM) wake() {
	for len(v.waiting) > 0 && !v.Paused() {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		if !v.Dead && next.life == v.life {
			next.do()
		}
	}
	if len(v.waiting) > 0 {
		v.w.At(v.pausedTo, v.wake)
	}
}

func (v *VM) update(srv ident.Server, msg loop.Msg) {
	m, cmds := v.seats[srv].Update(v.local(), msg)
	v.seats[srv] = m
	v.noteInvolved(srv, m)
	for _, c := range cmds {
		v.watch(srv, c)
		if _, timer := c.(loop.AfterCmd); !timer && v.w.chance(v.w.Noise.Stall) {
			// The pause falls between the decision and its effect.
			v.Pause(v.w.between(0, v.w.Noise.MaxStall))
		}
		v.run(v.life, func() { v.exec(srv, c) })
	}
}

// watch checks a decision as it is made: no order after the term, none under an
// epoch that the VM promised not to use any more.
func (v *VM) watch(srv ident.Server, cmd loop.Cmd) {
	switch c := cmd.(type) {
	case lessor.OrderCmd:
		if !c.Valid(v.local()) {
			v.w.errorf("%s orders %s after its term", v.ID, srv)
		}
		if c.Order.Full && c.Order.Fence.Seq >= 1<<63 {
			v.w.errorf("%s grants %s as a deputy", v.ID, srv)
		}
		if c.Order.Fence.Epoch < v.promised[srv] && !c.Revoke {
			v.w.errorf("%s orders %s after its promise", v.ID, srv)
		}
	case lessor.SendCmd:
		if m, ok := c.Msg.(lessor.PromiseMsg); ok {
			v.promised[srv] = max(v.promised[srv], m.Below)
		}
	}
}

// Lessor returns the state of one seat on this VM.
func (v *VM) Lessor(srv ident.Server) loop.Model { return v.seats[srv] }

func (v *VM) learn(t table.Table, ver object.Version) {
	v.run(v.life, func() {
		if t.Rev > v.table.Rev {
			v.table = t
		}
		v.seen(t, ver)
		for i, s := range v.w.Servers {
			if !v.w.Opt.SkipIdleTables || v.involved[i] {
				v.update(s.Name, lessor.TableMsg{Table: t, Version: ver})
			}
		}
	})
}

// noteInvolved keeps whether the VM is a member of a seat, or about to be.
func (v *VM) noteInvolved(srv ident.Server, m loop.Model) {
	if !v.w.Opt.SkipIdleTables {
		return
	}
	involved := true
	if s, ok := m.(interface{ Status() lessor.Status }); ok {
		now := s.Status()
		involved = now.Authority != "idle" || now.DeputyState != "off"
	}
	v.involved[v.w.server(srv).index] = involved
}

func (v *VM) exec(srv ident.Server, cmd loop.Cmd) {
	switch c := cmd.(type) {
	case loop.AfterCmd:
		life := v.life
		v.w.after(v.real(c.D), func() { v.run(life, func() { v.update(srv, c.Msg) }) })
	case lessor.ReadRecordCmd, lessor.PutRecordCmd, lessor.ReadTableCmd, lessor.PutTableCmd:
		v.execStore(srv, cmd)
	case lessor.OrderCmd:
		v.execOrder(srv, c)
	case lessor.ReadServerCmd:
		v.w.Count.Asks++
		v.ask(cmp.Or(c.To, srv), func(s *Server) any { return s.lane(srv).read() }, func(r server.Reply, k kinds.Kind) {
			v.Send(srv, lessor.ReplyMsg{Read: c, Reply: r, Kind: k})
		})
	case lessor.SendCmd:
		v.execSend(srv, c)
	case lessor.PlanCmd:
		v.w.planMoves(v, c)
	case lessor.MovedCmd:
		v.w.Store.acknowledged(srv, c)
	case lessor.AcquiredCmd:
		v.w.heldOnce(srv, c.Epoch, v.ID)
	case lessor.FaultCmd:
		v.w.errorf("%s: %v", v.ID, c.Err)
	}
}

func (v *VM) execStore(srv ident.Server, cmd loop.Cmd) {
	st, wait, life := v.w.Store, v.w.times.StoreTimeout, v.life
	send := func(m loop.Msg) { v.run(life, func() { v.update(srv, m) }) }
	switch c := cmd.(type) {
	case lessor.ReadRecordCmd:
		v.w.Count.Reads++
		v.w.call(v, "store", wait, func(reply func(any)) {
			st.serve(reply, func() any { return st.records[srv] })
		}, func(a any, ok bool) {
			got, _ := a.(versioned)
			send(lessor.RecordMsg{Cmd: c, Record: got.rec, Version: got.ver, Kind: kindOf(a, ok, kinds.Unavailable)})
		})
	case lessor.PutRecordCmd:
		v.w.Count.Writes++
		v.w.call(v, "store", wait, func(reply func(any)) {
			st.serve(reply, func() any { return st.putRecord(srv, c) })
		}, func(a any, ok bool) {
			ver, _ := a.(object.Version)
			send(lessor.RecordPutMsg{Cmd: c, Version: ver, Kind: kindOf(a, ok, kinds.Ambiguous)})
		})
	case lessor.ReadTableCmd:
		v.w.Count.Reads++
		v.w.call(v, "store", wait, func(reply func(any)) {
			st.serve(reply, func() any { return lessor.TableMsg{Table: st.table, Version: st.version} })
		}, func(a any, ok bool) {
			m, _ := a.(lessor.TableMsg)
			m.Kind = kindOf(a, ok, kinds.Unavailable)
			if m.Kind == kinds.None {
				v.run(life, func() { v.seen(m.Table, m.Version) })
			}
			send(m)
		})
	case lessor.PutTableCmd:
		if !v.put(srv, c) {
			v.execPutTable(c, send)
		}
	}
}

func (v *VM) execPutTable(c lessor.PutTableCmd, send func(loop.Msg)) {
	if !c.Valid(v.local()) {
		send(lessor.TablePutMsg{Cmd: c, Kind: kinds.Unavailable})
		return
	}
	st := v.w.Store
	v.w.Count.Writes++
	v.w.call(v, "store", v.w.times.StoreTimeout, func(reply func(any)) {
		st.serve(reply, func() any { return st.putTable(c) })
	}, func(a any, ok bool) {
		ver, _ := a.(object.Version)
		k := kindOf(a, ok, kinds.Ambiguous)
		send(lessor.TablePutMsg{Cmd: c, Version: ver, Kind: k})
		if k == kinds.None {
			v.tell(c.Table, ver)
		}
	})
}

// tell passes a confirmed table on to the other VMs.
func (v *VM) tell(t table.Table, ver object.Version) {
	for _, o := range v.w.VMs {
		if o != v {
			v.w.message(string(v.ID), string(o.ID), func() { o.learn(t, ver) })
		}
	}
}

func (v *VM) execOrder(srv ident.Server, c lessor.OrderCmd) {
	v.w.Count.Orders++
	if b, err := wire.Encode(c.Order); err == nil && v.w.Opt.SkipIdleTables {
		v.w.Count.OrderBytes += len(b)
	}
	if !c.Valid(v.local()) {
		v.Send(srv, lessor.ReplyMsg{Order: c, Kind: kinds.Unavailable})
		return
	}
	v.ask(c.Order.Server, func(s *Server) any { return s.lane(srv).obey(c.Order, c.Revoke) }, func(r server.Reply, k kinds.Kind) {
		v.Send(srv, lessor.ReplyMsg{Order: c, Reply: r, Kind: k})
	})
}

func (v *VM) ask(srv ident.Server, serve func(*Server) any, done func(server.Reply, kinds.Kind)) {
	s, life := v.w.server(srv), v.life
	v.w.call(v, string(srv), v.w.times.CallTimeout, func(reply func(any)) {
		s.run(func() { reply(serve(s)) })
	}, func(a any, ok bool) {
		r, _ := a.(server.Reply)
		v.run(life, func() { done(r, kindOf(a, ok, kinds.Ambiguous)) })
	})
}

func (v *VM) execSend(srv ident.Server, c lessor.SendCmd) {
	v.w.Count.Peer++
	if b, err := wire.Encode(c.Msg); err == nil {
		v.w.Count.PeerBytes += len(b)
	}
	for _, o := range v.w.VMs {
		if o.ID == c.To {
			v.w.message(string(v.ID), string(o.ID), func() { o.Send(srv, c.Msg) })
		}
	}
}

// Resume ends a pause now.
func (v *VM) Resume() {
	v.pausedTo = v.w.now
	v.wake()
}
