package revs

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/digest"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

var t0 = time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)

func rule(name string) match.Rule {
	return match.Rule{Name: name, When: match.When{Path: "/" + name}, Then: match.Then{Service: "lookup"}}
}

func edit(seen ident.Revision) Edit {
	return Edit{Seen: seen, Author: "op", Note: "n", Token: "t" + strconv.Itoa(int(seen)), At: t0}
}

// raws returns the stored bytes of revisions 1 to n.
func raws(t assert.TestingT, n int) [][]byte {
	out := [][]byte{nil}
	var cur *Record
	for i := range n {
		next, err := Put(cur, edit(ident.Revision(i)), rule("r"+strconv.Itoa(i)), Position{First: true})
		assert.NilError(t, err)
		raw, err := next.Encode()
		assert.NilError(t, err)
		out, cur = append(out, raw), next
	}
	return out
}

func names(r *Record) string {
	s := ""
	for _, x := range r.Rules {
		s += x.Name
	}
	return s
}

func TestEditsKeepTheOrderThatTheOperatorAskedFor(t *testing.T) {
	var cur *Record
	step := func(next *Record, err error) {
		t.Helper()
		assert.NilError(t, err)
		cur = next
	}
	step(Put(cur, edit(0), rule("a"), Position{}))
	step(Put(cur, edit(1), rule("b"), Position{}))
	step(Put(cur, edit(2), rule("c"), Position{Before: "b"}))
	assert.Equal(t, names(cur), "acb")
	step(Move(cur, edit(3), "b", Position{First: true}))
	assert.Equal(t, names(cur), "bac")
	step(Put(cur, edit(4), rule("a"), Position{}))
	assert.Equal(t, names(cur), "bac")
	step(Move(cur, edit(5), "b", Position{Last: true}))
	assert.Equal(t, names(cur), "acb")
	old := cur
	step(Remove(cur, edit(6), "c"))
	assert.Equal(t, names(cur), "ab")
	assert.Equal(t, names(old), "acb")
	assert.Equal(t, cur.Rev, ident.Revision(7))
	for _, f := range []func() (*Record, error){
		func() (*Record, error) { return Move(cur, edit(7), "z", Position{First: true}) },
		func() (*Record, error) { return Remove(cur, edit(7), "z") },
		func() (*Record, error) { return Put(cur, edit(7), rule("x"), Position{Before: "z"}) },
	} {
		_, err := f()
		assert.Equal(t, kinds.Of(err), kinds.NotFound)
	}
	_, err := Remove(cur, edit(3), "a")
	assert.ErrorContains(t, err, "made on revision 3, in force is 7")
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	_, err = Put(cur, edit(7), match.Rule{Name: "bad"}, Position{})
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
	_, err = Put(cur, Edit{Seen: 7}, rule("x"), Position{})
	assert.Equal(t, kinds.Of(err), kinds.BadRequest)
}

// A newer version of the program has written rules with conditions that this
// one does not know. Reading them as far as it understands would let a rule
// match more than its author meant, so they are refused as a whole.
func TestRulesOfANewerFormAreRefused(t *testing.T) {
	raw, err := wire.Encode(Record{Form: FormatVersion + 1, Rev: 3})
	assert.NilError(t, err)
	_, err = Open(raw)
	assert.Equal(t, kinds.Of(err), kinds.NewerVersion)
	_, err = Open([]byte{0xff})
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
	raw, err = wire.Encode(Record{})
	assert.NilError(t, err)
	_, err = Open(raw)
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
}

// vm drives one model and its book by hand.
type vm struct {
	Model
	book  Holder
	alarm []AlarmCmd
	fetch []FetchCmd
}

func (v *vm) do(now time.Time, msg loop.Msg) {
	next, cmds := v.Update(now, msg)
	v.Model = next.(Model)
	for _, c := range cmds {
		switch c := c.(type) {
		case ApplyCmd:
			v.book.Apply(c.Snap)
		case ServeCmd:
			v.book.SetState(c.State)
		case AlarmCmd:
			v.alarm = append(v.alarm, c)
		case FetchCmd:
			v.fetch = append(v.fetch, c)
		}
	}
}

