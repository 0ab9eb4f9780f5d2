package lessor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// asDeputy returns VM b as the deputy of epoch 3, held by a, whose holder has
// echoed its clock when anchored is set.
func asDeputy(now time.Time, anchored bool) Lessor {
	s := loop.Model(New(Config{Self: "b", Service: "lookup", Server: "s", Standby: true}))
	s, _ = s.Update(now, RoleMsg{})
	m := HeartbeatMsg{From: "a", Epoch: 3, Mark: server.Mark{Boot: 1, At: time.Second}, Rev: 2, NoStandby: true}
	if anchored {
		m.Left, m.Echo, m.Incarnation = time.Minute, time.Millisecond, now.UnixNano()
	}
	s, _ = s.Update(now, m)
	return s.(Lessor)
}

// ask sends a request to yield and returns the promise.
func askToYield(t *testing.T, s Lessor, now time.Time, m PrepareMsg) (Lessor, PromiseMsg) {
	next, cmds := s.Update(now, m)
	if m.Silent {
		// The server does not answer the deputy either.
		var more []loop.Cmd
		next, more = next.Update(now.Add(time.Second), TickMsg{})
		cmds = append(cmds, more...)
	}
	for _, c := range cmds {
		if c, ok := c.(SendCmd); ok {
			if y, ok := c.Msg.(PromiseMsg); ok {
				return next.(Lessor), y
			}
		}
	}
	t.Fatal("no promise")
	return Lessor{}, PromiseMsg{}
}

// A holder that is cut off and a successor both turn to one deputy. If it said
// yes to both, the one would let a stand-by have the keys while the other renews
// the owner's lease.
func TestADeputyGivesOneOfTwoWords(t *testing.T) {
	now := time.Unix(1000, 0)
	fromHolder := PrepareMsg{From: "a", Below: 4, Silent: true}
	fromNext := PrepareMsg{From: "c", Below: 4}

	s, y := askToYield(t, asDeputy(now, true), now, fromHolder)
	assert.Assert(t, y.Agreed && y.Clean == 0)
	_, y = askToYield(t, s, now, fromNext)
	assert.Equal(t, y.Clean, ident.Epoch(0), "it agreed before")

	s, y = askToYield(t, asDeputy(now, true), now, fromNext)
	assert.Equal(t, y.Clean, ident.Epoch(3))
	_, y = askToYield(t, s, now, fromHolder)
	assert.Assert(t, !y.Agreed, "it gave its word for the opposite before")
	assert.Equal(t, y.Clean, ident.Epoch(3), "the first answer may be lost, so the word is repeated")

	_, y = askToYield(t, asDeputy(now, false), now, fromNext)
	assert.Equal(t, y.Clean, ident.Epoch(0), "an earlier process of this VM may have agreed")
}

// The deputy's process ends and another starts on the same VM. The first may
// have given a successor its word that there is no stand-by; the second does not
// know and agrees. The holder must not take that for an agreement.
func TestTheAgreementOfARestartedDeputyDoesNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := func(asks ...int64) *turn {
		w := &turn{Lessor: New(Config{Self: "a", Service: "lookup", Server: "s", Standby: true}), now: now}
		w.auth, w.epoch, w.until, w.stands = holding, 3, now.Add(time.Hour), true
		w.rec = Record{Epoch: 3, Holder: "a", Deputy: "b", Stand: true}
		for _, born := range asks {
			w.onAsk(ClockMsg{From: "b", Epoch: 3, At: time.Second, Incarnation: born})
		}
		return w
	}
	yes := PromiseMsg{From: "b", Below: 4, Agreed: true, Born: 7}

	w := holder(7)
	w.onYielded(yes)
	assert.Equal(t, w.allowed, ident.Epoch(3))

	for name, asks := range map[string][]int64{
		"not known yet": {}, "another process": {6}, "restarted": {6, 7}, "a late question of the first": {7, 6, 7},
	} {
		w := holder(asks...)
		w.onYielded(yes)
		assert.Equal(t, w.allowed, ident.Epoch(0), name)
	}
}
