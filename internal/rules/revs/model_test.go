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

// encodedRevisions returns the stored bytes of revisions 1 to n at the indexes 1 to n.
func encodedRevisions(t assert.TestingT, n int) [][]byte {
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

func ruleNames(r *Record) string {
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
	assert.Equal(t, ruleNames(cur), "acb")
	step(Move(cur, edit(3), "b", Position{First: true}))
	assert.Equal(t, ruleNames(cur), "bac")
	step(Put(cur, edit(4), rule("a"), Position{}))
	assert.Equal(t, ruleNames(cur), "bac")
	step(Move(cur, edit(5), "b", Position{Last: true}))
	assert.Equal(t, ruleNames(cur), "acb")
	old := cur
	step(Remove(cur, edit(6), "c"))
	assert.Equal(t, ruleNames(cur), "ab")
	assert.Equal(t, ruleNames(old), "acb")
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
	assert.ErrorContains(t, err, "based on revision 3, but revision 7")
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	_, err = Put(cur, edit(7), match.Rule{Name: "bad"}, Position{})
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
	_, err = Put(cur, Edit{Seen: 7}, rule("x"), Position{})
	assert.Equal(t, kinds.Of(err), kinds.BadRequest)
}

// A newer version of the program has written rules with conditions that this one does not
// know. Reading only the known parts would let a rule match more requests than its author
// meant, so the record is rejected as a whole.
func TestRulesOfANewerFormatAreRejected(t *testing.T) {
	raw, err := wire.Encode(Record{FormatVersion: FormatVersion + 1, Rev: 3})
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

// testVM runs one model together with its holder.
type testVM struct {
	Model
	holder  Holder
	alarms  []AlarmCmd
	fetches []FetchCmd
}

func (v *testVM) update(now time.Time, msg loop.Msg) {
	next, cmds := v.Update(now, msg)
	v.Model = next.(Model)
	for _, c := range cmds {
		switch c := c.(type) {
		case ApplyCmd:
			v.holder.Apply(c.Snap)
		case ServeCmd:
			v.holder.SetState(c.State)
		case AlarmCmd:
			v.alarms = append(v.alarms, c)
		case FetchCmd:
			v.fetches = append(v.fetches, c)
		}
	}
}

// A VM loses the network to the store and to all peers while an operator forbids
// something. It cannot learn of it, so it must stop answering within the limit of 7 s; the
// load balancer then sends callers to other VMs.
func TestIsolatedVMStopsServing(t *testing.T) {
	var v testVM
	raw := encodedRevisions(t, 1)
	v.update(t0, LoadedMsg{Raw: raw[1]})
	assert.Equal(t, v.holder.State(), Isolated)
	v.update(t0, ContactMsg{Store: true})
	assert.Equal(t, v.holder.State(), Serve)
	v.update(t0.Add(3*time.Second), ContactMsg{Live: 10, Heard: 5})
	v.update(t0.Add(4*time.Second-1), TickMsg{})
	assert.Equal(t, v.holder.State(), Serve)
	v.update(t0.Add(4*time.Second), TickMsg{})
	assert.Equal(t, v.holder.State(), Isolated)
	v.update(t0.Add(time.Minute), ContactMsg{Live: 10, Heard: 6})
	assert.Equal(t, v.holder.State(), Serve)
}

// The process is paused for ten seconds while a contact report waits. Contact before the
// pause must not count as current: an operator may have forbidden something meanwhile.
func TestContactBeforeAPauseDoesNotCount(t *testing.T) {
	var v testVM
	v.update(t0, LoadedMsg{Raw: encodedRevisions(t, 1)[1]})
	v.update(t0, ContactMsg{Store: true, At: t0})
	assert.Equal(t, v.holder.State(), Serve)
	v.update(t0.Add(10*time.Second), ContactMsg{Store: true, At: t0.Add(time.Second)})
	assert.Equal(t, v.holder.State(), Isolated)
	v.update(t0.Add(11*time.Second), ContactMsg{Store: true, At: t0.Add(10900 * time.Millisecond)})
	assert.Equal(t, v.holder.State(), Serve)
}

// The store is down for hours while the VMs hear each other. No revision can be accepted
// meanwhile, so the VMs must keep serving.
func TestAnOutageOfTheStoreAloneStopsNobody(t *testing.T) {
	var v testVM
	v.update(t0, LoadedMsg{Raw: encodedRevisions(t, 1)[1]})
	for i := range 3600 {
		v.update(t0.Add(time.Duration(i)*time.Second), ContactMsg{Live: 10, Heard: 9})
		assert.Equal(t, v.holder.State(), Serve)
	}
}

// A VM learns of a revision but nobody delivers it. It must request it again, stop
// answering before the limit, and serve again once it has the revision.
func TestVMThatCannotGetTheNewestRevisionStops(t *testing.T) {
	var v testVM
	raw := encodedRevisions(t, 2)
	v.update(t0, LoadedMsg{Raw: raw[1]})
	v.update(t0, HeardMsg{From: "vm2", Rev: 2, Sum: digest.Of(raw[2])})
	for i := range 39 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		v.update(now, ContactMsg{Store: true})
		v.update(now, TickMsg{})
		assert.Equal(t, v.holder.State(), Serve)
	}
	assert.Assert(t, len(v.fetches) >= 7, "%d", len(v.fetches))
	v.update(t0.Add(3900*time.Millisecond), LoadedMsg{From: "vm3", Raw: raw[1]})
	v.update(t0.Add(4*time.Second), TickMsg{})
	assert.Equal(t, v.holder.State(), Behind)
	v.update(t0.Add(5*time.Second), LoadedMsg{Raw: raw[2]})
	assert.Equal(t, v.holder.State(), Serve)
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(2))
}

