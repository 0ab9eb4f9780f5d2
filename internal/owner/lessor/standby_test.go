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

// newStandbyWorld returns a simulated fleet in three data centres that allows
// standbys, with one rule broken, once every server has a holder.
func newStandbyWorld(checks bool, f lessor.Flaw) *world.World {
	o := world.Options{Seed: 5, VMs: 4, FenceChecks: checks, Standby: true, Skew: 5}
	o.NewLessor = func(c lessor.Config) loop.Model { return lessor.New(lessor.WithFlaw(c, f)) }
	w := world.New(o)
	w.Run(3 * time.Second)
	return w
}

// partitionServer cuts every link to a server. The server lives, and serves
// until its lease ends.
func partitionServer(w *world.World, s *world.Server, d time.Duration) {
	for _, v := range w.VMs {
		w.Partition(string(v.ID), string(s.Name), d)
	}
}

// A server dies while the store is down for twenty seconds. A standby must
// serve its keys within a second, and keep them when the store is back.
func TestStandbyServesUntilTheStoreIsBack(t *testing.T) {
	for _, checks := range []bool{false, true} {
		w := newStandbyWorld(checks, lessor.Flaws["none"])
		s := w.Servers[0]
		w.Store.Down(20 * time.Second)
		w.Run(w.Now() + time.Second)
		lost := w.Now()
		s.Kill(-1)
		w.Run(lost + 5*time.Second)
		by := w.Standby(s.Name)
		assert.Assert(t, by != nil, "no standby is active")
		assert.Equal(t, w.Store.Table().OwnerOf(0), s.Name, "the store is down and cannot know")
		w.Run(lost + 40*time.Second)
		assert.Equal(t, w.Store.Table().OwnerOf(0), by.Name)
		assert.Assert(t, w.Standby(s.Name) == nil, "it still serves as a standby")
		assert.Assert(t, w.Unavailable(0, lost, w.Now()) < time.Second, "%v", w.Unavailable(0, lost, w.Now()))
		assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
	}
}

// A holder replaces its deputy, and the store fails during the write of the
// next record, so its outcome stays unknown. A server that dies meanwhile must
// still get a standby, or its keys are unavailable for the whole outage.
func TestStandbyServesWhenTheStoreFailedDuringADeputyChange(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, checks := range []bool{false, true} {
			w := newStandbyWorld(checks, lessor.Flaws["none"])
			s := w.Servers[0]
			failStoreDuringDeputyChange(t, w, s, written)
			w.Run(w.Now() + time.Second)
			lost := w.Now()
			s.Kill(-1)
			w.Run(lost + 5*time.Second)
			by := w.Standby(s.Name)
			assert.Assert(t, by != nil, "no standby is active")
			w.Run(lost + 40*time.Second)
			assert.Equal(t, w.Store.Table().OwnerOf(0), by.Name)
			assert.Assert(t, w.Standby(s.Name) == nil, "it still serves as a standby")
			assert.Assert(t, w.Unavailable(0, lost, w.Now()) < 1500*time.Millisecond, "%v", w.Unavailable(0, lost, w.Now()))
			assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
		}
	}
}

// failStoreDuringDeputyChange fails the store while the holder of a server
// names another deputy, either before the record is written or before the
// holder receives the answer to that write.
func failStoreDuringDeputyChange(t *testing.T, w *world.World, s *world.Server, written bool) {
	t.Helper()
	holder, rec := beginDeputyChange(t, w, s)
	if written {
		w.Partition(string(holder.ID), "store", time.Second) // cuts off the answer, not the write that is on its way to the store
		w.Run(w.Now() + 100*time.Millisecond)
	}
	w.Store.Down(20 * time.Second)
	assert.Equal(t, w.Store.Record(s.Name).Epoch > rec.Epoch, written)
}

// beginDeputyChange makes the holder of a server name another deputy. It
// returns the holder when the write is on its way, and the record before it.
func beginDeputyChange(t *testing.T, w *world.World, s *world.Server) (*world.VM, lessor.Record) {
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
	holder.Send(s.Name, lessor.RoleMsg{Preferred: true, Deputy: next})
	for end := w.Now() + time.Second; w.Now() < end; w.Run(w.Now() + 50*time.Microsecond) {
		if holder.Lessor(s.Name).(lessor.Lessor).Status().Authority == "taking" {
			return holder, rec
		}
	}
	t.Fatal("the holder never named another deputy")
	return nil, rec
}

// The store fails a moment later in the same change of deputy: the next epoch
// is written, its minimum epoch in the table is not. A lost server must get a
// standby then too.
func TestStandbyServesWhenTheStoreFailedBeforeTheMinEpochWasRaised(t *testing.T) {
	w := newStandbyWorld(false, lessor.Flaws["none"])
	s := w.Servers[0]
	holder, _ := beginDeputyChange(t, w, s)
	for holder.Lessor(s.Name).(lessor.Lessor).Status().Authority != "barring" {
		w.Run(w.Now() + 50*time.Microsecond)
	}
	w.Store.Down(20 * time.Second)
	w.Run(w.Now() + time.Second)
	s.Kill(-1)
	w.Run(w.Now() + 5*time.Second)
	assert.Assert(t, w.Standby(s.Name) != nil, "no standby is active")
}

