// Command load embeds the load policies alone: a gate in front of one backend
// server with two slots, asked for ten times what it can do by a caller that
// does not hold back, beside one that asks for little.
package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornfield.org/hawthornfield"
)

const work = 5 * time.Millisecond

func main() {
	g := hawthornfield.NewGate(hawthornfield.GateConfig{Service: "lookup", Seed: 1})
	defer g.Close()
	g.SetServers([]hawthornfield.ServerInfo{{Name: "lookup-1", Slots: 2, Conns: 45}})

	var callers errgroup.Group
	callers.Go(func() error { return ask(g, "greedy", 400, 500*time.Microsecond) })
	callers.Go(func() error { return ask(g, "modest", 20, 10*time.Millisecond) })
	if err := callers.Wait(); err != nil {
		fmt.Println(err)
	}
}

// ask sends n requests at a fixed pace, whatever becomes of them, and prints
// what the caller received.
func ask(g *hawthornfield.Gate, who hawthornfield.Caller, n int, pace time.Duration) error {
	results := make(chan error, n)
	var requests errgroup.Group
	for range n {
		requests.Go(func() error {
			results <- one(g, who)
			return nil
		})
		time.Sleep(pace)
	}
	if err := requests.Wait(); err != nil {
		return err
	}
	close(results)
	served, refused := 0, 0
	var back time.Duration
	for err := range results {
		if err == nil {
			served++
			continue
		}
		refused++
		back = max(back, hawthornfield.RetryAfter(err))
	}
	fmt.Printf("%s: %d served, %d refused as not run, told to come back within %v\n",
		who, served, refused, back.Round(time.Millisecond))
	return nil
}

func one(g *hawthornfield.Gate, who hawthornfield.Caller) error {
	pass, err := g.Enter(context.Background(), hawthornfield.Job{
		Caller:     who,
		Deadline:   time.Now().Add(100 * time.Millisecond),
		Size:       -1,
		Idempotent: true,
	})
	if err != nil {
		return err
	}
	time.Sleep(work) // the embedder's own call to pass.Server()
	pass.Done(hawthornfield.Outcome{Latency: work})
	return nil
}
