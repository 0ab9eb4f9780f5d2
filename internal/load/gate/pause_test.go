package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// This VM is paused for 300 ms, or a backend server is, while a few lookups run and
// one waits. All who asked meanwhile are heard at once when it goes on. The server
// is idle again, and nobody asks for more than it can do; drivers who are told that
// the service is full would come back a second later for nothing.
func TestAPauseTurnsNobodyAway(t *testing.T) {
	const vms, slots, during = 4, 2, 8
	c, now := NewCore(Config{Seed: 7}), begin
	c.SetServers(now, []ServerInfo{{Name: "a", Slots: slots, Conns: 45}})
	c.SetShare(now, vms, 0)
	var running []*Ticket
	offer := func() {
		k := &Ticket{Job: Job{Server: "a", Key: "k"}}
		switch c.Offer(now, k) {
		case Start:
			running = append(running, k)
		case Refuse:
			t.Errorf("refused as %s", k.kind)
		default:
		}
	}
	answer := func() {
		done := running
		running = nil
		for _, k := range done {
			c.Done(now, k, Outcome{Kind: kinds.None})
		}
		running = append(running, c.Ready()...)
	}
	for range 200 { // quiet traffic, from which the gate learns what is usual
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