// An entry VM loses the network to the store and to all its peers while an
// operator forbids something. It cannot know, so it stops answering in time for
// the bound of 7 s; callers are sent to other VMs by the balancer.
func TestAVMThatHearsNobodyStops(t *testing.T) {
	var v vm
	raw := raws(t, 1)
	v.do(t0, LoadedMsg{Raw: raw[1]})
	assert.Equal(t, v.book.State(), Alone)
	v.do(t0, ContactMsg{Store: true})
	assert.Equal(t, v.book.State(), Serve)
	v.do(t0.Add(3*time.Second), ContactMsg{Live: 10, Heard: 5})
	v.do(t0.Add(4*time.Second-1), TickMsg{})
	assert.Equal(t, v.book.State(), Serve)
	v.do(t0.Add(4*time.Second), TickMsg{})
	assert.Equal(t, v.book.State(), Alone)
	v.do(t0.Add(time.Minute), ContactMsg{Live: 10, Heard: 6})
	assert.Equal(t, v.book.State(), Serve)
}

// The process is paused for ten seconds just after it looked around, and what it
// saw is handled when it goes on. It must not count as seen now: meanwhile an
// operator may have forbidden what this VM still allows.
func TestWhatWasSeenBeforeAPauseIsOld(t *testing.T) {
	var v vm
	v.do(t0, LoadedMsg{Raw: raws(t, 1)[1]})
	v.do(t0, ContactMsg{Store: true, At: t0})
	assert.Equal(t, v.book.State(), Serve)
	v.do(t0.Add(10*time.Second), ContactMsg{Store: true, At: t0.Add(time.Second)})
	assert.Equal(t, v.book.State(), Alone)
	v.do(t0.Add(11*time.Second), ContactMsg{Store: true, At: t0.Add(10900 * time.Millisecond)})
	assert.Equal(t, v.book.State(), Serve)
}

// The store is down for hours and nothing else is wrong. The VMs hear each
// other, nothing can be accepted meanwhile, and no caller notices anything.
func TestAnOutageOfTheStoreAloneStopsNobody(t *testing.T) {
	var v vm
	v.do(t0, LoadedMsg{Raw: raws(t, 1)[1]})
	for i := range 3600 {
		v.do(t0.Add(time.Duration(i)*time.Second), ContactMsg{Live: 10, Heard: 9})
		assert.Equal(t, v.book.State(), Serve)
	}
}

// A VM hears of a revision and nobody who has it answers. It asks again, and
// stops answering before the bound; with the revision it answers again.
func TestAVMThatCannotGetTheNewestStops(t *testing.T) {
	var v vm
	raw := raws(t, 2)
	v.do(t0, LoadedMsg{Raw: raw[1]})
	v.do(t0, HeardMsg{From: "vm2", Rev: 2, Sum: digest.Of(raw[2])})
	for i := range 39 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		v.do(now, ContactMsg{Store: true})
		v.do(now, TickMsg{})
		assert.Equal(t, v.book.State(), Serve)
	}
	assert.Assert(t, len(v.fetch) >= 7, "%d", len(v.fetch))
	v.do(t0.Add(3900*time.Millisecond), LoadedMsg{From: "vm3", Raw: raw[1]})
	v.do(t0.Add(4*time.Second), TickMsg{})
	assert.Equal(t, v.book.State(), Behind)
	v.do(t0.Add(5*time.Second), LoadedMsg{Raw: raw[2]})
	assert.Equal(t, v.book.State(), Serve)
	assert.Equal(t, v.book.Current().Rev, ident.Revision(2))
}

// A VM starts while the store is down. One peer that was itself cut off offers
// old rules; the VM has already been told of newer ones and waits for those.
func TestANewVMTakesTheNewestItHeardOf(t *testing.T) {
	var v vm
	raw := raws(t, 3)
	v.do(t0, HeardMsg{From: "vm2", Rev: 3, Sum: digest.Of(raw[3])})
	v.do(t0, LoadedMsg{From: "vm3", Raw: raw[2]})
	assert.Equal(t, v.book.Current().Rev, ident.Revision(0))
	other, err := Open(raw[3])
	assert.NilError(t, err)
	other.Note = "another"
	forged, err := other.Encode()
	assert.NilError(t, err)
	v.do(t0, LoadedMsg{From: "vm2", Raw: forged})
	assert.Equal(t, v.book.Current().Rev, ident.Revision(0))
	assert.Equal(t, len(v.alarm), 1)
	v.do(t0, LoadedMsg{From: "vm2", Raw: raw[3]})
	assert.Equal(t, v.book.Current().Rev, ident.Revision(3))
	v.do(t0, LoadedMsg{Raw: raw[1]})
	assert.Equal(t, v.book.Current().Rev, ident.Revision(3))
	assert.ErrorContains(t, v.alarm[1].Err, "went back")
	v.do(t0, HeardMsg{From: "vm4", Rev: 3, Sum: digest.Of(forged)})
	assert.ErrorContains(t, v.alarm[2].Err, "two contents")
}

