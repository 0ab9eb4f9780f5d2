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

// floodNewVM simulates a VM that has just started and gets 200 requests with deadlines
// of 2 s within 100 ms for one owner of four slots, whose work takes 200 ms. It counts
// the requests answered in time, those that were sent and had no answer by their
// deadline, and those refused more than half a second after the first answers.
func floodNewVM(t *testing.T) (answered, unknown, late int) {
	const work, slots = 200 * time.Millisecond, 4
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: slots, Conns: 100}, {Name: "b", Slots: slots, Conns: 100}})
	free := make([]time.Time, slots)
	ends := map[*Ticket]time.Time{}
	run := func(now time.Time, tk *Ticket) {
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
		ends[tk] = free[slot]
	}
	now := begin
	for i := range 200 {
		tk := &Ticket{Job: Job{
			Caller: ident.Caller("hauler-" + strconv.Itoa(i)), Key: ident.Key(strconv.Itoa(i)),
			Server: "a", Size: 1, Deadline: now.Add(2 * time.Second),
		}}
		if c.Offer(now, tk) == Start {
			run(now, tk)
		}
		now = now.Add(500 * time.Microsecond)
	}
	for ; now.Sub(begin) < 3*time.Second; now = now.Add(time.Millisecond) {
		c.Tick(now)
		assert.Assert(t, c.byName["a"].health.State() != health.Ejected, "ejected after %v", now.Sub(begin))
		for tk, at := range ends {
			if !at.After(now) {
				delete(ends, tk)
				c.Done(now, tk, Outcome{Latency: at.Sub(tk.startedAt)})
				if at.After(tk.Job.Deadline) {
					unknown++
				} else {
					answered++
				}
			}
		}
		for _, tk := range c.TakeDecided() {
			if tk.state == stateStarted {
				run(now, tk)
				continue
			}
			kind, _ := tk.Refusal()
			assert.Assert(t, kind == kinds.DeadlineMissed || kind == kinds.Busy, "%v", kind)
			if now.Sub(begin) > work+500*time.Millisecond {
				late++
			}
		}
	}
	return answered, unknown, late
}

// Guards against a new VM that expects answers in 5 ms where they take 200 ms. Requests
// admitted in excess were sent just before their deadlines, held slots and ended as
// "unknown"; 100 ms of silence counted as a freeze, which left the owner one request at a
// time. The excess must be refused when the first answers arrive.
func TestFloodBeforeFirstAnswerLeavesNoUnknownOutcome(t *testing.T) {
	answered, unknown, late := floodNewVM(t)
	assert.Equal(t, unknown, 0)
	assert.Assert(t, late <= 5, "%d of 200 refused late", late)
	assert.Assert(t, answered >= 30, "%d answered", answered) // 40 fit into 2 s
}