// A VM starts while the store is down, and a peer that was cut off offers old rules. The
// VM was told of a newer revision and must wait for that one.
func TestNewVMWaitsForTheNewestAnnouncedRevision(t *testing.T) {
	var v testVM
	raw := encodedRevisions(t, 3)
	v.update(t0, HeardMsg{From: "vm2", Rev: 3, Sum: digest.Of(raw[3])})
	v.update(t0, LoadedMsg{From: "vm3", Raw: raw[2]})
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(0))
	other, err := Open(raw[3])
	assert.NilError(t, err)
	other.Note = "another"
	forged, err := other.Encode()
	assert.NilError(t, err)
	v.update(t0, LoadedMsg{From: "vm2", Raw: forged})
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(0))
	assert.Equal(t, len(v.alarms), 1)
	v.update(t0, LoadedMsg{From: "vm2", Raw: raw[3]})
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(3))
	v.update(t0, LoadedMsg{Raw: raw[1]})
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(3))
	assert.ErrorContains(t, v.alarms[1].Err, "went back")
	v.update(t0, HeardMsg{From: "vm4", Rev: 3, Sum: digest.Of(forged)})
	assert.ErrorContains(t, v.alarms[2].Err, "two different contents")
}

// A faulty peer announces a revision that was never accepted. The VM must ask the store
// before it stops, and keep serving; a newer revision found only in the store's answer is
// applied as usual.
func TestARevisionThatTheStoreDoesNotHaveStopsNobody(t *testing.T) {
	var v testVM
	raw := encodedRevisions(t, 3)
	v.update(t0, LoadedMsg{Raw: raw[1]})
	v.update(t0, HeardMsg{From: "vm2", Rev: 900, Sum: digest.Of(raw[3])})
	asked := 0
	for i := range 100 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		v.update(now, ContactMsg{Store: true})
		v.fetches = nil
		v.update(now, TickMsg{})
		for _, c := range v.fetches {
			if c.From == "" {
				asked++
				v.update(now, LoadedMsg{Raw: raw[2]})
			}
		}
		assert.Equal(t, v.holder.State(), Serve, "after %v", now.Sub(t0))
	}
	assert.Equal(t, asked, 1)
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(2))
	assert.ErrorContains(t, v.alarms[0].Err, "does not have")
	v.update(t0.Add(time.Minute), HeardMsg{From: "vm2", Rev: 3, Sum: digest.Of(raw[3])})
	v.update(t0.Add(time.Minute), LoadedMsg{From: "vm2", Raw: raw[3]})
	assert.Equal(t, v.holder.Current().Rev, ident.Revision(3))
}

// Messages about revisions arrive late, twice, out of order and from peers that are
// behind. The revision in force must never decrease, and no VM may serve that has known of
// a newer revision for the limit.
func TestTheRevisionInForceOnlyRises(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		const most = 6
		raw := encodedRevisions(t, most)
		var v testVM
		now, known, knownAt := t0, 0, t0
		last := ident.Revision(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, most).Draw(t, "rev")
			from := rapid.SampledFrom([]ident.VM{"", "vm2", "vm3"}).Draw(t, "from")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				v.update(now, HeardMsg{From: from, Rev: ident.Revision(n), Sum: digest.Of(raw[n])})
				if n > max(known, int(v.Rev())) {
					if known <= int(v.Rev()) {
						knownAt = now
					}
					known = n
				}
			case 1:
				alarms := len(v.alarms)
				v.update(now, LoadedMsg{From: from, Raw: raw[n]})
				if len(v.alarms) > alarms && kinds.Of(v.alarms[alarms].Err) == kinds.NotFound {
					known = 0
				}
			case 2:
				v.update(now, ContactMsg{Store: true})
			default:
				v.update(now, TickMsg{})
			}
			rev := v.holder.Current().Rev
			assert.Assert(t, rev >= last, "went back from %d to %d", last, rev)
			assert.Equal(t, rev, v.Rev())
			last = rev
			if known > int(rev) && now.Sub(knownAt) >= DefaultLimits.Behind {
				assert.Assert(t, v.holder.State() != Serve)
			}
			if rev == 0 {
				assert.Equal(t, v.holder.State(), Empty)
			}
		}
	})
}

func TestHolderRejectsSnapshotsThatAreNotNewer(t *testing.T) {
	var h Holder
	raw := encodedRevisions(t, 2)
	one, err := Open(raw[1])
	assert.NilError(t, err)
	two, err := Open(raw[2])
	assert.NilError(t, err)
	_, ok := h.Current().Set.Match(&match.Request{Path: "/r0"})
	assert.Assert(t, !ok)
	assert.Assert(t, h.Apply(two))
	assert.Assert(t, !h.Apply(one))
	assert.Assert(t, !h.Apply(two))
	_, ok = h.Current().Set.Match(&match.Request{Path: "/r1"})
	assert.Assert(t, ok)
}

// FuzzOpen looks for stored bytes that crash a VM instead of being rejected.
func FuzzOpen(f *testing.F) {
	for _, raw := range encodedRevisions(f, 3)[1:] {
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
