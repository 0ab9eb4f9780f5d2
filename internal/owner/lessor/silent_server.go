package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// planRequestLead is how long before the expiry of a silent server's lease the
// planner is asked for new owners, so that the answer arrives in time.
const planRequestLead = 200 * time.Millisecond

// storeFreshFor is how recently the store must have answered before the keys of
// a silent server are written to others. The outcome of a write sent during an
// outage stays unknown until the store is back, and a server that returns
// meanwhile could not be given its keys again; a read that fails leaves nothing
// unknown.
const storeFreshFor = 500 * time.Millisecond

// watchServer detects a server that no longer answers. After the silence
// timeout it asks the deputy, which either reaches the server and takes over,
// or promises to stop. Once every lease has expired the keys may move.
func (t *turn) watchServer() {
	if !t.actsAsHolder() {
		return
	}
	since := later(t.srv.answeredAt, t.epochStartedAt)
	silentAt := since.Add(t.cfg.Times.SilenceTimeout)
	expireAt := later(t.srv.newestGrant.Expiry(t.cfg.Times), since.Add(t.cfg.Times.MaxRemaining())).Add(t.cfg.MoveDelay)
	if t.serverGone() {
		silentAt, expireAt = since, since
	}
	if (t.lease == leaseNone || t.lease == leaseHeld) && t.due(silentAt) {
		t.fire(leaseChart, &t.lease, "quiet")
	}
	if t.lease == leaseSilent {
		t.askDeputy()
		if t.due(expireAt) {
			t.fire(leaseChart, &t.lease, "lapse")
		}
	}
	if t.lease == leaseExpired {
		t.askDeputy()
	}
	t.requestPlan(expireAt)
}

// askDeputy asks our own deputy about the silent server.
func (t *turn) askDeputy() {
	if t.serverGone() && !t.standbyAllowed || t.record.Deputy == "" || t.deputyEnded() || t.ownedSet().Empty() || !t.due(t.deputyAskAt) {
		return
	}
	t.deputyAskAt = t.now.Add(deputyAskInterval)
	t.emit(SendCmd{To: t.record.Deputy, Msg: PrepareMsg{From: t.cfg.Self, Below: t.epoch + 1, Silent: true}})
}

// requestPlan asks the planner where the keys of a lost server should go.
func (t *turn) requestPlan(expireAt time.Time) {
	if t.lease != leaseSilent && t.lease != leaseExpired || t.move != moveIdle || len(t.lostPlan) > 0 || t.ownedSet().Empty() {
		return
	}
	if t.due(expireAt.Add(-planRequestLead)) && t.due(t.planRequestAt) {
		t.planRequestAt = t.now.Add(requestInterval)
		t.emit(PlanCmd{Server: t.cfg.Server, Lost: true})
		if t.now.Sub(t.storeAnsweredAt) > storeFreshFor-planRequestLead {
			t.readTable() // so that the store has answered recently when the plan is carried out
		}
	}
}

// markFromHeartbeat stores the server's clock reading that a holder passed on.
func (s *serverState) markFromHeartbeat(m server.Mark, now time.Time) {
	if s.mark.Read.IsZero() || m.Boot != s.mark.Boot || m.At > s.mark.At {
		s.mark.Mark, s.mark.Read, s.markAskedAt = m, now, now
	}
}
