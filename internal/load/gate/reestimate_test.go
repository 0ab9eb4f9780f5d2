package gate

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// newKeyedCore returns a core with two owners of one slot each, a and b, and a typical
// latency of 8 ms.
func newKeyedCore() (*Core, time.Time) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 1, Conns: 1}, {Name: "b", Slots: 1, Conns: 1}})
	now := begin
	for i := range 200 {
		tk := keyTicket(ident.Server([]string{"a", "b"}[i%2]), now, time.Second)
		if c.Offer(now, tk) != Start {
			panic("not idle")
		}
		now = now.Add(8 * time.Millisecond)
		c.Done(now, tk, Outcome{Latency: 8 * time.Millisecond})
	}
	return c, now
}

func keyTicket(s ident.Server, now time.Time, left time.Duration) *Ticket {
	return &Ticket{Job: Job{Caller: ident.Caller(strconv.FormatInt(now.UnixNano(), 36)), Key: "k", Server: s, Size: 1, Deadline: now.Add(left)}}
}

// Guards against requests that wait until their deadline for a frozen owner. Admitted
// with 250 ms to go and answers expected every 8 ms, they must be refused once the owner
// has been silent for half of the time to spare.
func TestWaitersForFrozenOwnerAreRefusedEarly(t *testing.T) {
	c, now := newKeyedCore()
	froze := now
	assert.Equal(t, c.Offer(now, keyTicket("a", now, 250*time.Millisecond)), Start)
	var waiting []*Ticket
	for range 4 {
		tk := keyTicket("a", now, 250*time.Millisecond)
		assert.Equal(t, c.Offer(now, tk), Wait)
		waiting = append(waiting, tk)
	}
	at := map[*Ticket]time.Duration{}
	for now.Sub(froze) < 200*time.Millisecond {
		now = now.Add(time.Millisecond)
		c.Tick(now)
		for _, tk := range c.TakeDecided() {
			kind, after := tk.Refusal()
			assert.Equal(t, kind, kinds.DeadlineMissed)
			assert.Assert(t, after > 0)
			at[tk] = now.Sub(froze)
		}
	}
	assert.Equal(t, len(at), len(waiting))
	for i, tk := range waiting {
		known := (250*time.Millisecond - time.Duration(deadlineMargin+i+1)*8*time.Millisecond) / 2
		assert.Assert(t, at[tk] <= known+reestimateInterval+3*time.Millisecond, "request %d refused after %v, known to be late after %v", i, at[tk], known)
		assert.Assert(t, at[tk] >= known/2, "request %d refused too early, after %v", i, at[tk])
	}
	late := keyTicket("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, late), Refuse, "a new request must be refused")
}

// Guards against requests refused because of a single slow answer, although they could
// still be served in time.
func TestOneSlowAnswerRefusesNoRequest(t *testing.T) {
	c, now := newKeyedCore()
	first := keyTicket("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, first), Start)
	for range 4 {
		assert.Equal(t, c.Offer(now, keyTicket("a", now, 250*time.Millisecond)), Wait)
	}
	for range 40 {
		now = now.Add(time.Millisecond)
		c.Tick(now)
		assert.Equal(t, len(c.TakeDecided()), 0)
	}
	c.Done(now, first, Outcome{Latency: 40 * time.Millisecond})
	for range 4 {
		got := c.TakeDecided()
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Server(), ident.Server("a"))
		now = now.Add(8 * time.Millisecond)
		c.Tick(now)
		c.Done(now, got[0], Outcome{Latency: 8 * time.Millisecond})
	}
}

// Guards against queueing and retrying for an owner that refuses everything (Busy) or
// cannot be reached (NoServer: waiting for a move may help). Both only delay the refusal.
// One request at a time still goes there, so that the owner's recovery is noticed.
func TestAFailingOwnerRefusesAtOnce(t *testing.T) {
	for want, out := range map[kinds.Kind]Outcome{
		kinds.Busy: {Kind: kinds.Busy, Refused: true}, kinds.NoServer: {Kind: kinds.NoServer},
	} {
		t.Run(want.String(), func(t *testing.T) { testFailingOwner(t, out, want) })
	}
}

func testFailingOwner(t *testing.T, out Outcome, want kinds.Kind) {
	c, now := newKeyedCore()
	for range 10 {
		tk := keyTicket("a", now, 250*time.Millisecond)
		if c.Offer(now, tk) == Start {
			c.Done(now, tk, out)
		}
		now = now.Add(time.Millisecond)
	}
	first := keyTicket("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, first), Start)
	second := keyTicket("a", now, 250*time.Millisecond)
	assert.Equal(t, c.Offer(now, second), Refuse)
	kind, _ := second.Refusal()
	assert.Equal(t, kind, want)
	assert.Assert(t, !c.MayRetry(now, first, out))
	for range 20 {
		now = now.Add(8 * time.Millisecond)
		c.Done(now, first, Outcome{Latency: 8 * time.Millisecond})
		first = keyTicket("a", now, 250*time.Millisecond)
		assert.Equal(t, c.Offer(now, first), Start)
	}
	assert.Equal(t, c.Offer(now, keyTicket("a", now, 250*time.Millisecond)), Wait, "the owner answers again")
}

// Guards against lookups blocked by the VM's own upload of seconds at an owner where
// the VM has only one slot.
func TestOwnUploadDoesNotKeepLookupsOut(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
	c.SetShare(begin, 10, 0)
	now := begin
	lookup := func() *Ticket { return keyTicket("a", now, 250*time.Millisecond) }
	for range 3 {
		c.Report(now, "a", 20, 0) // crowded: the limit falls to one
	}
	assert.Equal(t, c.Stats(now).Servers[0].Limit, 1)
	c.Report(now, "a", 0, 0)
	tk := lookup()
	assert.Equal(t, c.Offer(now, tk), Start)
	c.Done(now, tk, Outcome{Latency: 8 * time.Millisecond})
	upload := lookup()
	upload.Job.Size, upload.Job.Deadline = 1<<20, now.Add(10*time.Second)
	if c.Offer(now, upload) == Wait {
		for upload.state != stateStarted {
			now = now.Add(time.Millisecond)
			c.Tick(now)
		}
		c.TakeDecided()
	}
	assert.Equal(t, c.Offer(now, lookup()), Start)
	assert.Equal(t, c.Offer(now, lookup()), Wait, "the limit for short requests must hold")
}

// Guards against an upload that never starts because its owner is always busy with
// lookups and never reports a free slot. It must start after a few rounds of the token.
func TestAnUploadStartsAtABusyOwner(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 100}})
	c.SetShare(begin, 10, 0)
	now := begin
	tk := keyTicket("a", now, time.Second)
	assert.Equal(t, c.Offer(now, tk), Start)
	c.Done(now, tk, Outcome{Latency: 8 * time.Millisecond})
	c.Report(now, "a", 9, 0)
	upload := keyTicket("a", now, time.Minute)
	upload.Job.Size = 1 << 20
	round := c.longToken(c.byName["a"]).Period()
	assert.Equal(t, c.Offer(now, upload), Wait)
	for upload.state != stateStarted {
		now = now.Add(5 * time.Millisecond)
		c.Report(now, "a", 9, 0)
		c.classifier.Seen(now, 0)
		c.Tick(now)
		assert.Assert(t, now.Sub(begin) <= (maxSkippedWindows+2)*round, "still waits after %v", now.Sub(begin))
	}
	assert.Assert(t, now.Sub(begin) >= (maxSkippedWindows-1)*round, "started too early, after %v", now.Sub(begin))
}
