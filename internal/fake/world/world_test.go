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

// roleRecorder is a model that only records the roles it was sent.
type roleRecorder struct{ roles []lessor.RoleMsg }

func (d roleRecorder) Update(_ time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	if m, ok := msg.(lessor.RoleMsg); ok {
		d.roles = append(d.roles[:len(d.roles):len(d.roles)], m)
	}
	return d, nil
}

func newRecordingWorld() *World {
	return New(Options{Seed: 1, VMs: 1, Servers: 1, NewLessor: func(lessor.Config) loop.Model { return roleRecorder{} }})
}

// A paused VM must handle the messages queued meanwhile in order, as on one connection.
// Were an older role delivered after a newer one, the VM would believe that it is not
// the preferred holder, no VM would take over, and keys would stay unserved after all
// faults have ended.
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
			w := newRecordingWorld()
			w.Run(10 * ms)
			v, s := w.VMs[0], w.Servers[0].Name
			sent := len(v.Lessor(s).(roleRecorder).roles)
			v.Pause(50 * ms)
			during(w, v)
			for i := range 200 {
				w.At(w.Now()+time.Duration(i)*ms, func() {
					v.Send(s, lessor.RoleMsg{Deputy: ident.VM(fmt.Sprint(i))})
				})
			}
			w.Run(time.Second)
			got := v.Lessor(s).(roleRecorder).roles[sent:]
			assert.Equal(t, len(got), 200)
			for i, m := range got {
				assert.Equal(t, m.Deputy, ident.VM(fmt.Sprint(i)), "role %d arrived out of order", i)
			}
		})
	}
}

// The network duplicates a request to the store, which is down for one of the copies.
// After a refusal a lessor gives its server the keys again; if the other copy still took
// effect, the keys would have two owners and the lessor would be blamed for it.
func TestARefusedCallNeverTakesEffect(t *testing.T) {
	refusedCalls, doneCalls := 0, 0
	for seed := range uint64(400) {
		w := New(Options{Seed: seed, VMs: 1, Servers: 1, NewLessor: func(lessor.Config) loop.Model { return roleRecorder{} }})
		w.Run(10 * time.Millisecond)
		w.Noise = Noise{Duplicate: 1000, Drop: 200, MaxDelay: 60 * time.Millisecond}
		w.At(w.Now()+time.Duration(seed%8)*time.Millisecond, func() { w.Store.Down(20 * time.Millisecond) })
		result := kinds.None
		v, c := w.VMs[0], lessor.PutRecordCmd{Record: lessor.Record{Epoch: 1}}
		w.call(v, "store", 100*time.Millisecond, func(reply func(any)) {
			w.Store.serve(reply, func() any { return w.Store.putRecord("s0", c) })
		}, func(a any, ok bool) { result = kindOf(a, ok, kinds.Ambiguous) })
		w.Run(time.Second)
		if result == kinds.Unavailable {
			refusedCalls++
			assert.Equal(t, w.Store.Record("s0").Epoch, ident.Epoch(0), "seed %d: refused call took effect", seed)
		}
		if w.Store.Record("s0").Epoch == 1 {
			doneCalls++
		}
	}
	assert.Assert(t, refusedCalls > 20 && doneCalls > 100, "%d refused, %d done", refusedCalls, doneCalls)
}
