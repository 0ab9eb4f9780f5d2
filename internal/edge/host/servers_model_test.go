package host

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// modelStore is a store of server entries with its history.
type modelStore struct {
	rev     uint64
	entries map[string]object.Object
	changes []object.Change
}

func (s *modelStore) write(name, fields string) {
	s.rev++
	o := entryOf(ident.Server(name), object.Version(s.rev), fields)
	s.entries[name] = o
	s.changes = append(s.changes, object.Change{Object: o, At: object.Cursor(s.rev)})
}

func (s *modelStore) remove(name string) {
	if _, ok := s.entries[name]; !ok {
		return
	}
	s.rev++
	delete(s.entries, name)
	c := entryGone(ident.Server(name))
	c.At = object.Cursor(s.rev)
	s.changes = append(s.changes, c)
}

func (s *modelStore) list() (all []object.Object) {
	for _, o := range s.entries {
		all = append(all, o)
	}
	return all
}

func (s *modelStore) servers() (all []feed.Server) {
	for name, o := range s.entries {
		srv, _ := jsonDecoder{}.Server(name, o.Value)
		all = append(all, srv)
	}
	slices.SortFunc(all, func(a, b feed.Server) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func namesOf(list []feed.Server) (all []ident.Server) {
	for _, s := range list {
		all = append(all, s.Name)
	}
	return all
}

// modelVM is a VM's view of the store, and how it hears of it.
type modelVM struct {
	*serverTracker
	at object.Cursor // of its watch
	up bool          // the store answers it
}

func newModelVM(i int) *modelVM {
	tr := newOrderTracker()
	tr.hub = poll.NewHub(ident.VM(fmt.Sprint("vm-", i)), "1")
	tr.drain = 2 * time.Second
	return &modelVM{serverTracker: tr, up: true}
}

// readList applies the complete list of the store.
func (v *modelVM) readList(s *modelStore) {
	v.storeUp()
	v.replaceAll(s.list(), object.Cursor(s.rev))
	v.at = object.Cursor(s.rev)
	v.noteCurrent(clock.Now(), v.at)
}

// readChanges applies the changes since the last answer, in one answer.
func (v *modelVM) readChanges(s *modelStore) {
	var all []object.Change
	for _, c := range s.changes {
		if c.At > v.at {
			all = append(all, c)
		}
	}
	v.storeUp()
	v.at = object.Cursor(s.rev)
	if len(all) > 0 {
		v.applyChanges(all, v.at)
	}
	v.noteCurrent(clock.Now(), v.at)
}

// hear polls another VM, as the leader or not.
func (v *modelVM) hear(from *modelVM, leads bool) {
	rev := v.knownRev(time.Now())
	if !leads {
		_, rev = v.hub.Revs()
	}
	if l, ok := from.hub.ServersSince(rev); ok {
		v.mergePeerList(l, 0)
	}
	if leads {
		v.compareWithLeader(time.Now(), from.hub.ServersDigest(), from.hub.Age(poll.Servers))
	}
}

// Guards against VMs that keep or lack servers for good after any order of removals, returns, lists, outages and peers.
func TestInCalmAllVMsKnowTheServersOfTheStore(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		h := newServersHistory(r)
		var fault string
		synctest.Test(t, func(*testing.T) { fault = h.play() })
		if fault != "" {
			r.Fatal(fault)
		}
	})
}

// calm is how VMs hear of the servers in calm.
type calm int

const (
	byLeader  calm = iota // from a leader that has read the complete list
	byLists               // each reads the complete list
	byWatches             // each goes on from where it was, and never heard another VM
	calms
)

// serversHistory is what happens before the calm, and which VM leads then.
type serversHistory struct {
	steps  []int
	leader int
	calm   calm
}

func newServersHistory(r *rapid.T) serversHistory {
	return serversHistory{
		steps:  rapid.SliceOfN(rapid.IntRange(0, 99), 1, 60).Draw(r, "steps"),
		leader: rapid.IntRange(0, 2).Draw(r, "leader"),
		calm:   calm(rapid.IntRange(0, int(calms)-1).Draw(r, "calm")),
	}
}

// play plays the history, and returns what is wrong in the calm after it.
func (h serversHistory) play() string {
	store := &modelStore{entries: map[string]object.Object{}}
	servers := []string{"s1", "s2", "s3", "s4"}
	for _, name := range servers {
		store.write(name, "")
	}
	vms := []*modelVM{newModelVM(1), newModelVM(2), newModelVM(3)}
	for _, v := range vms {
		v.readList(store)
	}
	for _, n := range h.steps {
		v, other, name := vms[n%3], vms[(n/3+n+1)%3], servers[n%4]
		switch {
		case n < 16:
			store.write(name, "")
		case n < 20:
			store.write(name, `,"Leaving":true`)
		case n < 34:
			store.remove(name)
		case n < 40: // all entries lapse, and some are written again
			for i, all := range servers {
				if store.remove(all); i <= n-36 {
					store.write(all, "")
				}
			}
		case n < 45:
			v.up = !v.up
			if !v.up {
				v.storeDown()
			}
		case n < 62 && v.up:
			v.readChanges(store)
		case n < 68 && v.up:
			v.readList(store)
		case n < 82 && v != other && h.calm != byWatches:
			v.hear(other, n%2 == 0)
		default:
			time.Sleep(time.Duration(n-81) * 100 * time.Millisecond)
			v.expire(time.Now())
		}
	}
	h.settle(store, vms)
	for i, v := range vms {
		if got, want := v.list(), store.servers(); poll.DigestOf(got) != poll.DigestOf(want) || len(v.rejected) > 0 {
			return fmt.Sprintf("VM %d knows %v, the store %v; rejected %v", i+1, namesOf(got), namesOf(want), v.rejected)
		}
	}
	return ""
}

// settle plays the calm.
func (h serversHistory) settle(store *modelStore, vms []*modelVM) {
	leader := vms[h.leader]
	for i := range 100 { // ten seconds
		for _, v := range vms {
			switch {
			case h.calm == byWatches:
				v.readChanges(store)
			case i == 0 && (v == leader || h.calm == byLists):
				v.readList(store)
			case v == leader || h.calm == byLists:
				v.readChanges(store)
			default:
				v.hear(leader, true)
			}
		}
		time.Sleep(100 * time.Millisecond)
		for _, v := range vms {
			v.expire(time.Now())
		}
	}
}
