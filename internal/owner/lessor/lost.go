package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// planAhead is how long before a silent server's lease runs out the planner is
// asked for new owners, so that the answer is there in time.
const planAhead = 200 * time.Millisecond

// storeFresh is how lately the store must have answered before the keys of a
// silent server are written to others. A write sent into an outage stays in
// doubt until the store is back, and a server that returns meanwhile could not
// be given its keys again; a read that fails leaves no doubt.
const storeFresh = 500 * time.Millisecond

// watchServer notices a server that no longer answers. After Silent it asks the
// deputy, which either reaches the server and takes over, or promises to stop;
// once every lease has run out the keys may go.
func (t *turn) watchServer() {
	if !t.reigns() {
		return
	}
	base := later(t.srv.heard, t.wonAt)
	quietAt := base.Add(t.cfg.Times.SilenceTimeout)
	lapseAt := later(t.srv.used.Expiry(t.cfg.Times), base.Add(t.cfg.Times.MaxRemaining())).Add(t.cfg.MoveDelay)
	if t.lost() {
		quietAt, lapseAt = base, base
	}
	if (t.lease == none || t.lease == held) && t.due(quietAt) {
		t.fire(leaseChart, &t.lease, "quiet")
	}
	if t.lease == silent {
		t.askDeputy()
		if t.due(lapseAt) {
			t.fire(leaseChart, &t.lease, "lapse")
		}
	}
	if t.lease == out {
		t.askDeputy()
	}
	t.askPlan(lapseAt)
}

// askDeputy asks our own deputy about the silent server.
func (t *turn) askDeputy() {
	if t.lost() && !t.stands || t.rec.Deputy == "" || t.deputyEnded() || t.owned().Empty() || !t.due(t.helpAt) {
		return
	}
	t.helpAt = t.now.Add(helpPause)
	t.do(SendCmd{To: t.rec.Deputy, Msg: PrepareMsg{From: t.cfg.Self, Below: t.epoch + 1, Silent: true}})
}

// askPlan asks where the keys of a lost server should go.
func (t *turn) askPlan(lapseAt time.Time) {
	if t.lease != silent && t.lease != out || t.move != rest || len(t.lostPlan) > 0 || t.owned().Empty() {
		return
	}
	if t.due(lapseAt.Add(-planAhead)) && t.due(t.planAt) {
		t.planAt = t.now.Add(askPause)
		t.do(PlanCmd{Server: t.cfg.Server, Lost: true})
		if t.now.Sub(t.seen) > storeFresh-planAhead {
			t.readTable() // so that the store has answered lately when the plan is carried out
		}
	}
}

// fromBeat takes the server's clock reading that a holder passed on.
func (c *contact) fromBeat(m server.Mark, now time.Time) {
	if c.mark.Read.IsZero() || m.Boot != c.mark.Boot || m.At > c.mark.At {
		c.mark.Mark, c.mark.Read, c.asked = m, now, now
	}
}
