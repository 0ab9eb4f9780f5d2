package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// runLowTraffic sends five requests a second to a hundred servers for a while, each of which
// takes a fifth of a second or what took says, and counts where they went.
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

// A VM has a few requests a second for a hundred servers. Spread over all of them,
// each would find that its connection has been idle for too long and been closed, and
// callers pay for a new one with each request.
func TestQuietVMReusesWarmServers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newHundredServerCore(now)
	usual := func(ident.Server) time.Duration { return 450 * time.Millisecond }
	runLowTraffic(t, c, &now, 10*time.Second, usual)
	went := runLowTraffic(t, c, &now, time.Minute, usual)
	assert.Assert(t, len(went) <= 20, "%d of a hundred servers", len(went))
}

// Some of the servers that a VM keeps to turn slow. Its callers must not wait for them
// because they are warm.
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
	assert.Assert(t, stuck < 10, "%d of 100 requests still go to slow ones", stuck)
}