// A faulty peer announces a revision that was never accepted. The VM asks the
// store before it stops, and goes on; a true revision that only the store's
// answer shows is applied as ever.
func TestARevisionThatTheStoreDoesNotHaveStopsNobody(t *testing.T) {
	var v vm
	raw := raws(t, 3)
	v.do(t0, LoadedMsg{Raw: raw[1]})
	v.do(t0, HeardMsg{From: "vm2", Rev: 900, Sum: digest.Of(raw[3])})
	asked := 0
	for i := range 100 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		v.do(now, ContactMsg{Store: true})
		v.fetch = nil
		v.do(now, TickMsg{})
		for _, c := range v.fetch {
			if c.From == "" {
				asked++
				v.do(now, LoadedMsg{Raw: raw[2]})
			}
		}
		assert.Equal(t, v.book.State(), Serve, "after %v", now.Sub(t0))
	}
	assert.Equal(t, asked, 1)
	assert.Equal(t, v.book.Current().Rev, ident.Revision(2))
	assert.ErrorContains(t, v.alarm[0].Err, "does not have")
	v.do(t0.Add(time.Minute), HeardMsg{From: "vm2", Rev: 3, Sum: digest.Of(raw[3])})
	v.do(t0.Add(time.Minute), LoadedMsg{From: "vm2", Raw: raw[3]})
	assert.Equal(t, v.book.Current().Rev, ident.Revision(3))
}

// Messages about revisions come late, twice, out of order and from peers that
// are behind. The revision in force only rises, and an answering VM that has
// known of a newer one for the limit does not exist.
func TestTheRevisionInForceOnlyRises(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		const most = 6
		raw := raws(t, most)
		var v vm
		now, known, knownAt := t0, 0, t0
		last := ident.Revision(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, most).Draw(t, "rev")
			from := rapid.SampledFrom([]ident.VM{"", "vm2", "vm3"}).Draw(t, "from")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				v.do(now, HeardMsg{From: from, Rev: ident.Revision(n), Sum: digest.Of(raw[n])})
				if n > max(known, int(v.Rev())) {
					if known <= int(v.Rev()) {
						knownAt = now
					}
					known = n
				}
			case 1:
				alarms := len(v.alarm)
				v.do(now, LoadedMsg{From: from, Raw: raw[n]})
				if len(v.alarm) > alarms && kinds.Of(v.alarm[alarms].Err) == kinds.NotFound {
					known = 0
				}
			case 2:
				v.do(now, ContactMsg{Store: true})
			default:
				v.do(now, TickMsg{})
			}
			rev := v.book.Current().Rev
			assert.Assert(t, rev >= last, "went back from %d to %d", last, rev)
			assert.Equal(t, rev, v.Rev())
			last = rev
			if known > int(rev) && now.Sub(knownAt) >= DefaultLimits.Behind {
				assert.Assert(t, v.book.State() != Serve)
			}
			if rev == 0 {
				assert.Equal(t, v.book.State(), Empty)
			}
		}
	})
}

func TestBookRefusesWhatIsNotNewer(t *testing.T) {
	var b Holder
	raw := raws(t, 2)
	one, err := Open(raw[1])
	assert.NilError(t, err)
	two, err := Open(raw[2])
	assert.NilError(t, err)
	_, ok := b.Current().Set.Match(&match.Request{Path: "/r0"})
	assert.Assert(t, !ok)
	assert.Assert(t, b.Apply(two))
	assert.Assert(t, !b.Apply(one))
	assert.Assert(t, !b.Apply(two))
	_, ok = b.Current().Set.Match(&match.Request{Path: "/r1"})
	assert.Assert(t, ok)
}

// FuzzOpen looks for stored bytes that crash a VM instead of being refused.
func FuzzOpen(f *testing.F) {
	for _, raw := range raws(f, 3)[1:] {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Open(raw)
		if err != nil {
			return
		}
		_, err = s.Encode()
		assert.NilError(t, err)
		s.Set.Match(&match.Request{Path: "/r0", Method: "GET"})
	})
}
