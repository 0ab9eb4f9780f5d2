package lessor

import "time"

// A replaced holder notifies its successor that it is the holder now.
//
// The successor can be a process that does not know it: an earlier process on
// its VM sent the write and ended, the write took effect later, and the present
// process had read the record before. The record then names a holder that does
// not act, every other VM sees that VM as healthy, and the server's keys stay
// unserved for good. Only the replaced holder can notify the successor. To a
// successor that does act, the same message is the promise that it would have
// asked for.
const (
	successorNotices        = 5 // messages get lost; a duplicate changes nothing
	successorNoticeInterval = time.Second
)

func (t *turn) notifySuccessor() {
	successor := t.record.Holder
	if t.successorNoticesLeft == 0 || t.auth != authIdle || t.checkRecord || successor == "" || successor == t.cfg.Self || t.vmIsGone(successor) || !t.due(t.successorNoticeAt) {
		return
	}
	t.successorNoticesLeft--
	t.successorNoticeAt = t.now.Add(successorNoticeInterval)
	t.sendPromise(PrepareMsg{From: successor, Below: t.record.Epoch})
}

// onUnknownEpoch makes this process read the record when a message names an
// epoch that it does not know.
func (t *turn) onUnknownEpoch(m PromiseMsg) {
	if t.auth == authIdle && m.Below > t.record.Epoch && m.Below > t.deputy.epoch+1 {
		t.checkRecord = true
	}
}
