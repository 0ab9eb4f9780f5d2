package world

import (
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/commit"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// startWriter starts the VM's table writer if Options.NewWriter is set.
func (v *VM) startWriter() {
	if v.w.Opt.NewWriter == nil {
		return
	}
	v.writer = v.w.Opt.NewWriter(commit.Config{Self: v.ID, Service: Service, StoreTimeout: v.w.times.StoreTimeout})
	var coordinators []ident.VM
	for i := range min(v.w.Opt.VMs, 2) {
		coordinators = append(coordinators, vmName(i))
	}
	v.updateWriter(commit.CoordinatorsMsg{VMs: coordinators})
}

// notifyWriter passes a table that the VM received to its writer.
func (v *VM) notifyWriter(t table.Table, ver object.Version) {
	if v.writer != nil {
		v.updateWriter(commit.TableMsg{Table: t, Version: ver})
	}
}

// reportSuspects tells the writer which VMs are suspected to have failed.
func (v *VM) reportSuspects(suspects []*VM) {
	if v.writer == nil {
		return
	}
	for _, o := range suspects {
		v.run(v.incarnation, func() { v.updateWriter(commit.SuspectMsg{VM: o.ID}) })
	}
}

// updateWriter passes a message to the writer and runs its commands. As in update,
// the VM may pause between a decision and its effect.
func (v *VM) updateWriter(msg loop.Msg) {
	m, cmds := v.writer.Update(v.localTime(), msg)
	v.writer = m
	for _, c := range cmds {
		if _, timer := c.(loop.AfterCmd); !timer && v.w.chance(v.w.Noise.Stall) {
			v.Pause(v.w.between(0, v.w.Noise.MaxStall))
		}
		v.run(v.incarnation, func() { v.execWriter(c) })
	}
}

func (v *VM) execWriter(cmd loop.Cmd) {
	incarnation := v.incarnation
	send := func(m loop.Msg) { v.run(incarnation, func() { v.updateWriter(m) }) }
	switch c := cmd.(type) {
	case loop.AfterCmd:
		v.w.after(v.toSimTime(c.D), func() { send(c.Msg) })
	case commit.AnswerCmd:
		v.update(c.Server, c.Msg)
	case commit.SendCmd:
		v.sendToPeerWriter(c)
	case commit.ReadCmd:
		v.readTableForWriter(c, send)
	case commit.WriteCmd:
		v.writeTableForWriter(c, send)
	}
}

func (v *VM) sendToPeerWriter(c commit.SendCmd) {
	if !c.Valid(v.localTime()) {
		return
	}
	msg := c.Msg
	switch m := msg.(type) {
	case commit.ForwardMsg:
		v.w.Count.Forwarded++
		m.From, msg = v.ID, m
	case commit.ForwardedMsg:
		m.From, msg = v.ID, m
	}
	for _, o := range v.w.VMs {
		if o.ID == c.To {
			v.w.send(string(v.ID), string(o.ID), func() { o.run(o.incarnation, func() { o.updateWriter(msg) }) })
		}
	}
}

func (v *VM) readTableForWriter(c commit.ReadCmd, send func(loop.Msg)) {
	st := v.w.Store
	v.w.Count.Reads++
	v.w.call(v, "store", v.w.times.StoreTimeout, func(reply func(any)) {
		st.serve(reply, func() any { return lessor.TableMsg{Table: st.table, Version: st.version} })
	}, func(a any, ok bool) {
		m, _ := a.(lessor.TableMsg)
		send(commit.ReadResultMsg{Cmd: c, Table: m.Table, Version: m.Version, Kind: kindOf(a, ok, kinds.Unavailable)})
	})
}

func (v *VM) writeTableForWriter(c commit.WriteCmd, send func(loop.Msg)) {
	if !c.Valid(v.localTime()) {
		send(commit.WriteResultMsg{Cmd: c, Kind: kinds.Unavailable, Expired: true})
		return
	}
	st := v.w.Store
	v.w.Count.Writes++
	v.w.Count.Joined += c.Edits - 1
	v.w.call(v, "store", v.w.times.StoreTimeout, func(reply func(any)) {
		st.serve(reply, func() any { return st.putTable(lessor.PutTableCmd{Table: c.Table, Old: c.Old}) })
	}, func(a any, ok bool) {
		ver, _ := a.(object.Version)
		k := kindOf(a, ok, kinds.Ambiguous)
		send(commit.WriteResultMsg{Cmd: c, Version: ver, Kind: k})
		if k == kinds.None {
			v.announceTable(c.Table, ver)
		}
	})
}

// submitEdit passes a lessor's write of the table to the VM's writer. It reports
// false if there is no writer.
func (v *VM) submitEdit(srv ident.Server, c lessor.PutTableCmd) bool {
	if v.writer == nil {
		return false
	}
	if c.Edit.Server != srv {
		v.w.errorf("%s edits the row of %s for %s", v.ID, c.Edit.Server, srv)
	}
	v.updateWriter(commit.EditMsg{Cmd: c})
	return true
}
