// Command load embeds admission control without the rest of the router: a gate in front
// of one backend server with two slots of 5 ms a request, so of 400 requests a second.
// One caller sends 2000 requests a second, another sends 100.
package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornfield.org/hawthornfield"
)

// workTime is how long the simulated backend server works on a request.
const workTime = 5 * time.Millisecond

func main() {
	g := hawthornfield.NewGate(hawthornfield.GateConfig{Service: "lookup", Seed: 1})
	defer g.Close()
	g.SetServers([]hawthornfield.ServerInfo{{Name: "lookup-1", Slots: 2, Conns: 45}})

	var callers errgroup.Group
	callers.Go(func() error { return sendRequests(g, "greedy", 400, 500*time.Microsecond) })
	callers.Go(func() error { return sendRequests(g, "modest", 20, 10*time.Millisecond) })
	if err := callers.Wait(); err != nil {
		fmt.Println(err)
	}
}

// sendRequests sends n requests at a fixed interval, without waiting for their results,
// and prints how many were served and refused.
func sendRequests(g *hawthornfield.Gate, caller hawthornfield.Caller, n int, interval time.Duration) error {
	results := make(chan error, n)
	var requests errgroup.Group
	for range n {
		requests.Go(func() error {
			results <- sendRequest(g, caller)
			return nil
		})
		time.Sleep(interval)
	}
	if err := requests.Wait(); err != nil {
		return err
	}
	close(results)
	served, refused := 0, 0
	var retryAfter time.Duration
	for err := range results {
		if err == nil {
			served++
			continue
		}
		refused++
		retryAfter = max(retryAfter, hawthornfield.RetryAfter(err))
	}
	fmt.Printf("%s: %d served, %d refused as not run, told to come back within %v\n",
		caller, served, refused, retryAfter.Round(time.Millisecond))
	return nil
}

func sendRequest(g *hawthornfield.Gate, caller hawthornfield.Caller) error {
	permit, err := g.Enter(context.Background(), hawthornfield.Job{
		Caller:     caller,
		Deadline:   time.Now().Add(100 * time.Millisecond),
		Size:       -1,
		Idempotent: true,
	})
	if err != nil {
		return err
	}
	time.Sleep(workTime) // stands for the embedder's call to permit.Server()
	permit.Done(hawthornfield.Outcome{Latency: workTime})
	return nil
}
