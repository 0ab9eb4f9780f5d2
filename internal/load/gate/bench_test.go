package gate

import (
	"context"
	"strconv"
	"testing"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

func benchCore(n int) *Core {
	c := NewCore(Config{Seed: 1})
	var list []ServerInfo
	for i := range n {
		list = append(list, ServerInfo{Name: ident.Server("s" + strconv.Itoa(i)), Slots: 4, Conns: 100})
	}
	c.SetShare(begin, 10, 0)
	c.SetServers(begin, list)
	return c
}

// BenchmarkAdmit starts and ends one request at a time.
func BenchmarkAdmit(b *testing.B) {
	c := benchCore(16)
	now := begin
	tk := &Ticket{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		tk.reset()
		tk.Job = Job{Caller: "caller", Size: 1, Deadline: now.Add(time.Second)}
		if c.Offer(now, tk) != Start {
			b.Fatal("not started")
		}
		c.Done(now, tk, Outcome{Latency: 5 * time.Millisecond})
		c.TakeDecided()
	}
}

// BenchmarkAdmitOverload runs at twice the capacity: half of the requests start after
// waiting, half are refused; callers and keys differ.
func BenchmarkAdmitOverload(b *testing.B) {
	c := benchCore(16)
	names := make([]ident.Caller, 1000)
	keys := make([]ident.Key, 1000)
	for i := range names {
		names[i], keys[i] = ident.Caller("c"+strconv.Itoa(i)), ident.Key("k"+strconv.Itoa(i))
	}
	tickets := make([]Ticket, 4096)
	running := make([]*Ticket, 0, 4096)
	now := begin
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		tk := &tickets[i%len(tickets)]
		tk.reset()
		tk.Job = Job{Caller: names[i%1000], Key: keys[i*7%1000], Size: 1, Deadline: now.Add(250 * time.Millisecond)}
		if c.Offer(now, tk) == Start {
			running = append(running, tk)
		}
		for _, r := range c.TakeDecided() {
			if r.state == stateStarted {
				running = append(running, r)
			}
		}
		if i%2 == 0 && len(running) > 0 {
			c.Done(now, running[0], Outcome{Latency: 8 * time.Millisecond})
			running = append(running[:0], running[1:]...)
			for _, r := range c.TakeDecided() {
				if r.state == stateStarted {
					running = append(running, r)
				}
			}
		}
		if i%1000 == 0 {
			c.Tick(now)
		}
	}
}

// BenchmarkEnter runs Enter and Done on a Gate without contention, as the request path
// does.
func BenchmarkEnter(b *testing.B) {
	g := New(Config{Seed: 1})
	defer g.Close()
	g.SetServers([]ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
	ctx := context.Background()
	by := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		p, err := g.Enter(ctx, Job{Caller: "caller", Size: 1, Deadline: by})
		if err != nil {
			b.Fatal(err)
		}
		p.Done(Outcome{Latency: 5 * time.Millisecond})
	}
}

// BenchmarkPick500 chooses one of 500 servers.
func BenchmarkPick500(b *testing.B) {
	c := benchCore(500)
	c.scoreTime = begin
	b.ReportAllocs()
	for b.Loop() {
		c.available.Choose(c.rng, -1, c.score)
	}
}
