package world

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// diary is a model that only notes the plans that it was sent.
type diary struct{ plans []lessor.RoleMsg }

func (d diary) Update(_ time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	if m, ok := msg.(lessor.RoleMsg); ok {
		d.plans = append(d.plans[:len(d.plans):len(d.plans)], m)
	}
	return d, nil
}

func diaries() *World {
	return New(Options{Seed: 1, VMs: 1, Servers: 1, NewLessor: func(lessor.Config) loop.Model { return diary{} }})
}

// A VM stands still, and what comes waits in line: that is one connection, so it
// keeps its order. Were an older plan delivered after a newer one, the VM would
// believe that it leads no seat, nobody would take it, and the keys of a history
// without any fault left would stay unserved.
func TestAPausedVMReadsItsMessagesInTheirOrder(t *testing.T) {
	ms := time.Millisecond
	for name, during := range map[string]func(*World, *VM){
		"pause lengthened":  func(w *World, v *VM) { w.At(w.Now()+20*ms, func() { v.Pause(100 * ms) }) },
		"pause ended early": func(w *World, v *VM) { w.At(w.Now()+40*ms, v.Resume) },
		"paused again on waking": func(w *World, v *VM) {
			w.At(w.Now()+50*ms, func() { v.Pause(30 * ms) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := diaries()
			w.Run(10 * ms)
			v, s := w.VMs[0], w.Servers[0].Name
			sent := len(v.Lessor(s).(diary).plans)
			v.Pause(50 * ms)
			during(w, v)
			for i := range 200 {
				w.At(w.Now()+time.Duration(i)*ms, func() {
					v.Send(s, lessor.RoleMsg{Deputy: ident.VM(fmt.Sprint(i))})
				})
			}
			w.Run(time.Second)
			got := v.Lessor(s).(diary).plans[sent:]
			assert.Equal(t, len(got), 200)
			for i, m := range got {
				assert.Equal(t, m.Deputy, ident.VM(fmt.Sprint(i)), "plan %d came out of order", i)
			}
		})
	}
}

// The network brings a request to the store twice, and the store is down for one
// of the copies. A seat that is told "refused" gives its server the keys again;
// if the other copy were carried out, the keys would have two owners, and the
// histories would blame a seat that believed what it was told.
func TestARefusedCallNeverTakesEffect(t *testing.T) {
	down, up := 0, 0
	for seed := range uint64(400) {
		w := New(Options{Seed: seed, VMs: 1, Servers: 1, NewLessor: func(lessor.Config) loop.Model { return diary{} }})
		w.Run(10 * time.Millisecond)
		w.Noise = Noise{Duplicate: 1000, Drop: 200, MaxDelay: 60 * time.Millisecond}
		w.At(w.Now()+time.Duration(seed%8)*time.Millisecond, func() { w.Store.Down(20 * time.Millisecond) })
		told := kinds.None
		v, c := w.VMs[0], lessor.PutRecordCmd{Record: lessor.Record{Epoch: 1}}
		w.call(v, "store", 100*time.Millisecond, func(reply func(any)) {
			w.Store.serve(reply, func() any { return w.Store.putRecord("s0", c) })
		}, func(a any, ok bool) { told = kindOf(a, ok, kinds.Ambiguous) })
		w.Run(time.Second)
		if told == kinds.Unavailable {
			down++
			assert.Equal(t, w.Store.Record("s0").Epoch, ident.Epoch(0), "seed %d: refused, and done", seed)
		}
		if w.Store.Record("s0").Epoch == 1 {
			up++
		}
	}
	assert.Assert(t, down > 20 && up > 100, "%d refused, %d done", down, up)
}
