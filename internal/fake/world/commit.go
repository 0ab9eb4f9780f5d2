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

// bootWriter starts the VM's writer of the table, where the world has them.
func (v *VM) bootWriter() {
	if v.w.Opt.NewWriter == nil {
		return
	}
	v.writer = v.w.Opt.NewWriter(commit.Config{Self: v.ID, Service: Service, StoreTimeout: v.w.times.StoreTimeout})
	var hubs []ident.VM
	for i := range min(v.w.Opt.VMs, 2) {
		hubs = append(hubs, vmName(i))
	}
	v.updateWriter(commit.CoordinatorsMsg{VMs: hubs})
}

// seen tells the writer of a table that came to the VM.
func (v *VM) seen(t table.Table, ver object.Version) {
	if v.writer != nil {
		v.updateWriter(commit.TableMsg{Table: t, Version: ver})
	}
}

// suspect tells the writer which VMs seem lost.
func (v *VM) suspect(away []*VM) {
	if v.writer == nil {
		return
	}
	for _, o := range away {
		v.run(v.life, func() { v.updateWriter(commit.SuspectMsg{VM: o.ID}) })
	}
}

// updateWriter is update for the writer: a pause can fall between its decisions
// and their effects as well.
func (v *VM) updateWriter(msg loop.Msg) {
	m, cmds := v.writer.Update(v.local(), msg)
	v.writer = m
	for _, c := range cmds {
		if _, timer := c.(loop.AfterCmd); !timer && v.w.chance(v.w.Noise.Stall) {
			v.Pause(v.w.between(0, v.w.Noise.MaxStall))
		}
		v.run(v.life, func() { v.execWriter(c) })
	}
}

func (v *VM) execWriter(cmd loop.Cmd) {
	life := v.life
	send := func(m loop.Msg) { v.run(life, func() { v.updateWriter(m) }) }
	switch c := cmd.(type) {
	case loop.AfterCmd:
		v.w.after(v.real(c.D), func() { send(c.Msg) })
	case commit.AnswerCmd:
		v.update(c.Server, c.Msg)
	case commit.SendCmd:
		v.sendWriter(c)
	case commit.ReadCmd:
		v.readFor(c, send)
	case commit.WriteCmd:
		v.writeFor(c, send)
	}
}

func (v *VM) sendWriter(c commit.SendCmd) {
	if !c.Valid(v.local()) {
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
			v.w.message(string(v.ID), string(o.ID), func() { o.run(o.life, func() { o.updateWriter(msg) }) })
		}
	}
}

func (v *VM) readFor(c commit.ReadCmd, send func(loop.Msg)) {
	st := v.w.Store
	v.w.Count.Reads++
	v.w.call(v, "store", v.w.times.StoreTimeout, func(reply func(any)) {
		st.serve(reply, func() any { return lessor.TableMsg{Table: st.table, Version: st.version} })
	}, func(a any, ok bool) {
		m, _ := a.(lessor.TableMsg)
		send(commit.ReadResultMsg{Cmd: c, Table: m.Table, Version: m.Version, Kind: kindOf(a, ok, kinds.Unavailable)})
	})
}

func (v *VM) writeFor(c commit.WriteCmd, send func(loop.Msg)) {
	if !c.Valid(v.local()) {
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
			v.tell(c.Table, ver)
		}
	})
}

// put takes a seat's write of the table.
func (v *VM) put(srv ident.Server, c lessor.PutTableCmd) bool {
	if v.writer == nil {
		return false
	}
	if c.Edit.Server != srv {
		v.w.errorf("%s edits the row of %s for %s", v.ID, c.Edit.Server, srv)
	}
	v.updateWriter(commit.EditMsg{Cmd: c})
	return true
}
