package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// entriesOf returns fleet entries with the given loads, for servers of equal speed.
func entriesOf(c *Core, load func(i int) int) []fleet.Entry {
	var list []fleet.Entry
	for i, s := range c.servers {
		list = append(list, fleet.Entry{Server: s.info.Name, Load: load(i), LoadAge: time.Millisecond, Work: 100 * time.Millisecond})
	}
	return list
}

func chosen(c *Core, now time.Time, j Job) ident.Server {
	t := &Ticket{Job: j}
	return c.servers[c.chooseAvailable(now, t)].info.Name
}

// Guards against any change for services whose full servers answer: fleet entries and service
// times must not change a choice.
func TestChoicesStayWithoutSilentServers(t *testing.T) {
	plain, told := benchCore(30), benchCore(30)
	now := begin
	for i := range 500 {
		now = now.Add(10 * time.Millisecond)
		told.ApplyFleet(now, now, entriesOf(told, func(i int) int { return i % 7 }), 12)
		var servers [2]ident.Server
		for k, c := range []*Core{plain, told} {
			tk := &Ticket{Job: Job{Rule: "r", Caller: "c", Deadline: now.Add(time.Second)}}
			assert.Equal(t, c.Offer(now, tk), Start)
			servers[k] = tk.Server()
			assert.Equal(t, tk.expect, Expectation{})
			o := Outcome{Latency: time.Duration(5+i%9) * time.Millisecond}
			if k == 1 {
				o.Work = time.Duration(i) * time.Millisecond
			}
			c.Done(now, tk, o)
		}
		assert.Equal(t, servers[0], servers[1])
	}
}

// Guards against VMs that have the same fleet entries and all choose the server with the least
// load, which is full before the next list.
func TestVMsWithTheSameEntriesSpread(t *testing.T) {
	went := map[ident.Server]int{}
	for vm := range uint64(100) {
		c := benchCore(50)
		c.rng = rand.New(rand.NewPCG(vm, vm))
		c.ApplyFleet(begin, begin, entriesOf(c, func(i int) int { return i / 10 }), 12)
		c.SetSilent(begin, true)
		went[chosen(c, begin, Job{Rule: "r"})]++
	}
	most := 0
	for _, n := range went {
		most = max(most, n)
	}
	assert.Assert(t, most <= 16 && len(went) >= 20, "%v", went)
}

// Guards against a request that is sent across for a few milliseconds, and against one that
// waits for seconds in its own data centre while servers of another one are idle.
func TestAnotherCentreMustSaveATenthOfTheTarget(t *testing.T) {
	for _, one := range []struct{ local, want int }{{0, 0}, {1, 0}, {12, 100}} {
		c := NewCore(Config{Seed: 1, Centre: "here"})
		var list []ServerInfo
		for i, name := range []ident.Server{"a", "b", "c", "d"} {
			list = append(list, ServerInfo{Name: name, Centre: []ident.Centre{"here", "there"}[i%2], Slots: 4, Conns: 100})
		}
		c.SetShare(begin, 1, 0)
		c.SetServers(begin, list)
		c.ApplyFleet(begin, begin, entriesOf(c, func(i int) int { return (1 - i%2) * one.local }), 12)
		c.SetSilent(begin, true)
		remote := 0
		for range 100 {
			if s := chosen(c, begin, Job{Rule: "r", LatencyTarget: time.Second}); s == "b" || s == "d" {
				remote++
			}
		}
		assert.Assert(t, remote >= one.want*7/8 && remote <= one.want, "local load %d: %d remote", one.local, remote)
	}
}

// Guards against further requests for a server that has just shown that it is slow, and against
// avoiding it after that has passed.
func TestASlowAnswerCountsAtOnceAndFades(t *testing.T) {
	c := benchCore(4)
	s := c.servers[0]
	for range 20 {
		c.observeCost(begin, s, &Ticket{Job: Job{Rule: "r"}}, 100*time.Millisecond, 0)
	}
	c.observeCost(begin, s, &Ticket{Job: Job{Rule: "r"}}, 350*time.Millisecond, 0)
	assert.Assert(t, c.speed(begin, s) < 0.55, "%v", c.speed(begin, s))
	later := begin.Add(time.Second)
	assert.Assert(t, c.speed(later, s) > 0.8, "%v", c.speed(later, s))
}

// Guards against a server that looks idle because it has not answered for a while, so that the
// fleet has no entry of it.
func TestAServerWithoutEntryDoesNotLookIdle(t *testing.T) {
	c := benchCore(4)
	c.ApplyFleet(begin, begin, entriesOf(c, func(int) int { return 6 })[1:], 12)
	c.updatePaces(begin)
	assert.Assert(t, c.servers[0].backlog(begin) >= 6)
	assert.Equal(t, c.servers[0].backlogAge(begin), time.Duration(0))
	c.start(begin.Add(time.Millisecond), &Ticket{}, c.servers[1])
	assert.Assert(t, c.servers[1].backlog(begin.Add(2*time.Millisecond)) > 6)
}

// BenchmarkChooseCompletion chooses one of 500 servers.
func BenchmarkChooseCompletion(b *testing.B) {
	c := benchCore(500)
	c.SetSilent(begin, true)
	list := entriesOf(c, func(i int) int { return i % 9 })
	now := begin
	tk := &Ticket{Job: Job{Rule: "r", LatencyTarget: time.Second}}
	c.ApplyFleet(now, now, list, 12)
	b.ReportAllocs()
	for b.Loop() {
		c.chooseAvailable(now, tk)
	}
}

// BenchmarkUpdatePaces takes the speeds of 500 servers from the fleet's entries, which is done
// every 200 ms.
func BenchmarkUpdatePaces(b *testing.B) {
	c := benchCore(500)
	c.ApplyFleet(begin, begin, entriesOf(c, func(i int) int { return i % 9 }), 12)
	b.ReportAllocs()
	for b.Loop() {
		c.completion.paces.updatedAt = time.Time{}
		c.updatePaces(begin)
	}
}
