package lessor

import "time"

// A holder that was replaced tells its successor so.
//
// The successor can be a process that knows nothing of it: the one that sent the
// write has ended, the write took effect later, and the next process on that VM
// had looked at the record before. The record then names a holder that does not
// act, every other VM sees that VM well, and the server's keys are served by
// nobody for good. The one that lost the seat to it is the only one that can
// tell. To a successor that does act, the same message is the promise that it
// would have asked for.
const (
	tellTimes = 5 // messages get lost; one that comes twice changes nothing
	tellPause = time.Second
)

func (t *turn) tellHeir() {
	heir := t.rec.Holder
	if t.tells == 0 || t.auth != idle || t.want || heir == "" || heir == t.cfg.Self || t.isGone(heir) || !t.due(t.tellAt) {
		return
	}
	t.tells--
	t.tellAt = t.now.Add(tellPause)
	t.promise(PrepareMsg{From: heir, Below: t.rec.Epoch})
}

// onTold makes a process look at the record that hears of an epoch which it does
// not know.
func (t *turn) onTold(m PromiseMsg) {
	if t.auth == idle && m.Below > t.rec.Epoch && m.Below > t.d.epoch+1 {
		t.want = true
	}
}
