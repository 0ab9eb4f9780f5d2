package lessor

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Periods of trying again. They are short beside a lease, so that a take-over
// survives a lost message, and long beside a healthy answer.
const (
	storePause = 250 * time.Millisecond // after the store failed
	suspected  = 5 * time.Second        // how long a suspicion counts
)

type suspect struct {
	vm    ident.VM
	until time.Time
}

func (t *turn) onPlan(m RoleMsg) {
	// The first plan makes a fresh process look whether its predecessor on this
	// VM held the seat: the roster sees the VM live, so nobody else would act.
	if !t.planned || m.Lead && !t.plan.Lead {
		t.want = true
	}
	t.plan, t.planned = m, true
}

func (t *turn) onSuspect(m SuspectMsg) {
	kept := make([]suspect, 0, len(t.suspects)+1)
	for _, s := range t.suspects {
		if s.vm != m.VM && t.now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	t.suspects = append(kept, suspect{vm: m.VM, until: t.now.Add(suspected)})
	t.want = t.want || t.plan.Lead
}

// onRelieve notes whom to take the seat over from. Like a suspicion it only makes
// the lead look, but a suspicion counts for seconds: two VMs that both take
// themselves for the lead would pass the seat to and fro all that time.
func (t *turn) onRelieve(m TakeOverMsg) {
	if t.plan.Lead && !t.leaving {
		t.relieve, t.want = m.VM, true
	}
}

// wants reports whether the record, as just read, should be replaced by one
// that names us.
func (t *turn) wants() bool {
	if t.leaving {
		return false
	}
	if t.d.state == renewing || t.d.called {
		return t.d.epoch >= t.rec.Epoch
	}
	h := t.rec.Holder
	return h == t.cfg.Self || t.plan.Lead && (h == "" || h == t.relieve || t.isGone(h) || t.isSuspect(h))
}

func (t *turn) isSuspect(vm ident.VM) bool {
	for _, s := range t.suspects {
		if s.vm == vm && t.now.Before(s.until) {
			return true
		}
	}
	return false
}

// seekIfWanted starts a take-over.
func (t *turn) seekIfWanted() {
	if t.auth != idle || t.leaving {
		return
	}
	wanted := t.want || t.d.state == renewing || t.d.called
	if wanted && t.due(t.storeAt) {
		t.fire(authorityChart, &t.auth, "seek")
		t.readRecord()
	}
}

func (t *turn) readRecord() {
	t.storeAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.do(ReadRecordCmd{At: t.now})
}

func (t *turn) onRecord(m RecordMsg) {
	if m.Kind != kinds.None && m.Kind != kinds.NotFound {
		t.storeFailed()
		return
	}
	if m.Version < t.ver || m.Version == 0 && m.Cmd.At.IsZero() {
		return // an answer that was overtaken
	}
	t.rec, t.ver, t.recAt = m.Record, m.Version, t.now
	t.down, t.seen = false, t.now
	if t.d.epoch < t.rec.Epoch {
		t.endDeputy() // the epoch that we were deputy of is over
	}
	ours := t.putting && t.rec.Token == t.put.Record.Token
	if t.epoch != 0 && t.rec.Epoch > t.epoch && !ours {
		t.step("fenced", "another VM took the seat over")
		return
	}
	t.afterRead()
}

func (t *turn) afterRead() {
	switch t.auth {
	case reading:
		wants := t.wants()
		t.relieve = ""
		if !wants {
			t.want, t.d.called = false, false
			t.fire(authorityChart, &t.auth, "absent")
			return
		}
		t.fire(authorityChart, &t.auth, "write")
		t.claim()
		t.write(t.nextRecord())
	case doubting:
		t.judge()
	case holding:
		t.judgeRefresh()
	}
}

// storeFailed notes that a call to the store certainly did nothing.
func (t *turn) storeFailed() {
	t.down = true
	t.storeAt = t.now.Add(storePause)
	if t.auth == reading {
		t.relieve = ""
		t.fire(authorityChart, &t.auth, "absent")
	}
}

// nextRecord is the record that makes this VM the holder, over the one that was
// read. Every member of an earlier epoch that may still act stays listed: in
// the careful mode nothing else holds them back.
func (t *turn) nextRecord() Record {
	old := t.rec
	t.pastEnd = t.cfg.Times.PriorAuthorityEnd(t.recAt, max(old.Term, t.cfg.Times.Term))
	r := Record{
		V: RecordVersion, Epoch: max(old.Epoch+1, t.floor), Holder: t.cfg.Self,
		Deputy: t.plan.Deputy, Term: t.cfg.Times.Term, Token: t.newToken(),
	}
	if r.Deputy == t.cfg.Self || t.isGone(r.Deputy) {
		r.Deputy = ""
	}
	r.Stand = t.cfg.Standby && r.Deputy != ""
	for _, m := range append(old.members(), old.Past...) {
		if t.longEnded(m) {
			continue
		}
		m.Stand = m.Stand && !t.knownClean(m)
		r.Past = append(r.Past, m)
	}
	return r
}

// members lists who may act under the record's own epoch.
func (r Record) members() []Member {
	var out []Member
	if r.Holder != "" {
		out = append(out, Member{VM: r.Holder, Epoch: r.Epoch, Stand: r.Stand})
	}
	if r.Deputy != "" {
		out = append(out, Member{VM: r.Deputy, Epoch: r.Epoch, Deputy: true})
	}
	return out
}

func (t *turn) write(r Record) {
	t.put = PutRecordCmd{Record: r, Old: t.ver, At: t.now}
	t.putting, t.hung = true, false
	t.storeAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.do(t.put)
}

func (t *turn) onRecordPut(m RecordPutMsg) {
	if !t.putting || m.Cmd.Record.Token != t.put.Record.Token {
		return
	}
	if t.cfg.flaw == flawDoubt && m.Kind == kinds.Ambiguous {
		m.Kind, m.Version = kinds.None, t.put.Old+1
	}
	switch {
	case m.Kind == kinds.None:
		t.rec, t.ver, t.down = t.put.Record, max(t.ver, m.Version), false
		t.settlePut()
	case m.Kind == kinds.Unavailable && !t.hung:
		t.putFailed()
	default:
		t.down = t.down || m.Kind == kinds.Ambiguous
		// Also a conflict needs a look: the write that came first can be our
		// own, sent before with its answer lost.
		t.doubt()
	}
}

func (t *turn) settlePut() {
	t.putting = false
	t.storeAt = t.now
	if t.auth == taking || t.auth == doubting {
		t.won()
		return
	}
	if t.auth == holding {
		t.extend()
	}
}

// putFailed is for a write that certainly did not happen.
func (t *turn) putFailed() {
	t.putting = false
	t.storeFailed()
	if t.auth != taking {
		return
	}
	if t.epoch != 0 {
		t.fire(authorityChart, &t.auth, "keep")
		return
	}
	t.fire(authorityChart, &t.auth, "refused")
}

// doubt reads back after a write whose fate is not known. Until the record
// shows it, the write can still take effect, so a later attempt that certainly
// failed does not end the doubt.
func (t *turn) doubt() {
	t.hung = true
	if t.auth == taking {
		t.fire(authorityChart, &t.auth, "doubt")
	}
	t.readRecord()
}

// judge decides a doubtful take-over from the record that was read back.
func (t *turn) judge() {
	switch {
	case t.rec.Token == t.put.Record.Token:
		t.settlePut()
	case t.ver == t.put.Old:
		// Not written yet. The same write again is safe: it and a late first one
		// name the same version, so one of them at most takes effect.
		t.fire(authorityChart, &t.auth, "again")
		t.storeAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
		t.do(t.put)
	default:
		t.putting = false
		t.drop("lost", "another VM took the seat first")
	}
}

// won begins the epoch that the store has confirmed.
func (t *turn) won() {
	t.fire(authorityChart, &t.auth, "won")
	t.want, t.d.called, t.tells = false, false, 0
	t.former = 0
	written := t.tabBusy || t.b.doubt || t.b.hung // may still give keys away under its bar
	if t.epoch != 0 && t.row().MinEpoch == t.epoch && !written {
		t.former = t.epoch
	}
	t.epoch = t.put.Record.Epoch
	t.until = t.cfg.Times.AuthorityEnd(t.put.At, t.put.Record.Term)
	t.wonAt = t.now
	t.tabBusy, t.clashes = false, 0
	t.freshAt = t.now.Add(t.cfg.Times.Term / 3)
	t.told, t.echo, t.echoBorn, t.beatAt = time.Time{}, 0, 0, t.now
	t.srv.begin(t.now)
	t.endBatch()
	t.beginOthers()
	t.beginStand()
	t.endDeputy()
	if t.epoch < t.floor {
		t.step("fenced", "promised never to act under this epoch")
		return
	}
	t.raise()
}

// retryStore goes on after a call that nobody answered.
func (t *turn) retryStore() {
	switch t.auth {
	case reading:
		if t.due(t.storeAt) {
			t.storeFailed()
		}
	case taking, doubting:
		if t.due(t.storeAt) {
			t.doubt()
		}
	case barring:
		t.retryTable()
	case holding:
		if t.putting && t.due(t.storeAt) {
			t.readRecord()
		}
	}
}

// retryTable goes on after a wait, with the newest table where it is known.
func (t *turn) retryTable() {
	if !t.due(t.storeAt) {
		return
	}
	if t.tabBusy || t.clashes == 0 || t.tabVer == 0 {
		t.readTable()
		return
	}
	t.nextTable()
}
