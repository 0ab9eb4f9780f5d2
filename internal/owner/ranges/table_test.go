package ranges

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func drawTable(t *rapid.T) Table {
	tab := NewTable(400)
	tab.Epoch = rapid.Uint64Range(0, 1<<40).Draw(t, "epoch")
	names := []ident.Server{"", "a", "b", "c"}
	for range rapid.IntRange(0, 30).Draw(t, "splits") {
		tab.Split(rapid.IntRange(0, len(tab.Rows)-1).Draw(t, "row"))
	}
	for i := range tab.Rows {
		if i%17 == 0 {
			r := &tab.Rows[i]
			r.Owner = rapid.SampledFrom(names).Draw(t, "owner")
			r.PrevOwner = rapid.SampledFrom(names).Draw(t, "from")
			r.Incarnation = rapid.Int64Range(0, 1<<41).Draw(t, "born")
			r.Fence = tab.NextFence()
		}
	}
	return tab
}

func TestATableRoundTripsThroughItsEncoding(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		tab := drawTable(t)
		b, err := tab.Encode()
		assert.NilError(t, err)
		back, err := Decode(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, tab)
	})
}

func TestRowsCoverEveryKeyOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		tab := drawTable(t)
		next := 0
		for _, r := range tab.Rows {
			assert.Equal(t, int(r.First), next)
			assert.Assert(t, r.Len() >= CellWidth && r.Len()%CellWidth == 0)
			next = int(r.Last) + 1
		}
		assert.Equal(t, next, KeySpace)
		key := rapid.Uint16().Draw(t, "key")
		r := tab.Rows[tab.Find(key)]
		assert.Assert(t, r.First <= key && key <= r.Last)
	})
}

// A faulty writer stored a table with a gap. If it were accepted, the keys in the gap would
// have no owner and nobody would notice.
func TestATableWithAGapIsRefused(t *testing.T) {
	for _, text := range []string{
		``, `{}`, `{"rows":[]}`, `{"rows":[[4,0,0,0,0]]}`, `{"rows":[[0,0,0,-1,0]]}`,
		`{"rows":[[0,0,0,0,0],[0,0,0,0,0]]}`, `{"rows":[[0,0,0,9223372036854775807,0]]}`, `{"rows":[[0,0,0,0,0],[70000,0,0,0,0]]}`,
	} {
		_, err := Decode([]byte(text))
		assert.Assert(t, err != nil, text)
	}
	_, err := Decode([]byte(`{"rows":[[0,0,0,0,0]]}`))
	assert.NilError(t, err)
}

