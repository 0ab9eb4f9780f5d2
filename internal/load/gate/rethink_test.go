package gate

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// keyed is a core with owners of one slot each, a and b, warmed up so that
// answers of 8 ms are usual.
func keyed() (*Core, time.Time) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 1, Conns: 1}, {Name: "b", Slots: 1, Conns: 1}})
	now := begin
	for i := range 200 {
		k := ask(ident.Server([]string{"a", "b"}[i%2]), now, time.Second)
		if c.Offer(now, k) != Start {
			panic("not idle")
		}
		now = now.Add(8 * time.Millisecond)
		c.Done(now, k, Outcome{Latency: 8 * time.Millisecond})
	}
	return c, now
}

func ask(s ident.Server, now time.Time, left time.Duration) *Ticket {
	return &Ticket{Job: Job{Caller: ident.Caller(strconv.FormatInt(now.UnixNano(), 36)), Key: "k", Server: s, Size: 1, Deadline: now.Add(left)}}
}

// The owner of a key freezes while requests wait for it. The first one expects
// its turn within 8 ms and has 250 ms; once the owner has been silent for half
// of that, it cannot be expected to answer in time. Its caller must hear so
// then, and not at the deadline.
func TestThoseWhoWaitForAFrozenOwnerHearSoon(t *testing.T) {
	c, now := keyed()
	froze := now
	assert.Equal(t, c.Offer(now, ask("a", now, 250*time.Millisecond)), Start)
	var waiting []*Ticket
	for range 4 {
		k := ask("a", now, 250*time.Millisecond)
		assert.Equal(t, c.Offer(now, k), Wait)
		waiting = append(waiting, k)
	}
	at := map[*Ticket]time.Duration{}
	for now.Sub(froze) < 200*time.Millisecond {
		now = now.Add(time.Millisecond)
		c.Tick(now)
		for _, k := range c.Ready() {
			kind, after := k.Refusal()
			assert.Equal(t, kind, kinds.DeadlineMissed)
			assert.Assert(t, after > 0)
			at[k] = now.Sub(froze)
		}
	}
	assert.Equal(t, len(at), len(waiting))
	for i, k := range waiting {
		known := (250*time.Millisecond - time.Duration(margin+i+1)*8*time.Millisecond) / 2
		assert.Assert(t, at[k] <= known+rethinkEvery+3*time.Millisecond, "%d heard after %v, known after %v", i, at[k], known)
		assert.Assert(t, at[k] >= known/2, "%d given up after %v", i, at[k])
	}
	late := ask("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, late), Refuse, "a newcomer")
}

// An owner is slow for one answer and then goes on. Nobody who could be served
// in time may have been turned away for it.
func TestOneSlowAnswerTurnsNobodyAway(t *testing.T) {
	c, now := keyed()
	first := ask("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, first), Start)
	for range 4 {
		assert.Equal(t, c.Offer(now, ask("a", now, 250*time.Millisecond)), Wait)
	}
	for range 40 {
		now = now.Add(time.Millisecond)
		c.Tick(now)
		assert.Equal(t, len(c.Ready()), 0)
	}
	c.Done(now, first, Outcome{Latency: 40 * time.Millisecond})
	for range 4 {
		got := c.Ready()
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Server(), ident.Server("a"))
		now = now.Add(8 * time.Millisecond)
		c.Tick(now)
		c.Done(now, got[0], Outcome{Latency: 8 * time.Millisecond})
	}
}

// The owner of a key refuses everything it is sent, or cannot be reached. Nobody
// else can serve the key, so queueing for it and trying again only delays the
// refusal; the first to come still asks, so that the owner's return is noticed.
// Who is refused by a full server must hear so; only one that is lost is worth
// waiting for until its keys move.
func TestAFailingOwnerRefusesAtOnce(t *testing.T) {
	for want, out := range map[kinds.Kind]Outcome{
		kinds.Busy: {Kind: kinds.Busy, Refused: true}, kinds.NoServer: {Kind: kinds.NoServer},
	} {
		t.Run(want.String(), func(t *testing.T) { failingOwner(t, out, want) })
	}
}

func failingOwner(t *testing.T, out Outcome, want kinds.Kind) {
	c, now := keyed()
	for range 10 {
		k := ask("a", now, 250*time.Millisecond)
		if c.Offer(now, k) == Start {
			c.Done(now, k, out)
		}
		now = now.Add(time.Millisecond)
	}
	first := ask("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, first), Start)
	second := ask("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, second), Refuse)
	kind, _ := second.Refusal()
	assert.Equal(t, kind, want)
	assert.Assert(t, !c.MayRetry(now, first, out))
	for range 20 {
		now = now.Add(8 * time.Millisecond)
		c.Done(now, first, Outcome{Latency: 8 * time.Millisecond})
		first = ask("a", now, 250*time.Millisecond)
		assert.Equal(t, c.Offer(now, first), Start)
	}
	assert.Equal(t, c.Offer(now, ask("a", now, 250*time.Millisecond)), Wait, "it answers again")
}

// A VM has an upload of seconds on an owner, where it has but one place. Its
// lookups for the same owner must go on beside it.
func TestOwnUploadDoesNotKeepLookupsOut(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
	c.SetShare(begin, 10, 0)
	now := begin
	lookup := func() *Ticket { return ask("a", now, 250*time.Millisecond) }
	for range 3 {
		c.Report(now, "a", 20, 0) // crowded: one place is left
	}
	assert.Equal(t, c.Stats(now).Servers[0].Limit, 1)
	c.Report(now, "a", 0, 0)
	k := lookup()
	assert.Equal(t, c.Offer(now, k), Start)
	c.Done(now, k, Outcome{Latency: 8 * time.Millisecond})
	upload := lookup()
	upload.Job.Size, upload.Job.Deadline = 1<<20, now.Add(10*time.Second)
	if c.Offer(now, upload) == Wait {
		for upload.state != started {
			now = now.Add(time.Millisecond)
			c.Tick(now)
		}
		c.Ready()
	}
	assert.Equal(t, c.Offer(now, lookup()), Start)
	assert.Equal(t, c.Offer(now, lookup()), Wait, "the limit of short ones holds")
}

// An owner is always busy with lookups, its reports never show a free slot. An
// upload must start there all the same, after a few rounds of the token.
func TestAnUploadStartsAtABusyOwner(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
	c.SetShare(begin, 10, 0)
	now := begin
	k := ask("a", now, time.Second)
	assert.Equal(t, c.Offer(now, k), Start)
	c.Done(now, k, Outcome{Latency: 8 * time.Millisecond})
	c.Report(now, "a", 9, 0)
	upload := ask("a", now, time.Minute)
	upload.Job.Size = 1 << 20
	round := c.token(c.byName["a"]).Period()
	assert.Equal(t, c.Offer(now, upload), Wait)
	for upload.state != started {
		now = now.Add(5 * time.Millisecond)
		c.Report(now, "a", 9, 0)
		c.mix.Seen(now, 0)
		c.Tick(now)
		assert.Assert(t, now.Sub(begin) <= (passes+2)*round, "still waits after %v", now.Sub(begin))
	}
	assert.Assert(t, now.Sub(begin) >= (passes-1)*round, "did not yield to the lookups: %v", now.Sub(begin))
}
