package lessor_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/world"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
)

// standing returns a world of three data centres whose seats allow stand-bys,
// with one rule broken, once all of them are held.
func standing(checks bool, f lessor.Flaw) *world.World {
	o := world.Options{Seed: 5, VMs: 4, FenceChecks: checks, Standby: true, Skew: 5}
	o.NewLessor = func(c lessor.Config) loop.Model { return lessor.New(lessor.WithFlaw(c, f)) }
	w := world.New(o)
	w.Run(3 * time.Second)
	return w
}

// cutOff breaks every link to a server. It lives, and serves until its lease
// ends.
func cutOff(w *world.World, s *world.Server, d time.Duration) {
	for _, v := range w.VMs {
		w.Partition(string(v.ID), string(s.Name), d)
	}
}

// A backend server dies while the store is down for twenty seconds. Another one
// serves its scales within a second; when the store is back they are written to
// that one, and a driver who stands at the scale notices no second change.
func TestAStandByServesUntilTheStoreIsBack(t *testing.T) {
	for _, checks := range []bool{false, true} {
		w := standing(checks, lessor.Flaws["none"])
		s := w.Servers[0]
		w.Store.Down(20 * time.Second)
		w.Run(w.Now() + time.Second)
		lost := w.Now()
		s.Kill(-1)
		w.Run(lost + 5*time.Second)
		by := w.StandBy(s.Name)
		assert.Assert(t, by != nil, "nobody stands by")
		assert.Equal(t, w.Store.Table().OwnerOf(0), s.Name, "the store is down and cannot know")
		w.Run(lost + 40*time.Second)
		assert.Equal(t, w.Store.Table().OwnerOf(0), by.Name)
		assert.Assert(t, w.StandBy(s.Name) == nil, "it still serves under the other's seat")
		assert.Assert(t, w.Unavailable(0, lost, w.Now()) < time.Second, "%v", w.Unavailable(0, lost, w.Now()))
		assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
	}
}

// A holder's deputy is replaced, and the store goes down while the holder writes
// down the next one. Whether that was written nobody can know before the store is
// back, and meanwhile a backend server dies. Its scales must be served by a
// stand-by all the same: a holder that only waits for the store leaves the drivers
// at them with nothing for the whole outage.
func TestAStandByServesWhenTheStoreWentDownInARetake(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, checks := range []bool{false, true} {
			w := standing(checks, lessor.Flaws["none"])
			s := w.Servers[0]
			interruptRetake(t, w, s, written)
			w.Run(w.Now() + time.Second)
			lost := w.Now()
			s.Kill(-1)
			w.Run(lost + 5*time.Second)
			by := w.StandBy(s.Name)
			assert.Assert(t, by != nil, "nobody stands by")
			w.Run(lost + 40*time.Second)
			assert.Equal(t, w.Store.Table().OwnerOf(0), by.Name)
			assert.Assert(t, w.StandBy(s.Name) == nil, "it still serves under the other's seat")
			assert.Assert(t, w.Unavailable(0, lost, w.Now()) < 1500*time.Millisecond, "%v", w.Unavailable(0, lost, w.Now()))
			assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
		}
	}
}

// interruptRetake takes the store away while the holder of a server's seat names
// another deputy, before that is written or before it is told so.
func interruptRetake(t *testing.T, w *world.World, s *world.Server, written bool) {
	t.Helper()
	holder, rec := beginRetake(t, w, s)
	if written {
		w.Partition(string(holder.ID), "store", time.Second) // the answer, not what is on its way to the store
		w.Run(w.Now() + 100*time.Millisecond)
	}
	w.Store.Down(20 * time.Second)
	assert.Equal(t, w.Store.Record(s.Name).Epoch > rec.Epoch, written)
}

// beginRetake makes the holder of a server's seat name another deputy. It returns
// the holder when the write is on its way, and the record before it.
func beginRetake(t *testing.T, w *world.World, s *world.Server) (*world.VM, lessor.Record) {
	t.Helper()
	rec := w.Store.Record(s.Name)
	holder, next := w.VMs[0], ident.VM("")
	for _, v := range w.VMs {
		switch v.ID {
		case rec.Holder:
			holder = v
		case rec.Deputy:
		default:
			next = v.ID
		}
	}
	holder.Send(s.Name, lessor.RoleMsg{Lead: true, Deputy: next})
	for end := w.Now() + time.Second; w.Now() < end; w.Run(w.Now() + 50*time.Microsecond) {
		if holder.Lessor(s.Name).(lessor.Lessor).Status().Authority == "taking" {
			return holder, rec
		}
	}
	t.Fatal("the holder never named another deputy")
	return nil, rec
}

// The store goes down a moment later in the same retake: the next epoch is written,
// its bar in the table is not. Drivers must not wait for the store then either.
func TestAStandByServesWhenTheStoreWentDownBeforeTheBar(t *testing.T) {
	w := standing(false, lessor.Flaws["none"])
	s := w.Servers[0]
	holder, _ := beginRetake(t, w, s)
	for holder.Lessor(s.Name).(lessor.Lessor).Status().Authority != "barring" {
		w.Run(w.Now() + 50*time.Microsecond)
	}
	w.Store.Down(20 * time.Second)
	w.Run(w.Now() + time.Second)
	s.Kill(-1)
	w.Run(w.Now() + 5*time.Second)
	assert.Assert(t, w.StandBy(s.Name) != nil, "nobody stands by")
}

