package table

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func smallTable(t testing.TB) Table {
	tab, err := New("lookup", 8, "b", "a")
	assert.NilError(t, err)
	tab, err = tab.WithAssigned(Move{Slice: 0, To: "a"}, Move{Slice: 1, To: "a"}, Move{Slice: 2, To: "b"})
	assert.NilError(t, err)
	tab, err = tab.WithMinEpoch("a", 3)
	assert.NilError(t, err)
	return tab
}

// A lessor that was paused for long still uses its old epoch and gives away keys that its
// successor grants. Two servers would then own one key.
func TestMoveUnderAnotherEpochIsFenced(t *testing.T) {
	tab := smallTable(t)
	for _, e := range []ident.Epoch{2, 4} {
		_, err := tab.WithMoves("a", e, Move{Slice: 0, To: "b"})
		assert.Equal(t, kinds.Of(err), kinds.Fenced)
	}
	_, err := tab.WithMinEpoch("a", 2)
	assert.Equal(t, kinds.Of(err), kinds.Fenced)
	next, err := tab.WithMoves("a", 3, Move{Slice: 0, To: "b"})
	assert.NilError(t, err)
	assert.Equal(t, next.OwnerOf(0), ident.Server("b"))
	assert.Equal(t, tab.OwnerOf(0), ident.Server("a"), "the old table changed")
}

func TestEditsRefuseWhatWouldLoseAnOwner(t *testing.T) {
	tab := smallTable(t)
	_, err := tab.WithMoves("a", 3, Move{Slice: 2, To: "b"})
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	_, err = tab.WithMoves("a", 3, Move{Slice: 0, To: "nobody"})
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	_, err = tab.WithAssigned(Move{Slice: 0, To: "b"})
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	_, err = tab.WithoutServer("a")
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	more, err := tab.WithServer("aa")
	assert.NilError(t, err)
	assert.Equal(t, more.OwnerOf(2), ident.Server("b"))
	less, err := more.WithoutServer("aa")
	assert.NilError(t, err)
	assert.Equal(t, less.OwnerOf(2), ident.Server("b"))
}

func TestHotKeyLeavesItsSliceAndReturns(t *testing.T) {
	tab := smallTable(t)
	var k ident.Key
	for i := 0; tab.From(Move{Key: k}) != "a" || k == ""; i++ {
		k = ident.Key(fmt.Sprint("scale-", i))
	}
	hot, err := tab.WithMoves("a", 3, Move{Key: k, To: "b"})
	assert.NilError(t, err)
	o, ok := NewView(hot).Owner(k)
	assert.Assert(t, ok && o.Hot && o.Server == "b" && o.Rev == hot.Rev)
	assert.DeepEqual(t, hot.SetOf("a").Except, []ident.Key{k})
	assert.DeepEqual(t, hot.SetOf("b").Keys, []ident.Key{k})
	back, err := hot.WithMoves("b", 0, Move{Key: k})
	assert.NilError(t, err)
	o, ok = NewView(back).Owner(k)
	assert.Assert(t, ok && !o.Hot && o.Server == "a" && o.Epoch == 3)
	row, _ := back.Row("a")
	assert.Equal(t, row.Rev, back.Rev, "the slice's owner must be granted the key again")
}

// An older program reads a table written by a newer one during a rolling update. If it
// guessed at the content, a key could get two owners.
func TestDecodeReportsANewerFormat(t *testing.T) {
	b, err := wire.Encode(map[string]any{"v": Format + 1, "own": "something else"})
	assert.NilError(t, err)
	_, err = Decode(b)
	assert.Equal(t, kinds.Of(err), kinds.NewerVersion)
}

// Any sequence of edits must survive encoding, and applying the difference between two
// revisions to the older one must give the newer one.
func TestCodecAndDeltaFollowEveryEdit(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		tab := smallTable(t)
		all := []Table{tab}
		for range rapid.IntRange(0, 12).Draw(rt, "edits") {
			if next, err := randomEdit(rt, tab); err == nil {
				assert.Assert(rt, next.Rev == tab.Rev+1)
				tab = next
				all = append(all, tab)
			}
		}
		b, err := tab.Encode()
		assert.NilError(rt, err)
		got, err := Decode(b)
		assert.NilError(rt, err)
		assert.Equal(rt, got.Digest(), tab.Digest())
		for _, old := range all[:len(all)-1] {
			b, err := Diff(old, tab).Encode()
			assert.NilError(rt, err)
			d, err := DecodeDelta(b)
			assert.NilError(rt, err)
			got, err := old.Apply(d)
			assert.NilError(rt, err)
			assert.Equal(rt, got.Digest(), tab.Digest())
			_, err = tab.Apply(d)
			assert.Equal(rt, kinds.Of(err), kinds.Conflict)
		}
	})
}

