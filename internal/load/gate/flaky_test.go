package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// runFlakyOwners sends requests to owners at which a random 45 in 100 attempts end with
// the given outcome, and repeats those for which the gate allows it. An owner reports
// the given load with an answer or a refusal, and nothing when it breaks off. It
// returns the numbers of served requests and of attempts.
func runFlakyOwners(ends Outcome, load int) (served, sent int) {
	const (
		greyPart = 0.45
		owners   = 100
	)
	c := NewCore(Config{Seed: 1, RetryBudget: RetryBudget{Share: retryShare, Burst: retryBurst * vmCount}})
	now := time.Unix(1000, 0)
	var list []ServerInfo
	for i := range owners {
		list = append(list, ServerInfo{Name: ident.Server(rune('a' + i)), Slots: 4, Conns: 1000})
	}
	c.SetServers(now, list)
	c.SetShare(now, vmCount, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range flakyRequests {
		now = now.Add(100 * time.Millisecond)
		job := Job{Key: ident.Key(rune(i)), Server: list[i%owners].Name, Idempotent: true, Deadline: now.Add(6 * time.Second)}
		for again := true; again; {
			tk := &Ticket{Job: job}
			if c.Offer(now, tk) != Start {
				break
			}
			sent++
			o := Outcome{Latency: 400 * time.Millisecond}
			if rng.Float64() < greyPart {
				o = ends
			}
			now = now.Add(time.Millisecond)
			if o.Kind == kinds.None || o.Refused {
				c.Report(now, tk.Server(), load, 0)
			}
			again = o.Kind != kinds.None && c.MayRetry(now, tk, o)
			c.Done(now, tk, o)
			if o.Kind == kinds.None {
				served++
			}
			job = job.NextAttempt(tk.Server())
		}
		c.Tick(now)
	}
	return served, sent
}

const (
	flakyRequests = 2000
	retryShare    = 0.16            // retries earned per request
	retryBurst    = 340.0 / vmCount // retries beyond that
)

// Guards against requests that fail for good because their owner, which has room,
// refuses now and then.
func TestAnOwnerThatRefusesWithRoomIsAskedAgain(t *testing.T) {
	full := Outcome{Kind: kinds.Busy, Refused: true}
	served, sent := runFlakyOwners(full, 1)
	assert.Check(t, served > flakyRequests*60/100, "served %d of %d", served, flakyRequests)
	assert.Check(t, float64(sent) <= flakyRequests*(1+retryShare)+retryBurst, "%d attempts", sent)
	_, sent = runFlakyOwners(full, 20)
	assert.Check(t, sent <= flakyRequests, "%d attempts at owners that are full", sent)
}

// Guards against lookups that fail because the broken connection of their own first
// attempt made their key count as hot.
func TestLookupIsRetriedAfterBrokenConnection(t *testing.T) {
	served, sent := runFlakyOwners(Outcome{Kind: kinds.Unknown}, 1)
	assert.Check(t, served > flakyRequests*60/100, "served %d of %d", served, flakyRequests)
	assert.Check(t, float64(sent) <= flakyRequests*(1+retryShare)+retryBurst, "%d attempts", sent)
}
