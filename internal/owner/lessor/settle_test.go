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

// settling returns a holder whose server has just confirmed that it gave slice
// 0 up.
func settlingTurn(t *testing.T, f flaw) *turn {
	tab, err := table.New("lookup", 2, "a", "b")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "a"}, table.Move{Slice: 1, To: "a"})
	assert.NilError(t, err)
	tab, err = tab.WithMinEpoch("a", 1)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	w := &turn{Lessor: New(Config{Self: "vm", Service: "lookup", Server: "a", flaw: f}), now: now}
	w.auth, w.epoch, w.until = holding, 1, now.Add(time.Hour)
	w.tab, w.tabVer = tab, 1
	w.srv.mark = lease.Mark{Mark: server.Mark{Boot: 1, At: time.Minute}, Read: now}
	w.srv.used = w.srv.mark
	w.move = settling
	w.b = batch{moves: []table.Move{{Slice: 0, To: "b"}}, cut: cutRev | 1, confirmed: true}
	return w
}

func puts(cmds []loop.Cmd) int {
	n := 0
	for _, c := range cmds {
		if _, ok := c.(PutTableCmd); ok {
			n++
		}
	}
	return n
}

// A full grant was sent twice by the network. The copy arrives after the server
// confirmed a revocation; a server that does not check fences obeys it, and
// serves the scale again that is about to get another owner. Only a second look
// shows it.
func TestGrantObeyedAfterTheRevocationIsSeen(t *testing.T) {
	w := settlingTurn(t, flawNone)
	w.runBatch()
	assert.Equal(t, puts(w.cmds), 0, "gave the key away without a second look")
	w.onReply(ReplyMsg{
		Read:  ReadServerCmd{At: w.now},
		Reply: server.Reply{Done: true, Rev: 3, Left: time.Second / 2, Mark: server.Mark{Boot: 1, At: 2 * time.Minute}},
	})
	assert.Equal(t, w.move, revoking)
	assert.Equal(t, puts(w.cmds), 0)

	broken := settlingTurn(t, flawReadback)
	broken.runBatch()
	assert.Equal(t, puts(broken.cmds), 1, "the flaw must show in this test")
}
