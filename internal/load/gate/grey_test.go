package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// askGrey asks owners of which a part of all attempts ends so, and sends again what the
// gate lets through. An owner says that so many run there as it refuses, and nothing as it
// breaks off. It returns how many were served and how many attempts that took.
func askGrey(ends Outcome, load int) (served, sent int) {
	const (
		greyPart = 0.45
		owners   = 100
	)
	c := NewCore(Config{Seed: 1, RetryBudget: RetryBudget{Share: greyShare, Burst: greyBurst * fleet}})
	now := time.Unix(1000, 0)
	var list []ServerInfo
	for i := range owners {
		list = append(list, ServerInfo{Name: ident.Server(rune('a' + i)), Slots: 4, Conns: 1000})
	}
	c.SetServers(now, list)
	c.SetShare(now, fleet, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range greyRequests {
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
	greyRequests = 2000
	greyShare    = 0.16          // of the requests may be sent again
	greyBurst    = 340.0 / fleet // and so many beside
)

// Guards against callers refused for good by an owner that has room and refuses now and then.
func TestAnOwnerThatRefusesWithRoomIsAskedAgain(t *testing.T) {
	full := Outcome{Kind: kinds.Busy, Refused: true}
	served, sent := askGrey(full, 1)
	assert.Check(t, served > greyRequests*60/100, "served %d of %d", served, greyRequests)
	assert.Check(t, float64(sent) <= greyRequests*(1+greyShare)+greyBurst, "%d attempts", sent)
	_, sent = askGrey(full, 20)
	assert.Check(t, sent <= greyRequests, "%d attempts at owners that are full", sent)
}

// Guards against lookups that fail because their own broken connection made their key look hot.
func TestALookupThatAnOwnerBrokeOffIsAskedAgain(t *testing.T) {
	served, sent := askGrey(Outcome{Kind: kinds.Unknown}, 1)
	assert.Check(t, served > greyRequests*60/100, "served %d of %d", served, greyRequests)
	assert.Check(t, float64(sent) <= greyRequests*(1+greyShare)+greyBurst, "%d attempts", sent)
}
