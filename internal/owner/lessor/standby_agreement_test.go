package lessor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// asDeputy returns VM b as the deputy of epoch 3, held by a. If echoed is
// set, the holder has echoed b's clock.
func asDeputy(now time.Time, echoed bool) Lessor {
	s := loop.Model(New(Config{Self: "b", Service: "lookup", Server: "s", Standby: true}))
	s, _ = s.Update(now, RoleMsg{})
	m := HeartbeatMsg{From: "a", Epoch: 3, Mark: server.Mark{Boot: 1, At: time.Second}, Rev: 2, NoStandby: true}
	if echoed {
		m.Left, m.Echo, m.Incarnation = time.Minute, time.Millisecond, now.UnixNano()
	}
	s, _ = s.Update(now, m)
	return s.(Lessor)
}

// sendPrepare sends a request for a promise and returns the promise.
func sendPrepare(t *testing.T, s Lessor, now time.Time, m PrepareMsg) (Lessor, PromiseMsg) {
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

// A holder that is cut off and a successor both ask the same deputy. If it said
// yes to both, the holder would grant the keys to a standby while the successor
// renews the owner's lease.
func TestDeputyNeverBothAgreesToAndRulesOutAStandby(t *testing.T) {
	now := time.Unix(1000, 0)
	fromHolder := PrepareMsg{From: "a", Below: 4, Silent: true}
	fromNext := PrepareMsg{From: "c", Below: 4}

	s, y := sendPrepare(t, asDeputy(now, true), now, fromHolder)
	assert.Assert(t, y.StandbyAgreed && y.NoStandbyEpoch == 0)
	_, y = sendPrepare(t, s, now, fromNext)
	assert.Equal(t, y.NoStandbyEpoch, ident.Epoch(0), "it agreed before")

	s, y = sendPrepare(t, asDeputy(now, true), now, fromNext)
	assert.Equal(t, y.NoStandbyEpoch, ident.Epoch(3))
	_, y = sendPrepare(t, s, now, fromHolder)
	assert.Assert(t, !y.StandbyAgreed, "it has declared that there is no standby")
	assert.Equal(t, y.NoStandbyEpoch, ident.Epoch(3), "the first answer may be lost, so the declaration is repeated")

	_, y = sendPrepare(t, asDeputy(now, false), now, fromNext)
	assert.Equal(t, y.NoStandbyEpoch, ident.Epoch(0), "an earlier process of this VM may have agreed")
}

// The deputy's process restarts. The earlier process may have declared to a
// successor that there is no standby; the new one does not know and agrees. The
// holder must not take that as an agreement.
func TestTheAgreementOfARestartedDeputyDoesNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := func(incarnations ...int64) *turn {
		tn := &turn{Lessor: New(Config{Self: "a", Service: "lookup", Server: "s", Standby: true}), now: now}
		tn.auth, tn.epoch, tn.termEnd, tn.standbyAllowed = authHolding, 3, now.Add(time.Hour), true
		tn.record = Record{Epoch: 3, Holder: "a", Deputy: "b", Standby: true}
		for _, incarnation := range incarnations {
			tn.onClock(ClockMsg{From: "b", Epoch: 3, At: time.Second, Incarnation: incarnation})
		}
		return tn
	}
	yes := PromiseMsg{From: "b", Below: 4, StandbyAgreed: true, Incarnation: 7}

	tn := holder(7)
	tn.onPromise(yes)
	assert.Equal(t, tn.deputyAgreedEpoch, ident.Epoch(3))

	for name, incarnations := range map[string][]int64{
		"not known yet": {}, "another process": {6}, "restarted": {6, 7}, "a late question of the first": {7, 6, 7},
	} {
		tn := holder(incarnations...)
		tn.onPromise(yes)
		assert.Equal(t, tn.deputyAgreedEpoch, ident.Epoch(0), name)
	}
}
