package lessor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// settlingTurn returns a holder whose server has just confirmed that it gave up
// slice 0.
func settlingTurn(t *testing.T, f flaw) *turn {
	tab, err := table.New("lookup", 2, "a", "b")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "a"}, table.Move{Slice: 1, To: "a"})
	assert.NilError(t, err)
	tab, err = tab.WithMinEpoch("a", 1)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	tn := &turn{Lessor: New(Config{Self: "vm", Service: "lookup", Server: "a", flaw: f}), now: now}
	tn.auth, tn.epoch, tn.termEnd = authHolding, 1, now.Add(time.Hour)
	tn.table, tn.tableVer = tab, 1
	tn.srv.mark = lease.Mark{Mark: server.Mark{Boot: 1, At: time.Minute}, Read: now}
	tn.srv.newestGrant = tn.srv.mark
	tn.move = moveSettling
	tn.batch = batch{moves: []table.Move{{Slice: 0, To: "b"}}, remainingRev: reducedRevBit | 1, confirmed: true}
	return tn
}

func tableWrites(cmds []loop.Cmd) int {
	n := 0
	for _, c := range cmds {
		if _, ok := c.(PutTableCmd); ok {
			n++
		}
	}
	return n
}

// The network duplicated a full grant, and the copy arrives after the server confirmed a
// revocation. A server that does not check fences obeys it, and serves again a slice that is about
// to get another owner. Only the second read shows it.
func TestGrantObeyedAfterTheRevocationIsDetected(t *testing.T) {
	tn := settlingTurn(t, flawNone)
	tn.runBatch()
	assert.Equal(t, tableWrites(tn.cmds), 0, "moved the key without a second read")
	tn.onReply(ReplyMsg{
		Read:  ReadServerCmd{At: tn.now},
		Reply: server.Reply{Done: true, Rev: 3, Left: time.Second / 2, Mark: server.Mark{Boot: 1, At: 2 * time.Minute}},
	})
	assert.Equal(t, tn.move, moveRevoking)
	assert.Equal(t, tableWrites(tn.cmds), 0)

	broken := settlingTurn(t, flawNoReadBack)
	broken.runBatch()
	assert.Equal(t, tableWrites(broken.cmds), 1, "the flaw must show in this test")
}
