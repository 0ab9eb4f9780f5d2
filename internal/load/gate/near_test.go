package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Uploads of sixty kilobytes go to whichever server is next in turn. Two of three
// then cross between data centres, and that is paid for by the byte; a busy moment at
// the near server costs its caller a few milliseconds.
func TestNearServersArePreferredAsLongAsTheyAreWell(t *testing.T) {
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
	warm(c, &now)
	serve(0, "")
	assert.Equal(t, went["b"]+went["d"], 0, "equal servers: all stay near")
	clear(went)
	serve(0, "here")
	assert.Assert(t, went["b"]+went["d"] > 100, "near ones that take over twice as long are left alone: %v", went)
	clear(went)
	serve(bulk, "here")
	assert.Assert(t, went["a"]+went["c"] > 150, "for a large body they are still the better choice: %v", went)
}

// A lookup is wanted within 200 ms. The near servers take 60 ms and the far ones 25: each
// byte that crosses is paid for, and no caller is better off for it. Then callers move
// here, the near servers take 400 ms, and only the far ones still answer in time.
func TestAFarServerIsTakenWhereItSavesMoreThanTheAim(t *testing.T) {
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
		warm(c, &now)
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
			assert.Assert(t, far > 150, "%v: %d far", one.near, far)
		} else {
			assert.Assert(t, far < 10, "%v: %d far", one.near, far)
		}
	}
}

// warm fills all servers at once, so that something is known of each.
func warm(c *Core, now *time.Time) {
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

// A server has ended and one of another service has its address. Whoever is sent there
// is turned away, until its entry lapses seconds later.
func TestAServerWhoseAddressAnswersForAnotherIsLeftAlone(t *testing.T) {
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
