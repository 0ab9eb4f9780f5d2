package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Guards against uploads of 60 KB that go to servers in round robin: two of three then
// cross between data centres, which is paid for by the byte. A busy moment of the local
// server costs the caller only a few milliseconds.
func TestLocalServersArePreferredWhileHealthy(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(Config{Seed: 1, Centre: "here"})
	c.SetServers(now, []ServerInfo{
		{Name: "a", Centre: "here", Slots: 4, Conns: 100},
		{Name: "b", Centre: "there", Slots: 4, Conns: 100},
		{Name: "c", Centre: "here", Slots: 4, Conns: 100},
		{Name: "d", Centre: "there", Slots: 4, Conns: 100},
	})
	c.SetShare(now, 1, 0)
	went := map[ident.Server]int{}
	serve := func(bytes int64, slow ident.Server) {
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			c.Tick(now)
			tk := &Ticket{Job: Job{Deadline: now.Add(time.Second), Bytes: bytes}, wake: make(chan struct{}, 1)}
			assert.Equal(t, c.Offer(now, tk), Start)
			took := 10 * time.Millisecond
			if slow == "here" && (tk.Server() == "a" || tk.Server() == "c") {
				took = 25 * time.Millisecond
			}
			went[tk.Server()]++
			c.Done(now, tk, Outcome{Latency: took})
		}
	}
	warmUpServers(c, &now)
	serve(0, "")
	assert.Equal(t, went["b"]+went["d"], 0, "equal servers: all requests must stay local")
	clear(went)
	serve(0, "here")
	assert.Assert(t, went["b"]+went["d"] > 100, "local servers with over twice the latency must be avoided: %v", went)
	clear(went)
	serve(bulkBytes, "here")
	assert.Assert(t, went["a"]+went["c"] > 150, "they must still be preferred for a large body: %v", went)
}

// Guards against lookups sent to remote servers without benefit. The answer is wanted
// within 200 ms, local servers take 60 ms and remote ones 25 ms. Only when callers move
// here and local servers take 400 ms do just the remote ones answer in time.
func TestRemoteServerIsChosenWhenItSavesMoreThanLatencyTarget(t *testing.T) {
	for _, one := range []struct {
		near   time.Duration
		leaves bool
	}{{60 * time.Millisecond, false}, {150 * time.Millisecond, false}, {400 * time.Millisecond, true}} {
		now := time.Unix(1000, 0)
		c := NewCore(Config{Seed: 1, Centre: "here"})
		c.SetServers(now, []ServerInfo{
			{Name: "a", Centre: "here", Slots: 4, Conns: 100},
			{Name: "b", Centre: "there", Slots: 4, Conns: 100},
			{Name: "c", Centre: "here", Slots: 4, Conns: 100},
			{Name: "d", Centre: "there", Slots: 4, Conns: 100},
		})
		c.SetShare(now, 1, 0)
		warmUpServers(c, &now)
		far := 0
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			c.Tick(now)
			tk := &Ticket{Job: Job{Deadline: now.Add(time.Second), LatencyTarget: 200 * time.Millisecond}, wake: make(chan struct{}, 1)}
			assert.Equal(t, c.Offer(now, tk), Start)
			took := one.near
			if tk.Server() == "b" || tk.Server() == "d" {
				took = 25 * time.Millisecond
				far++
			}
			c.Done(now, tk, Outcome{Latency: took})
		}
		if one.leaves {
			assert.Assert(t, far > 150, "local latency %v: %d remote", one.near, far)
		} else {
			assert.Assert(t, far < 10, "local latency %v: %d remote", one.near, far)
		}
	}
}

// warmUpServers sends requests to all servers, so that the latency of each is known.
func warmUpServers(c *Core, now *time.Time) {
	for range 10 {
		var all []*Ticket
		for range 12 {
			tk := &Ticket{Job: Job{Deadline: now.Add(time.Second)}, wake: make(chan struct{}, 1)}
			if c.Offer(*now, tk) == Start {
				all = append(all, tk)
			}
		}
		*now = now.Add(10 * time.Millisecond)
		for _, tk := range all {
			c.Done(*now, tk, Outcome{Latency: 10 * time.Millisecond})
		}
	}
}

// Guards against requests sent to the address of a server that has ended, where a
// server of another service now answers. They are refused until the entry expires
// seconds later.
func TestServerAnsweringForAnotherServiceIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(Config{Seed: 1})
	c.SetServers(now, []ServerInfo{{Name: "a", Slots: 4, Conns: 100}, {Name: "b", Slots: 4, Conns: 100}})
	c.SetShare(now, 1, 0)
	turned := 0
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		c.Tick(now)
		tk := &Ticket{Job: Job{Deadline: now.Add(time.Second)}, wake: make(chan struct{}, 1)}
		assert.Equal(t, c.Offer(now, tk), Start)
		o := Outcome{Latency: 10 * time.Millisecond}
		if tk.Server() == "b" {
			turned++
			o = Outcome{Kind: kinds.Misrouted, Refused: true}
		}
		c.Done(now, tk, o)
	}
	assert.Equal(t, turned, 1)
}
