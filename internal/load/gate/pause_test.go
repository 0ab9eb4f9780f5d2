package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/health"
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

// This VM is paused for 300 ms while requests run on one of its servers, which
// answered long ago. What the VM does first when it goes on, reading the answers or
// judging its servers, is chance. A server that is ejected for that serves one
// request at a time for a second, and drivers who ask for its keys are turned away.
func TestAPauseEjectsNobody(t *testing.T) {
	for order, readFirst := range map[string]bool{"answers first": true, "judgement first": false} {
		t.Run(order, func(t *testing.T) {
			c, now := NewCore(Config{Seed: 7}), begin
			var list []ServerInfo
			for i := range servers {
				list = append(list, ServerInfo{Name: name(i), Slots: 2, Conns: 45})
			}
			c.SetServers(now, list)
			serve := func(i int, took time.Duration) {
				k := &Ticket{Job: Job{Server: name(i), Key: "k"}}
				assert.Equal(t, c.Offer(now, k), Start)
				now = now.Add(took)
				if took > Early && !readFirst {
					c.Tick(now)
				}
				c.Done(now, k, Outcome{Kind: kinds.None})
				c.Tick(now)
			}
			for i := range 300 {
				serve(i%servers, 6*time.Millisecond)
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

// A server answers nothing while this VM is awake. It must be left alone as soon as
// ever, also when the VM was paused just before.
func TestAPauseHidesNoFrozenServer(t *testing.T) {
	c, now := NewCore(Config{Seed: 7}), begin
	c.SetServers(now, []ServerInfo{{Name: "a", Slots: 2, Conns: 45}, {Name: "b", Slots: 2, Conns: 45}, {Name: "c", Slots: 2, Conns: 45}})
	for range 100 {
		k := &Ticket{Job: Job{Server: "a", Key: "k"}}
		assert.Equal(t, c.Offer(now, k), Start)
		now = now.Add(6 * time.Millisecond)
		c.Done(now, k, Outcome{Kind: kinds.None})
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
