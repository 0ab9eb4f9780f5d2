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

// VM is one entry VM: a lessor model for each backend server, and what runs their
// commands.
type VM struct {
	ID     ident.VM
	Centre int
	Dead   bool
	Gone   bool // listed as gone by the platform
	Left   bool // asked to leave

	w              *World
	clockRate      float64       // seconds of the VM's clock per simulated second
	clockOffset    time.Duration // reading of the VM's clock at simulated time zero
	pausedUntil    time.Duration
	pausedSince    time.Duration
	pending        []pendingCall
	incarnation    int // number of the process; effects of earlier ones are dropped
	lessors        map[ident.Server]loop.Model
	promisedEpochs map[ident.Server]ident.Epoch
	lastRoles      map[ident.Server]lessor.RoleMsg // last role sent, by server
	table          table.Table
	writer         loop.Model // nil if each lessor writes the table itself
	involved       []bool     // by server, if Options.SkipIdleTables is set: see noteInvolved
}

func newVM(w *World, i int) *VM {
	v := &VM{
		ID: vmName(i), Centre: i % w.Opt.Centres,
		w: w, clockRate: w.randomClockRate(), clockOffset: w.between(0, time.Hour),
	}
	v.boot()
	return v
}

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm%d", i)) }

// boot starts a new process on the VM, without any state.
func (v *VM) boot() {
	v.incarnation++
	v.promisedEpochs = map[ident.Server]ident.Epoch{}
	v.lastRoles = map[ident.Server]lessor.RoleMsg{}
	v.table = table.Table{}
	v.startWriter()
	v.lessors = map[ident.Server]loop.Model{}
	v.involved = make([]bool, len(v.w.Servers))
	for _, s := range v.w.Servers {
		v.lessors[s.Name] = v.w.Opt.NewLessor(lessor.Config{
			Self: v.ID, Service: Service, Server: s.Name, FenceChecks: v.w.Opt.FenceChecks,
			Times: v.w.times, MoveDelay: v.w.Opt.MoveDelay, Standby: v.w.Opt.Standby,
		})
	}
}

// localTime reads the VM's own clock.
func (v *VM) localTime() time.Time {
	return startTime.Add(v.clockOffset + time.Duration(float64(v.w.now)*v.clockRate))
}

// toSimTime converts a duration on the VM's clock to simulated time. It rounds up: a
// timer that fires too early because of rounding would be set for the same moment
// again and again, without end.
func (v *VM) toSimTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/v.clockRate) + time.Nanosecond
}

// Paused reports whether the VM is paused.
func (v *VM) Paused() bool { return v.w.now < v.pausedUntil }

// Pause suspends the VM for d; a longer pause in force stays.
func (v *VM) Pause(d time.Duration) {
	if !v.Paused() {
		v.pausedSince = v.w.now
	}
	v.pausedUntil = max(v.pausedUntil, v.w.now+d)
}

// Kill ends the VM for good. The platform lists it as gone after lag.
func (v *VM) Kill(lag time.Duration) {
	v.Dead = true
	v.w.after(lag, func() { v.Gone = true; v.w.updateVMs() })
}

// Restart starts a new process on the same VM, without the state of the old one.
func (v *VM) Restart() {
	if !v.Dead {
		v.boot()
		v.w.resendRoles(v)
		if !v.w.Store.isDown() {
			v.w.Store.notifyWatchers()
		}
	}
}

// Leave asks every lessor of the VM to hand over.
func (v *VM) Leave() {
	v.Left = true
	for _, s := range v.w.Servers {
		v.Send(s.Name, lessor.LeaveMsg{})
	}
}

// Send delivers a message to the VM's lessor for a server, after any pause.
func (v *VM) Send(srv ident.Server, msg loop.Msg) {
	v.run(v.incarnation, func() { v.update(srv, msg) })
}

