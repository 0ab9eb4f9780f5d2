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

// A server is lost while one of its keys is hot. The plan gives the key and the
// slice that it hashes to to two servers, the slice first. Carried out in that
// order the table refuses the whole batch, again and again, and every key of the
// lost server has no owner until the hot one has cooled down.
func TestAHotKeyAndItsSliceCanLeaveTogether(t *testing.T) {
	const key = ident.Key("scale-7")
	x := ident.SliceOf(key, 2)
	tab, err := table.New("lookup", 2, "a", "b", "c")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "a"}, table.Move{Slice: 1, To: "a"})
	assert.NilError(t, err)
	at := &turn{}
	at.tab, at.cfg.Server = tab, "a"
	moves := at.sensible([]table.Move{{Slice: x, To: "b"}, {Slice: 1 - x, To: "c"}, {Slice: x, Key: key, To: "c"}})
	assert.Equal(t, len(moves), 3)
	next, err := tab.WithMoves("a", 0, moves...)
	assert.NilError(t, err)
	assert.Equal(t, next.OwnerOf(x), ident.Server("b"))
	assert.Assert(t, next.SetOf("a").Empty())
	owner, _ := table.NewView(next).Owner(key)
	assert.Equal(t, owner.Server, ident.Server("c"))
}

// A server is lost and its keys go to b, which is full at once and gives some of
// them on to c. The VM that gave them to b was slow: when it hears that its write
// took effect, the next one has already. If it names the table that it knows by
// then, the history of ownership says that b gave a key away before it had it,
// and whoever looks for the owner at some moment finds the wrong server.
func TestAMoveIsReportedUnderTheTableThatGaveIt(t *testing.T) {
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
			at := &turn{}
			at.cfg.Server, at.auth, at.move = "a", holding, writing
			at.tab, at.tabVer, at.tabBusy = first, 1, true
			at.b = batch{moves: cmd.Edit.Moves, rev: given.Rev, doubt: true, edit: cmd.Edit}
			for _, m := range answers {
				at.handle(m)
			}
			moved := slices.IndexFunc(at.cmds, func(c loop.Cmd) bool { _, ok := c.(MovedCmd); return ok })
			assert.Assert(t, moved >= 0, "%v", at.cmds)
			assert.Equal(t, at.cmds[moved].(MovedCmd).Rev, given.Rev)
		})
	}
}

// A VM that gives keys to another server loses its seat, or leaves, while the
// store's answer is on its way. The keys have moved; unless somebody says so, an
// operator who looks for the owner is told the server that gave them away.
func TestAMoveIsReportedAfterItsSeatWasLost(t *testing.T) {
	tab, err := table.New("lookup", 1, "a", "b")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(table.Move{To: "a"})
	assert.NilError(t, err)
	tab, err = tab.WithMinEpoch("a", 3)
	assert.NilError(t, err)
	row, _ := tab.Row("a")
	for name, end := range map[string]func(*turn){
		"another VM took it": func(at *turn) { at.step("fenced", "another VM took the seat over") },
		"this VM leaves":     func(at *turn) { at.leaving = true; at.now = at.now.Add(2 * leavePatience); at.runLeave() },
	} {
		t.Run(name, func(t *testing.T) {
			at := &turn{Lessor: New(Config{Server: "a"}), now: time.Unix(1000, 0)}
			at.leaveAt = at.now
			at.auth, at.move, at.epoch = holding, writing, 3
			at.tab, at.tabVer = tab, 1
			at.b.moves = []table.Move{{To: "b"}}
			at.writeBatch()
			put := at.cmds[0].(PutTableCmd)
			end(at)
			assert.Equal(t, at.move, rest)
			reports := func(msg loop.Msg) (all []MovedCmd) {
				_, cmds := at.Update(at.now, msg)
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
			next, _ := at.Update(at.now, done)
			_, again := next.Update(at.now, done)
			assert.Assert(t, !slices.ContainsFunc(again, func(c loop.Cmd) bool { _, ok := c.(MovedCmd); return ok }))
		})
	}
}