// One stored row names a server that is not listed, or has a fence above Top. If the whole
// table were rejected, every key of the service would stay without its owner for good.
func TestAnInvalidRowDoesNotAffectTheOthers(t *testing.T) {
	tab, err := Decode([]byte(`{"epoch":3,"top":5,"servers":["a"],"rows":[[0,1,7,4,0],[16,2,7,9,1],[32,1,7,5,2],[48,-1,7,3,0]]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, tab, Table{Epoch: 3, Top: 9, Rows: []Row{
		{Span: Span{First: 0, Last: 15}, Owner: "a", Incarnation: 7, Fence: 4},
		{Span: Span{First: 16, Last: 31}, Fence: 9, Lost: true},
		{Span: Span{First: 32, Last: 47}, Owner: "a", Incarnation: 7, Fence: 5, Lost: true},
		{Span: Span{First: 48, Last: KeySpace - 1}, Fence: 3, Lost: true},
	}})
	assert.Equal(t, tab.LostRows(), 3)
	b, err := tab.Encode()
	assert.NilError(t, err)
	back, err := Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, tab)
}

// With many servers, wide rows would give some of them twice the keys of others, or none;
// with few servers, narrow rows cost an order each without any benefit.
func TestANewTableHasEnoughRowsForItsServers(t *testing.T) {
	for servers, rows := range map[int]int{0: 256, 1: 256, 17: 256, 32: 256, 33: 512, 64: 512, 65: 1024, 400: 1024} {
		tab := NewTable(servers)
		assert.Equal(t, len(tab.Rows), rows, "%d servers", servers)
		assert.Equal(t, tab.Rows[rows-1].Last, uint16(KeySpace-1))
	}
}

func TestSplittingStopsAtMaxRows(t *testing.T) {
	tab := NewTable(400)
	for i := 0; i < len(tab.Rows); i++ {
		for tab.Split(i) {
			continue
		}
	}
	assert.Assert(t, len(tab.Rows) <= MaxRows)
}

// A VM receives changes, misses some and then gets the full view. It must see the same
// owners as a VM that received every change.
func TestChangesAndAFullViewAgree(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		var all *View
		for seq := range uint64(rapid.IntRange(1, 10).Draw(t, "changes")) {
			first := rapid.Uint16Range(0, KeySpace/CellWidth-2).Draw(t, "first")
			last := rapid.Uint16Range(first, KeySpace/CellWidth-1).Draw(t, "last")
			name := rapid.SampledFrom([]ident.Server{"", "a", "b", "c"}).Draw(t, "server")
			span := Span{First: first * CellWidth, Last: last*CellWidth + CellWidth - 1}
			all = all.Apply(1, seq+1, false, []Assignment{{Span: span, Server: name}})
		}
		var whole *View
		whole = whole.Apply(1, all.Seq, true, all.Spans())
		key := ident.Key(strconv.Itoa(int(rapid.Uint16().Draw(t, "key"))))
		a, okA := all.Owner(key)
		b, okB := whole.Owner(key)
		assert.Equal(t, okA, okB)
		assert.Equal(t, a.Server, b.Server)
	})
}

// One VM leads for months while servers come and go, and the others receive only changes.
// Once there had been 65,536 servers, the next one's keys were reported as another server's,
// and every request for them was sent to a server that does not have them.
func TestAViewNamesTheRightServerAfterManyServersHadTheKeys(t *testing.T) {
	const many = 1 << 16
	var v *View
	whole := func(i int) []Assignment {
		return []Assignment{
			{Span: Span{First: 0, Last: KeySpace/2 - 1}, Server: ident.Server("s-" + strconv.Itoa(i))},
			{Span: Span{First: KeySpace / 2, Last: KeySpace - 1}, Server: "stays"},
		}
	}
	v = v.Apply(1, 1, true, whole(0))
	for i := 1; i <= many+1; i++ {
		v = v.Apply(1, uint64(i)+1, false, whole(i)[:1])
		if i%1000 != 0 && i < many-1 {
			continue
		}
		a, ok := v.Owner("1")
		assert.Assert(t, ok)
		assert.Equal(t, a.Server, whole(i)[0].Server)
		b, _ := v.Owner("65535")
		assert.Equal(t, b.Server, ident.Server("stays"))
	}
	assert.Assert(t, len(v.names) <= minCompactNames)
}

// As many servers as cells have keys at the same time, which is more than minCompactNames.
func TestAViewHoldsOneServerPerCell(t *testing.T) {
	var all []Assignment
	for i := range KeySpace / CellWidth {
		all = append(all, Assignment{Span: Span{First: uint16(i * CellWidth), Last: uint16(i*CellWidth + CellWidth - 1)}, Server: ident.Server("s-" + strconv.Itoa(i))})
	}
	var v *View
	v = v.Apply(1, 1, true, all)
	assert.DeepEqual(t, v.Spans(), all)
	v = v.Apply(1, 2, false, []Assignment{{Span: Span{First: 0, Last: KeySpace - 1}, Server: "one"}})
	assert.Equal(t, len(v.Spans()), 1)
}

func TestAnInvalidKeyHasNoOwner(t *testing.T) {
	var v *View
	v = v.Apply(1, 1, true, []Assignment{{Span: Span{First: 0, Last: 65535}, Server: "a"}})
	for _, k := range []ident.Key{"", "-1", "65536", "x", "1.5", " 1"} {
		_, ok := v.Owner(k)
		assert.Assert(t, !ok, k)
	}
	o, ok := v.Owner("65535")
	assert.Assert(t, ok)
	assert.Equal(t, o.Server, ident.Server("a"))
	var none *View
	_, ok = none.Owner("1")
	assert.Assert(t, !ok)
}

func BenchmarkOwner(b *testing.B) {
	var v *View
	v = v.Apply(1, 1, true, []Assignment{{Span: Span{First: 0, Last: 65535}, Server: "a"}})
	b.ReportAllocs()
	for b.Loop() {
		v.Owner("12345")
	}
}