// run calls do on the VM unless the given process has ended. During a pause calls are
// queued, and run in order after it.
func (v *VM) run(incarnation int, do func()) {
	switch {
	case v.Dead || incarnation != v.incarnation:
	case v.Paused() || len(v.pending) > 0:
		v.pending = append(v.pending, pendingCall{incarnation, do})
		if len(v.pending) == 1 {
			v.w.At(v.pausedUntil, v.runPending)
		}
	default:
		do()
	}
}

// pendingCall is a call queued during a pause, with the process it is meant for.
type pendingCall struct {
	incarnation int
	do          func()
}

// runPending runs the queued calls until none is left or the VM pauses again.
func (v *VM) runPending() {
	for len(v.pending) > 0 && !v.Paused() {
		next := v.pending[0]
		v.pending = v.pending[1:]
		if !v.Dead && next.incarnation == v.incarnation {
			next.do()
		}
	}
	if len(v.pending) > 0 {
		v.w.At(v.pausedUntil, v.runPending)
	}
}

// update passes a message to the lessor of a server and runs its commands.
func (v *VM) update(srv ident.Server, msg loop.Msg) {
	m, cmds := v.lessors[srv].Update(v.localTime(), msg)
	v.lessors[srv] = m
	v.noteInvolved(srv, m)
	for _, c := range cmds {
		v.checkCmd(srv, c)
		if _, timer := c.(loop.AfterCmd); !timer && v.w.chance(v.w.Noise.Stall) {
			// The pause falls between the decision and its effect.
			v.Pause(v.w.between(0, v.w.Noise.MaxStall))
		}
		v.run(v.incarnation, func() { v.exec(srv, c) })
	}
}

// checkCmd checks a command at the time of the decision: no order after the holder's
// term, no grant by a deputy, and no order under an epoch that the VM has promised not
// to use any more.
func (v *VM) checkCmd(srv ident.Server, cmd loop.Cmd) {
	switch c := cmd.(type) {
	case lessor.OrderCmd:
		if !c.Valid(v.localTime()) {
			v.w.errorf("%s orders %s after its term", v.ID, srv)
		}
		if c.Order.Full && c.Order.Fence.Seq >= 1<<63 {
			v.w.errorf("%s grants %s as a deputy", v.ID, srv)
		}
		if c.Order.Fence.Epoch < v.promisedEpochs[srv] && !c.Revoke {
			v.w.errorf("%s orders %s after its promise", v.ID, srv)
		}
	case lessor.SendCmd:
		if m, ok := c.Msg.(lessor.PromiseMsg); ok {
			v.promisedEpochs[srv] = max(v.promisedEpochs[srv], m.Below)
		}
	}
}

// Lessor returns the state of the VM's lessor for a server.
func (v *VM) Lessor(srv ident.Server) loop.Model { return v.lessors[srv] }

// receiveTable passes a table to the writer and the lessors of the VM.
func (v *VM) receiveTable(t table.Table, ver object.Version) {
	v.run(v.incarnation, func() {
		if t.Rev > v.table.Rev {
			v.table = t
		}
		v.notifyWriter(t, ver)
		for i, s := range v.w.Servers {
			if !v.w.Opt.SkipIdleTables || v.involved[i] {
				v.update(s.Name, lessor.TableMsg{Table: t, Version: ver})
			}
		}
	})
}

