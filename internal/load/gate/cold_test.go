package gate

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/health"
)

// burst plays a VM that has just started and gets 200 requests of 2 s at once
// for one owner of four slots, whose work takes 200 ms. It counts who was answered
// in time, who was sent and had no answer by then, and who was refused more than
// half a second after the first answers.
func burst(t *testing.T) (answered, unknown, late int) {
	const work, slots = 200 * time.Millisecond, 4
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: slots, Conns: 100}, {Name: "b", Slots: slots, Conns: 100}})
	free := make([]time.Time, slots)
	ends := map[*Ticket]time.Time{}
	run := func(now time.Time, k *Ticket) {
		slot := 0
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
		}
		begins := now
		if free[slot].After(now) {
			begins = free[slot]
		}
		free[slot] = begins.Add(work)
		ends[k] = free[slot]
	}
	now := begin
	for i := range 200 {
		k := &Ticket{Job: Job{
			Caller: ident.Caller("hauler-" + strconv.Itoa(i)), Key: ident.Key(strconv.Itoa(i)),
			Server: "a", Size: 1, Deadline: now.Add(2 * time.Second),
		}}
		if c.Offer(now, k) == Start {
			run(now, k)
		}
		now = now.Add(500 * time.Microsecond)
	}
	for ; now.Sub(begin) < 3*time.Second; now = now.Add(time.Millisecond) {
		c.Tick(now)
		assert.Assert(t, c.byName["a"].health.State() != health.Ejected, "ejected after %v", now.Sub(begin))
		for k, at := range ends {
			if !at.After(now) {
				delete(ends, k)
				c.Done(now, k, Outcome{Latency: at.Sub(k.at)})
				if at.After(k.Job.Deadline) {
					unknown++
				} else {
					answered++
				}
			}
		}
		for _, k := range c.Ready() {
			if k.state == started {
				run(now, k)
				continue
			}
			kind, _ := k.Refusal()
			assert.Assert(t, kind == kinds.DeadlineMissed || kind == kinds.Busy, "%v", kind)
			if now.Sub(begin) > work+500*time.Millisecond {
				late++
			}
		}
	}
	return answered, unknown, late
}

// A VM starts and is flooded before its first answer. It takes answers of 200 ms
// for answers of 5 ms and lets in too many; those at the end of the queue were
// sent a moment before their deadline, held a place for nothing, and their
// callers read "unknown" in place of a refusal. And the owner's silence of 100 ms
// looked like a freeze, so it got one request at a time. The first answers show
// what the others can expect, and they must hear it then, not at their deadlines.
func TestAFloodBeforeTheFirstAnswerEndsInNoUnknown(t *testing.T) {
	answered, unknown, late := burst(t)
	assert.Equal(t, unknown, 0)
	assert.Assert(t, late <= 5, "%d of 200 refused late", late)
	assert.Assert(t, answered >= 30, "%d answered", answered) // 40 fit into 2 s
}