// The standby dies in the same outage. The next one is granted the keys only
// after the first one's lease has expired, and then within a second.
func TestLostStandbyIsReplaced(t *testing.T) {
	w := newStandbyWorld(false, lessor.Flaws["none"])
	s := w.Servers[0]
	w.Store.Down(20 * time.Second)
	w.Run(w.Now() + time.Second)
	s.Kill(-1)
	w.Run(w.Now() + 3*time.Second)
	first := w.Standby(s.Name)
	assert.Assert(t, first != nil, "no standby is active")
	lost := w.Now()
	first.Kill(-1)
	w.Run(lost + 3*time.Second)
	second := w.Standby(s.Name)
	assert.Assert(t, second != nil && second != first, "the standby was not replaced")
	assert.Assert(t, w.Unavailable(0, lost, w.Now()) < 1500*time.Millisecond, "%v", w.Unavailable(0, lost, w.Now()))
	assert.Equal(t, len(w.Check()), 0, "%v", w.Check())
}

// A standby has the keys of a lost server. The platform then lists that server
// as gone, and the store comes back. The keys must not move at once because
// their server is gone: the standby serves them.
func TestStandbyKeepsTheKeysWhenItsServerIsListedAsGone(t *testing.T) {
	for name, early := range map[string]bool{"none": false, "gone": true} {
		w := newStandbyWorld(false, lessor.Flaws[name])
		s := w.Servers[0]
		w.Store.Down(8 * time.Second)
		w.Run(w.Now() + time.Second)
		s.Kill(-1)
		w.Run(w.Now() + 3*time.Second)
		assert.Assert(t, w.Standby(s.Name) != nil, "no standby is active")
		for _, v := range w.VMs {
			v.Send(s.Name, lessor.ServerGoneMsg{})
		}
		w.Run(w.Now() + 15*time.Second)
		assert.Assert(t, w.Store.Table().SetOf(s.Name).Empty(), "the keys must have moved")
		assert.Equal(t, len(w.Check()) > 0, early, "%s: %v", name, w.Check())
	}
}

// The holder alone is cut off from the store and its server, and activates a standby. Its deputy,
// which agreed, reaches both and takes over. It must not renew or grant anything before the holder
// is known to have ended, or a key would have two owners for seconds.
func TestSuccessorWaitsForTheEarlierStandby(t *testing.T) {
	for name, early := range map[string]bool{"none": false, "forget": true} {
		w := newStandbyWorld(false, lessor.Flaws[name])
		s := w.Servers[0]
		rec := w.Store.Record(s.Name)
		w.Partition(string(rec.Holder), "store", 20*time.Second)
		partitionServer(w, s, 1500*time.Millisecond)
		w.Partition(string(rec.Holder), string(s.Name), 20*time.Second)
		w.Run(w.Now() + 1600*time.Millisecond)
		assert.Assert(t, w.Standby(s.Name) != nil, "no standby is active")
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

// The holder alone is cut off from the store and its server. A third VM takes over, has the deputy's
// declaration that there is no standby, and renews the server's lease. If the holder then asked the
// same deputy and activated a standby without its agreement, a key would have two owners.
func TestHolderActivatesNoStandbyAfterItsDeputyRuledItOut(t *testing.T) {
	for _, checks := range []bool{false, true} {
		for name, two := range map[string]bool{"none": false, "agree": true} {
			w := newStandbyWorld(checks, lessor.Flaws[name])
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
			third.Send(s.Name, lessor.RoleMsg{Preferred: true, Deputy: rec.Deputy})
			third.Send(s.Name, lessor.TakeOverMsg{VM: rec.Holder})
			w.Run(w.Now() + 5*time.Second)
			assert.Equal(t, w.Store.Record(s.Name).Holder, third.ID, "nobody took over")
			all := strings.Join(w.Check(), "\n")
			assert.Equal(t, strings.Contains(all, "two owners"), two, "%s, checks=%v: %s", name, checks, all)
		}
	}
}

// A program that does not know standbys must not take over from a record that
// allows one, and must still read a record that does not.
func TestARecordWithAStandbyIsOfALaterFormat(t *testing.T) {
	for _, r := range []lessor.Record{
		{Epoch: 3, Holder: "a", Deputy: "b"},
		{Epoch: 3, Holder: "a", Deputy: "b", Standby: true},
		{Epoch: 4, Holder: "a", Past: []lessor.Member{{VM: "b", Epoch: 3, Standby: true}}},
	} {
		b, err := r.Encode()
		assert.NilError(t, err)
		got, err := lessor.DecodeRecord(b)
		assert.NilError(t, err)
		plain := !r.Standby && len(r.Past) == 0
		assert.Equal(t, got.V == 1, plain)
		got.V = 0
		assert.DeepEqual(t, got, r)
	}
}
