package lessor

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/table"
)

// A lost server has a hot key, and the plan moves the key and its slice to two servers, the slice
// first. In that order the table refuses the whole batch each time, and every key of the lost
// server has no owner until the hot key has cooled down.
func TestHotKeyAndItsSliceCanMoveTogether(t *testing.T) {
	const key = ident.Key("scale-7")
	x := ident.SliceOf(key, 2)
	tab, err := table.New("lookup", 2, "a", "b", "c")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "a"}, table.Move{Slice: 1, To: "a"})
	assert.NilError(t, err)
	tn := &turn{}
	tn.table, tn.cfg.Server = tab, "a"
	moves := tn.applicable([]table.Move{{Slice: x, To: "b"}, {Slice: 1 - x, To: "c"}, {Slice: x, Key: key, To: "c"}})
	assert.Equal(t, len(moves), 3)
	next, err := tab.WithMoves("a", 0, moves...)
	assert.NilError(t, err)
	assert.Equal(t, next.OwnerOf(x), ident.Server("b"))
	assert.Assert(t, next.SetOf("a").Empty())
	owner, _ := table.NewView(next).Owner(key)
	assert.Equal(t, owner.Server, ident.Server("c"))
}

// The keys of a lost server move to b, which is full at once and moves some on to c before the
// first VM learns that its own write took effect. If that VM reported the newest table it knows,
// the ownership history would say that b gave a key away before it had it.
func TestMoveIsReportedWithTheRevisionThatMadeIt(t *testing.T) {
	first, err := table.New("lookup", 1, "a", "b", "c")
	assert.NilError(t, err)
	first, err = first.WithAssigned(table.Move{To: "a"})
	assert.NilError(t, err)
	given, err := first.WithMoves("a", 0, table.Move{To: "b"})
	assert.NilError(t, err)
	on, err := given.WithMoves("b", 0, table.Move{To: "c"})
	assert.NilError(t, err)
	cmd := PutTableCmd{Table: given, Edit: table.Edit{Server: "a", Moves: []table.Move{{To: "b"}}}}
	for name, answers := range map[string][]loop.Msg{
		"answer after the next table": {TableMsg{Table: on}, TablePutMsg{Cmd: cmd, Version: 2, Rev: given.Rev}},
		"the next table in the answer": {
			TablePutMsg{Cmd: PutTableCmd{Table: on, Edit: cmd.Edit}, Version: 3, Rev: given.Rev},
		},
		"lost answer, seen in time": {
			TableMsg{Table: given},
			TableMsg{Table: on},
			TablePutMsg{Cmd: cmd, Kind: kinds.Ambiguous},
			TableMsg{Table: on, Version: 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tn := &turn{}
			tn.cfg.Server, tn.auth, tn.move = "a", authHolding, moveWriting
			tn.table, tn.tableVer, tn.tableWritePending = first, 1, true
			tn.batch = batch{moves: cmd.Edit.Moves, writeRev: given.Rev, uncertain: true, edit: cmd.Edit}
			for _, m := range answers {
				tn.handle(m)
			}
			moved := slices.IndexFunc(tn.cmds, func(c loop.Cmd) bool { _, ok := c.(MovedCmd); return ok })
			assert.Assert(t, moved >= 0, "%v", tn.cmds)
			assert.Equal(t, tn.cmds[moved].(MovedCmd).Rev, given.Rev)
		})
	}
}

// A VM that moves keys loses its authority, or shuts down, before the store's
// answer arrives. The keys have moved; unless the move is reported, the
// ownership history names the server that gave them away.
func TestMoveIsReportedAfterTheAuthorityWasLost(t *testing.T) {
	tab, err := table.New("lookup", 1, "a", "b")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(table.Move{To: "a"})
	assert.NilError(t, err)
	tab, err = tab.WithMinEpoch("a", 3)
	assert.NilError(t, err)
	row, _ := tab.Row("a")
	for name, end := range map[string]func(*turn){
		"another VM took it": func(tn *turn) { tn.stepDown("fenced", "another VM took over") },
		"this VM leaves":     func(tn *turn) { tn.leaving = true; tn.now = tn.now.Add(2 * leaveWriteTimeout); tn.runLeave() },
	} {
		t.Run(name, func(t *testing.T) {
			tn := &turn{Lessor: New(Config{Server: "a"}), now: time.Unix(1000, 0)}
			tn.leaveStartedAt = tn.now
			tn.auth, tn.move, tn.epoch = authHolding, moveWriting, 3
			tn.table, tn.tableVer = tab, 1
			tn.batch.moves = []table.Move{{To: "b"}}
			tn.writeBatch()
			put := tn.cmds[0].(PutTableCmd)
			end(tn)
			assert.Equal(t, tn.move, moveIdle)
			reports := func(msg loop.Msg) (all []MovedCmd) {
				_, cmds := tn.Update(tn.now, msg)
				for _, c := range cmds {
					if m, ok := c.(MovedCmd); ok {
						all = append(all, m)
					}
				}
				return all
			}
			other := put
			other.Edit.Epoch++
			assert.Equal(t, len(reports(TablePutMsg{Cmd: other, Version: 2})), 0, "the write of another batch")
			assert.Equal(t, len(reports(TablePutMsg{Cmd: put, Kind: kinds.Ambiguous})), 0, "nobody knows")
			done := TablePutMsg{Cmd: put, Version: 2, Rev: row.Rev + 7}
			want := []MovedCmd{{Moves: []table.Move{{To: "b"}}, Epoch: 3, Rev: row.Rev + 7}}
			assert.DeepEqual(t, reports(done), want)
			next, _ := tn.Update(tn.now, done)
			_, again := next.Update(tn.now, done)
			assert.Assert(t, !slices.ContainsFunc(again, func(c loop.Cmd) bool { _, ok := c.(MovedCmd); return ok }))
		})
	}
}