func randomEdit(rt *rapid.T, t Table) (Table, error) {
	name := func() ident.Server { return rapid.SampledFrom([]ident.Server{"a", "b", "c", "aa"}).Draw(rt, "server") }
	m := Move{Slice: ident.Slice(rapid.IntRange(0, 7).Draw(rt, "slice")), To: name()}
	switch rapid.IntRange(0, 5).Draw(rt, "edit") {
	case 0:
		return t.WithServer(name())
	case 1:
		return t.WithoutServer(name())
	case 2:
		return t.WithMinEpoch(name(), ident.Epoch(rapid.IntRange(0, 9).Draw(rt, "epoch")))
	case 3:
		m.Key = rapid.SampledFrom([]ident.Key{"k1", "k2", "k3"}).Draw(rt, "key")
		if rapid.Bool().Draw(rt, "back") {
			m.To = ""
		}
	case 4:
		return t.WithAssigned(m)
	}
	from := t.From(m)
	row, _ := t.Row(from)
	return t.WithMoves(from, row.MinEpoch, m)
}

func FuzzDecode(f *testing.F) {
	b, err := smallTable(f).Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		tab, err := Decode(b)
		if err != nil {
			return
		}
		again, err := tab.Encode()
		assert.NilError(t, err)
		same, err := Decode(again)
		assert.NilError(t, err)
		assert.Equal(t, same.Digest(), tab.Digest())
		NewView(tab).Owner("k")
	})
}

func FuzzDelta(f *testing.F) {
	a := smallTable(f)
	c, err := a.WithMoves("a", 3, Move{Slice: 0, To: "b"})
	assert.NilError(f, err)
	b, err := Diff(a, c).Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := DecodeDelta(b)
		if err != nil {
			return
		}
		d.BaseDigest = a.Digest()
		if got, err := a.Apply(d); err == nil {
			assert.Equal(t, got.Digest(), d.ResultDigest)
		}
	})
}

func largeTable(b testing.TB) Table {
	names := make([]ident.Server, 500)
	for i := range names {
		names[i] = ident.Server(fmt.Sprintf("viewer-%03d", i))
	}
	t, err := New("viewer", 1<<16, names...)
	assert.NilError(b, err)
	for x := range t.owners {
		t.owners[x] = uint16(x%500 + 1)
	}
	for i := range 44 {
		t.Hot = append(t.Hot, Hot{Key: ident.Key(fmt.Sprintf("ward-%02d", i)), Server: names[i]})
	}
	return t
}

func TestOwnerDoesNotAllocate(t *testing.T) {
	v := NewView(largeTable(t))
	assert.Equal(t, testing.AllocsPerRun(100, func() { v.Owner("ward-17") }), 0.0)
}

func BenchmarkOwner(b *testing.B) {
	v := NewView(largeTable(b))
	keys := make([]ident.Key, 1024)
	for i := range keys {
		keys[i] = ident.Key(fmt.Sprintf("ward-%d", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v.Owner(keys[i%len(keys)])
	}
}

func BenchmarkMoveEncodeDecode(b *testing.B) {
	t := largeTable(b)
	for b.Loop() {
		next, _ := t.WithMoves("viewer-000", 0, Move{Slice: 0, To: "viewer-001"})
		raw, _ := next.Encode()
		b.ReportMetric(float64(len(raw)), "bytes")
		if _, err := Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDelta(b *testing.B) {
	t := largeTable(b)
	next, _ := t.WithMoves("viewer-000", 0, Move{Slice: 0, To: "viewer-001"})
	for b.Loop() {
		raw, _ := Diff(t, next).Encode()
		b.ReportMetric(float64(len(raw)), "bytes")
	}
}

// A hot key stays on its server while its slice moves away: its neighbours leave it, not the
// other way round. If it were not pinned, it would move along, and plans would carry it from
// server to server.
func TestAHotKeyStaysWhileItsSliceMoves(t *testing.T) {
	tab, err := New("svc", 4, "a", "b")
	assert.NilError(t, err)
	x := ident.SliceOf("busy", 4)
	tab, err = tab.WithAssigned(Move{Slice: x, To: "a"})
	assert.NilError(t, err)
	held, err := tab.WithMoves("a", 0, Move{Key: "busy", To: "a"}, Move{Slice: x, To: "b"})
	assert.NilError(t, err)
	o, _ := NewView(held).Owner("busy")
	assert.Equal(t, o.Server, ident.Server("a"))
	assert.Equal(t, held.OwnerOf(x), ident.Server("b"))
	joined, err := held.WithMoves("a", 0, Move{Key: "busy", To: "b"})
	assert.NilError(t, err)
	assert.Equal(t, len(joined.Hot), 0)
}
