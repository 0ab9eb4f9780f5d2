package lessor

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// raise brings the server's bar in the table up to our epoch (rule 4). From
// then on no update of an earlier holder can take a key from this server, and
// every full grant we give is from a revision that none of them can change.
func (t *turn) raise() {
	row, known := t.tab.Row(t.cfg.Server)
	switch {
	case t.tabVer == 0:
		t.readTable()
	case !known:
		t.storeAt = t.now.Add(storePause) // the server has not joined yet
	case t.cfg.flaw == flawBar || row.MinEpoch == t.epoch:
		t.fire(authorityChart, &t.auth, "barred")
		t.want, t.former = false, 0
		t.do(AcquiredCmd{Epoch: t.epoch})
		if t.stand == away {
			t.do(StandbyCmd{Epoch: t.epoch, To: t.by})
		}
	case row.MinEpoch > t.epoch:
		t.step("fenced", "the table names a later epoch")
	default:
		next, err := t.tab.WithMinEpoch(t.cfg.Server, t.epoch)
		if err != nil {
			t.readTable()
			return
		}
		t.putTable(next, table.Edit{Server: t.cfg.Server, Epoch: t.epoch})
	}
}

func (t *turn) readTable() {
	t.tabBusy = false
	t.storeAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.do(ReadTableCmd{})
}

// putTable writes the table. One write is under way at a time: news of other
// tables come meanwhile, and answering each of them with a write of its own made
// the store's calls grow with the square of the fleet.
func (t *turn) putTable(next table.Table, e table.Edit) {
	t.tabBusy = true
	t.storeAt = t.now.Add(2 * t.cfg.Times.StoreTimeout)
	t.do(PutTableCmd{Guard: t.guard(), Table: next, Old: t.tabVer, Edit: e})
}

func (t *turn) onTable(m TableMsg) {
	if m.Kind != kinds.None {
		t.missed = t.now
		t.down = t.down || m.Kind == kinds.Unavailable
		t.storeAt = t.now.Add(storePause)
		return
	}
	if m.Version != 0 {
		t.seen = t.now
	}
	if m.Table.Rev < t.tab.Rev {
		return // overtaken
	}
	if r, _ := m.Table.Row(t.cfg.Server); r.Rev != t.row().Rev && t.move == rest {
		t.srv.next = t.now // the server's set changed: grant it now, not at the next renewal
		t.planAt = t.now   // or give it away now, if it came to a server that is lost as well
	}
	if m.Table.Rev > t.tab.Rev || m.Version != 0 {
		t.tab, t.tabVer = m.Table, m.Version
		t.noteGiven(t.tab.Rev)
	}
	t.afterTable()
}

// Bounds of the wait after a write that came second. All seats of a service
// write one table: without a growing and scattered wait they would come second
// again and again.
const (
	clashFirst = 4 * time.Millisecond
	clashMost  = 256 * time.Millisecond
)

// clash waits before the next try. The scatter comes from a hash of the name
// and the try, since a decision module draws no random numbers.
func (t *turn) clash() {
	most := min(clashFirst<<min(t.clashes, 10), clashMost)
	t.clashes++
	h := xxhash.Sum64String(string(t.cfg.Self) + "/" + string(t.cfg.Server) + "/" + strconv.Itoa(t.clashes))
	t.storeAt = t.now.Add(time.Duration(h % uint64(most)))
}

func (t *turn) afterTable() {
	if row, _ := t.tab.Row(t.cfg.Server); t.epoch != 0 && row.MinEpoch > t.epoch && t.cfg.flaw != flawBar {
		if t.auth == holding || t.auth == barring {
			t.step("fenced", "the table names a later epoch")
			return
		}
	}
	if t.tabBusy || t.clashes > 0 && t.now.Before(t.storeAt) {
		return
	}
	t.nextTable()
}

// nextTable goes on with whatever waits for the table.
func (t *turn) nextTable() {
	switch {
	case t.auth == barring:
		t.raise()
	case t.move == writing:
		t.writeBatch()
	}
}

func (t *turn) onTablePut(m TablePutMsg) {
	t.tabBusy = false
	switch m.Kind {
	case kinds.None:
		t.down, t.clashes = false, 0
		t.wrote(m.Cmd.Edit, cmp.Or(m.Rev, m.Cmd.Table.Rev))
		if m.Cmd.Table.Rev < t.tab.Rev {
			t.afterTable() // a later table, which contains the write, came before the answer
			return
		}
		t.onTable(TableMsg{Table: m.Cmd.Table, Version: m.Version})
	case kinds.Unavailable:
		t.down = true
		t.storeAt = t.now.Add(storePause)
		t.certainlyNot(m)
	case kinds.Conflict:
		t.certainlyNot(m)
		if t.tabVer == m.Cmd.Old {
			t.tabVer = 0 // the table that came first is not known yet
		}
		t.clash()
	default:
		t.tabVer = 0
		t.b.hung = t.b.hung || m.Kind == kinds.Ambiguous
		if t.auth == barring || t.move == writing {
			t.readTable()
		}
	}
}

// certainlyNot ends the doubt about a write that neither happened nor will. One
// before it that was not answered leaves it in place (rule 13).
func (t *turn) certainlyNot(m TablePutMsg) {
	if m.Cmd.Table.Rev == t.b.rev && !t.b.hung {
		t.b.doubt = false
	}
}

// row is what the table says of this seat's server.
func (t *turn) row() table.Row {
	r, _ := t.tab.Row(t.cfg.Server)
	return r
}

// mayGrant reports whether a full grant is allowed now: only the holder, and
// only from a revision whose bar is its own epoch, or its own former one (rule 4).
//
// A holder that cannot learn whether its own next epoch was written goes on
// granting to a stand-by, and to nobody else: see reigns.
func (t *turn) mayGrant() bool {
	granting := t.auth == holding || t.stand == away && t.reigns()
	return granting && t.isBarred()
}

// isBarred reports whether the table that we know can only be changed for this
// server by us, and no stand-by of an earlier holder can have its keys. The bar of the
// epoch that we held until the present one does as well: nobody but us may write under it.
func (t *turn) isBarred() bool {
	bar := t.row().MinEpoch
	ours := bar == t.epoch || t.former != 0 && bar == t.former || t.cfg.flaw == flawBar
	return t.epoch >= t.floor && !t.lent && ours
}

// mayRenew reports whether a renewal is allowed now. It adds nothing, so any
// epoch that we hold will do, also while we replace it by a later one. Only a
// stand-by of an earlier epoch forbids it: see guard.go.
func (t *turn) mayRenew() bool { return t.epoch != 0 && t.epoch >= t.floor && !t.lent }
