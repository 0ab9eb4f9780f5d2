package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// runLowTraffic sends five requests a second to a hundred servers for the duration d.
// Each takes as long as took returns for its server. It returns the number of requests
// by server.
func runLowTraffic(t *testing.T, c *Core, now *time.Time, d time.Duration, took func(ident.Server) time.Duration) map[ident.Server]int {
	went := map[ident.Server]int{}
	var ends []time.Time
	var running []*Ticket
	for end := now.Add(d); now.Before(end); *now = now.Add(200 * time.Millisecond) {
		c.Tick(*now)
		for len(ends) > 0 && !ends[0].After(*now) {
			c.Done(*now, running[0], Outcome{Latency: took(running[0].Server())})
			ends, running = ends[1:], running[1:]
		}
		tk := &Ticket{Job: Job{Deadline: now.Add(time.Minute)}, wake: make(chan struct{}, 1)}
		assert.Equal(t, c.Offer(*now, tk), Start)
		went[tk.Server()]++
		ends, running = append(ends, now.Add(took(tk.Server()))), append(running, tk)
	}
	return went
}

func newHundredServerCore(now time.Time) *Core {
	c := NewCore(Config{Seed: 1, Centre: "here"})
	var list []ServerInfo
	for i := range 100 {
		list = append(list, ServerInfo{Name: ident.Server(fmt.Sprintf("s%02d", i)), Centre: "here", Slots: 4, Conns: 100})
	}
	c.SetServers(now, list)
	c.SetShare(now, 1, 0)
	return c
}

// Guards against a VM with few requests that spreads them over a hundred servers: each
// server has closed its idle connection by then, and callers pay for a new one with
// each request.
func TestQuietVMReusesWarmServers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newHundredServerCore(now)
	usual := func(ident.Server) time.Duration { return 450 * time.Millisecond }
	runLowTraffic(t, c, &now, 10*time.Second, usual)
	went := runLowTraffic(t, c, &now, time.Minute, usual)
	assert.Assert(t, len(went) <= 20, "%d of a hundred servers", len(went))
}

// Guards against requests that keep going to warm servers after these have become slow.
func TestSlowWarmServersAreAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newHundredServerCore(now)
	usual := func(ident.Server) time.Duration { return 150 * time.Millisecond }
	kept := runLowTraffic(t, c, &now, 10*time.Second, usual)
	slow := func(s ident.Server) time.Duration {
		if kept[s] > 0 {
			return 600 * time.Millisecond
		}
		return 150 * time.Millisecond
	}
	runLowTraffic(t, c, &now, 10*time.Second, slow)
	stuck := 0
	went := runLowTraffic(t, c, &now, 20*time.Second, slow)
	for s := range kept {
		stuck += went[s]
	}
	assert.Assert(t, stuck < 10, "%d of 100 requests still go to slow servers", stuck)
}