// noteInvolved records whether the VM's lessor for a server holds authority or acts as
// standby, or is about to; with Options.SkipIdleTables only such lessors are sent tables.
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
		incarnation := v.incarnation
		v.w.after(v.toSimTime(c.D), func() { v.run(incarnation, func() { v.update(srv, c.Msg) }) })
	case lessor.ReadRecordCmd, lessor.PutRecordCmd, lessor.ReadTableCmd, lessor.PutTableCmd:
		v.execStore(srv, cmd)
	case lessor.OrderCmd:
		v.execOrder(srv, c)
	case lessor.ReadServerCmd:
		v.w.Count.Asks++
		v.callServer(cmp.Or(c.To, srv), func(s *Server) any { return s.lease(srv).read() }, func(r server.Reply, k kinds.Kind) {
			v.Send(srv, lessor.ReplyMsg{Read: c, Reply: r, Kind: k})
		})
	case lessor.SendCmd:
		v.execSend(srv, c)
	case lessor.PlanCmd:
		v.w.planMoves(v, c)
	case lessor.MovedCmd:
		v.w.Store.checkMoved(srv, c)
	case lessor.AcquiredCmd:
		v.w.checkSingleHolder(srv, c.Epoch, v.ID)
	case lessor.FaultCmd:
		v.w.errorf("%s: %v", v.ID, c.Err)
	}
}

func (v *VM) execStore(srv ident.Server, cmd loop.Cmd) {
	st, wait, incarnation := v.w.Store, v.w.times.StoreTimeout, v.incarnation
	send := func(m loop.Msg) { v.run(incarnation, func() { v.update(srv, m) }) }
	switch c := cmd.(type) {
	case lessor.ReadRecordCmd:
		v.w.Count.Reads++
		v.w.call(v, "store", wait, func(reply func(any)) {
			st.serve(reply, func() any { return st.records[srv] })
		}, func(a any, ok bool) {
			got, _ := a.(versionedRecord)
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
				v.run(incarnation, func() { v.notifyWriter(m.Table, m.Version) })
			}
			send(m)
		})
	case lessor.PutTableCmd:
		if !v.submitEdit(srv, c) {
			v.execPutTable(c, send)
		}
	}
}

func (v *VM) execPutTable(c lessor.PutTableCmd, send func(loop.Msg)) {
	if !c.Valid(v.localTime()) {
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
			v.announceTable(c.Table, ver)
		}
	})
}

// announceTable sends a confirmed table to the other VMs.
func (v *VM) announceTable(t table.Table, ver object.Version) {
	for _, o := range v.w.VMs {
		if o != v {
			v.w.send(string(v.ID), string(o.ID), func() { o.receiveTable(t, ver) })
		}
	}
}

func (v *VM) execOrder(srv ident.Server, c lessor.OrderCmd) {
	v.w.Count.Orders++
	if b, err := wire.Encode(c.Order); err == nil && v.w.Opt.SkipIdleTables {
		v.w.Count.OrderBytes += len(b)
	}
	if !c.Valid(v.localTime()) {
		v.Send(srv, lessor.ReplyMsg{Order: c, Kind: kinds.Unavailable})
		return
	}
	v.callServer(c.Order.Server, func(s *Server) any { return s.lease(srv).apply(c.Order, c.Revoke) }, func(r server.Reply, k kinds.Kind) {
		v.Send(srv, lessor.ReplyMsg{Order: c, Reply: r, Kind: k})
	})
}

// callServer calls a server's control side and passes the reply to done.
func (v *VM) callServer(srv ident.Server, serve func(*Server) any, done func(server.Reply, kinds.Kind)) {
	s, incarnation := v.w.server(srv), v.incarnation
	v.w.call(v, string(srv), v.w.times.CallTimeout, func(reply func(any)) {
		s.run(func() { reply(serve(s)) })
	}, func(a any, ok bool) {
		r, _ := a.(server.Reply)
		v.run(incarnation, func() { done(r, kindOf(a, ok, kinds.Ambiguous)) })
	})
}

func (v *VM) execSend(srv ident.Server, c lessor.SendCmd) {
	v.w.Count.Peer++
	if b, err := wire.Encode(c.Msg); err == nil {
		v.w.Count.PeerBytes += len(b)
	}
	for _, o := range v.w.VMs {
		if o.ID == c.To {
			v.w.send(string(v.ID), string(o.ID), func() { o.Send(srv, c.Msg) })
		}
	}
}

// Resume ends a pause now.
func (v *VM) Resume() {
	v.pausedUntil = v.w.now
	v.runPending()
}