// The stand-by dies as well, in the same outage. The next one is not granted the
// keys before its lease has run out, and then within a second.
func TestAStandByThatIsLostIsStoodByFor(t *testing.T) {
	w := standing(false, lessor.Flaws["none"])
	s := w.Servers[0]
	w.Store.Down(20 * time.Second)
	w.Run(w.Now() + time.Second)
	s.Kill(-1)
	w.Run(w.Now() + 3*time.Second)
	first := w.StandBy(s.Name)
	assert.Assert(t, first != nil, "nobody stands by")
	lost := w.Now()
	first.Kill(-1)
	w.Run(lost + 3*time.Second)
	second := w.StandBy(s.Name)
	assert.Assert(t, second != nil && second != first, "nobody stands by for the stand-by")
	assert.Assert(t, w.Unavailable(0, lost, w.Now()) < 1500*time.Millisecond, "%v", w.Unavailable(0, lost, w.Now()))
	assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
}

// A stand-by has the keys of a server that is lost. The platform then lists that
// server as gone, and the store comes back. The keys must not go to others at
// once because "their server is gone": the stand-by serves them.
func TestAStandByIsNotGoneWithItsServer(t *testing.T) {
	for name, early := range map[string]bool{"none": false, "gone": true} {
		w := standing(false, lessor.Flaws[name])
		s := w.Servers[0]
		w.Store.Down(8 * time.Second)
		w.Run(w.Now() + time.Second)
		s.Kill(-1)
		w.Run(w.Now() + 3*time.Second)
		assert.Assert(t, w.StandBy(s.Name) != nil, "nobody stands by")
		for _, v := range w.VMs {
			v.Send(s.Name, lessor.ServerGoneMsg{})
		}
		w.Run(w.Now() + 15*time.Second)
		assert.Assert(t, w.Store.Table().SetOf(s.Name).Empty(), "the keys must have moved")
		assert.Equal(t, len(w.Check()) > 0, early, "%s: %v", name, w.Check())
	}
}

// The holder alone is cut off from the store and from its server, and lets
// another one stand by. Its deputy, which agreed, reaches both, and the server
// is well. Taking over, it must not renew or grant anything before the holder is
// known to have ended: a scale would have two owners for seconds.
func TestASuccessorWaitsForTheStandBy(t *testing.T) {
	for name, early := range map[string]bool{"none": false, "forget": true} {
		w := standing(false, lessor.Flaws[name])
		s := w.Servers[0]
		rec := w.Store.Record(s.Name)
		w.Partition(string(rec.Holder), "store", 20*time.Second)
		cutOff(w, s, 1500*time.Millisecond)
		w.Partition(string(rec.Holder), string(s.Name), 20*time.Second)
		w.Run(w.Now() + 1600*time.Millisecond)
		assert.Assert(t, w.StandBy(s.Name) != nil, "nobody stands by")
		for _, v := range w.VMs {
			w.Partition(string(rec.Holder), string(v.ID), 10*time.Second)
		}
		w.Run(w.Now() + 9*time.Second)
		next := w.Store.Record(s.Name)
		assert.Assert(t, next.Epoch > rec.Epoch && next.Holder != rec.Holder, "nobody took over")
		assert.Equal(t, len(w.Check()) > 0, early, "%s: %v", name, w.Check())
		w.Run(w.Now() + 15*time.Second)
		for x := range 6 {
			assert.Assert(t, early || w.Served(x), "slice %d is served by nobody", x)
		}
	}
}

// The holder alone is cut off from the store and from its server. A third VM takes
// the seat over, has the deputy's word that nobody stands by, and renews the server.
// The holder then asks the same deputy. If it let another server stand by for all
// that the deputy has not agreed, a scale would have two owners.
func TestAHolderLendsNothingAfterItsDeputyGaveItsWord(t *testing.T) {
	for _, checks := range []bool{false, true} {
		for name, two := range map[string]bool{"none": false, "agree": true} {
			w := standing(checks, lessor.Flaws[name])
			s := w.Servers[0]
			rec := w.Store.Record(s.Name)
			var third *world.VM
			for _, v := range w.VMs {
				if v.ID != rec.Holder && v.ID != rec.Deputy {
					third = v
					w.Partition(string(rec.Holder), string(v.ID), 10*time.Second)
				}
			}
			for _, to := range []string{"store", string(s.Name)} {
				w.Partition(string(rec.Holder), to, 10*time.Second)
			}
			third.Send(s.Name, lessor.RoleMsg{Lead: true, Deputy: rec.Deputy})
			third.Send(s.Name, lessor.TakeOverMsg{VM: rec.Holder})
			w.Run(w.Now() + 5*time.Second)
			assert.Equal(t, w.Store.Record(s.Name).Holder, third.ID, "nobody took over")
			all := strings.Join(w.Check(), "\n")
			assert.Equal(t, strings.Contains(all, "two owners"), two, "%s, checks=%v: %s", name, checks, all)
		}
	}
}

// The record says that a stand-by is allowed. A program of before stand-bys must
// not take the seat over; a record without one it can still read.
func TestARecordWithAStandByIsOfALaterFormat(t *testing.T) {
	for _, r := range []lessor.Record{
		{Epoch: 3, Holder: "a", Deputy: "b"},
		{Epoch: 3, Holder: "a", Deputy: "b", Stand: true},
		{Epoch: 4, Holder: "a", Past: []lessor.Member{{VM: "b", Epoch: 3, Stand: true}}},
	} {
		b, err := r.Encode()
		assert.NilError(t, err)
		got, err := lessor.DecodeRecord(b)
		assert.NilError(t, err)
		plain := !r.Stand && len(r.Past) == 0
		assert.Equal(t, got.V == 1, plain)
		got.V = 0
		assert.DeepEqual(t, got, r)
	}
}
