package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/health"
)

// Guards against requests refused as Busy after this VM, or a backend server, was
// paused for 300 ms. Those that arrived meanwhile come all at once, but to an idle server
// that can serve them; refused callers would come back a second later for nothing.
func TestVMPauseRefusesNoRequest(t *testing.T) {
	const vms, slots, during = 4, 2, 8
	c, now := NewCore(Config{Seed: 7}), begin
	c.SetServers(now, []ServerInfo{{Name: "a", Slots: slots, Conns: 45}})
	c.SetShare(now, vms, 0)
	var running []*Ticket
	offer := func() {
		tk := &Ticket{Job: Job{Server: "a", Key: "k"}}
		switch c.Offer(now, tk) {
		case Start:
			running = append(running, tk)
		case Refuse:
			t.Errorf("refused as %s", tk.refusalKind)
		default:
		}
	}
	answer := func() {
		done := running
		running = nil
		for _, tk := range done {
			c.Done(now, tk, Outcome{Kind: kinds.None})
		}
		running = append(running, c.TakeDecided()...)
	}
	for range 200 { // light load, from which the gate learns the typical latency
		offer()
		now = now.Add(6 * time.Millisecond)
		answer()
		now = now.Add(20 * time.Millisecond)
		c.Tick(now)
	}
	for range slots + 2 {
		offer()
	}
	assert.Equal(t, c.Stats(now).Waiting, 1)
	now = now.Add(300 * time.Millisecond)
	answer()
	for range during {
		offer()
	}
	for len(running) > 0 {
		now = now.Add(6 * time.Millisecond)
		answer()
	}
	assert.Equal(t, c.Stats(now).Refused[kinds.Busy], uint64(0))
	assert.Equal(t, c.Stats(now).Waiting, 0)
}

// Guards against a server that answered but is ejected because this VM was paused for
// 300 ms. It would run one request at a time for a second and refuse the rest. Whether
// the VM first reads the answers or first checks health is chance.
func TestVMPauseEjectsNoServer(t *testing.T) {
	for order, readFirst := range map[string]bool{"answers first": true, "judgement first": false} {
		t.Run(order, func(t *testing.T) {
			c, now := NewCore(Config{Seed: 7}), begin
			var list []ServerInfo
			for i := range serverCount {
				list = append(list, ServerInfo{Name: serverName(i), Slots: 2, Conns: 45})
			}
			c.SetServers(now, list)
			serve := func(i int, took time.Duration) {
				tk := &Ticket{Job: Job{Server: serverName(i), Key: "k"}}
				assert.Equal(t, c.Offer(now, tk), Start)
				now = now.Add(took)
				if took > DisplaceWindow && !readFirst {
					c.Tick(now)
				}
				c.Done(now, tk, Outcome{Kind: kinds.None})
				c.Tick(now)
			}
			for i := range 300 {
				serve(i%serverCount, 6*time.Millisecond)
			}
			serve(0, 300*time.Millisecond)
			for range 3 {
				serve(0, 6*time.Millisecond)
				now = now.Add(health.CheckInterval)
				c.Tick(now)
				assert.Equal(t, c.Stats(now).Ejected, 0)
			}
		})
	}
}

// Guards against a pause of this VM that hides a frozen server. A server that answers
// nothing while the VM runs must be ejected as soon as without the pause.
func TestVMPauseHidesNoFrozenServer(t *testing.T) {
	c, now := NewCore(Config{Seed: 7}), begin
	c.SetServers(now, []ServerInfo{{Name: "a", Slots: 2, Conns: 45}, {Name: "b", Slots: 2, Conns: 45}, {Name: "c", Slots: 2, Conns: 45}})
	for range 100 {
		tk := &Ticket{Job: Job{Server: "a", Key: "k"}}
		assert.Equal(t, c.Offer(now, tk), Start)
		now = now.Add(6 * time.Millisecond)
		c.Done(now, tk, Outcome{Kind: kinds.None})
		c.Tick(now)
	}
	assert.Equal(t, c.Offer(now, &Ticket{Job: Job{Server: "a", Key: "k"}}), Start)
	now = now.Add(300 * time.Millisecond)
	c.Tick(now)
	assert.Equal(t, c.Stats(now).Ejected, 0)
	for range 11 {
		now = now.Add(health.CheckInterval / 10)
		c.Tick(now)
	}
	assert.Equal(t, c.Stats(now).Ejected, 1)
}
