package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// askGrey asks owners that refuse a part of their requests and say that so many run
// there, and sends again what the gate lets through. It returns how many were served and
// how many attempts that took.
func askGrey(load int) (served, sent int) {
	const (
		requests = 2000
		greyPart = 0.45
		owners   = 100
	)
	c := NewCore(Config{Seed: 1, Extra: Extra{Share: 0.16, Burst: 340}})
	now := time.Unix(1000, 0)
	var list []ServerInfo
	for i := range owners {
		list = append(list, ServerInfo{Name: ident.Server(rune('a' + i)), Slots: 4, Conns: 1000})
	}
	c.SetServers(now, list)
	c.SetShare(now, fleet, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range requests {
		now = now.Add(100 * time.Millisecond)
		job := Job{Key: ident.Key(rune(i)), Server: list[i%owners].Name, Deadline: now.Add(6 * time.Second)}
		for again := true; again; {
			tk := &Ticket{Job: job}
			if c.Offer(now, tk) != Start {
				break
			}
			sent++
			o := Outcome{Latency: 400 * time.Millisecond}
			if rng.Float64() < greyPart {
				o = Outcome{Kind: kinds.Busy, Refused: true}
			}
			now = now.Add(time.Millisecond)
			c.Report(now, tk.Server(), load, 0)
			again = o.Refused && c.MayRetry(now, tk, o)
			c.Done(now, tk, o)
			if !o.Refused {
				served++
			}
			job = job.Again(tk.Server())
		}
		c.Tick(now)
	}
	return served, sent
}

// Guards against callers refused for good by an owner that has room and refuses now and then.
func TestAnOwnerThatRefusesWithRoomIsAskedAgain(t *testing.T) {
	const requests, share, burst = 2000, 0.16, 340.0 / fleet
	served, sent := askGrey(1)
	assert.Check(t, served > requests*60/100, "served %d of %d", served, requests)
	assert.Check(t, float64(sent) <= requests*(1+share)+burst, "%d attempts", sent)
	_, sent = askGrey(20)
	assert.Check(t, sent <= requests, "%d attempts at owners that are full", sent)
}
