package leases

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Seats stay with a holder that is well. Alone, that rule leaves them uneven for
// good: entry VMs start one after the other, the first one takes every seat
// before it hears of a second, and from then on carries all renewals of the
// fleet, while planned moves go to VMs that hold nothing. So the seats are dealt
// out evenly, every VM working out the same, and whoever a seat was dealt to
// takes it over from its holder, one at a time.
//
// To the seat such a take-over is the one after a loss, and as safe: the old
// holder goes on renewing until the new one has asked it to yield. It costs two
// writes and no unavailable time, so the bounds below are about the store.
const (
	// levelAfter is how long the list of VMs must have been the same. A VM that
	// restarts gets its seats back after that, not in the middle.
	levelAfter = 5 * time.Second
	// levelPace is the time between two take-overs of one VM, and levelShare what
	// each live VM adds to it: the whole fleet makes at most 50 a second, 100
	// writes, however many start at once.
	levelPace  = time.Second
	levelShare = 20 * time.Millisecond
	// levelAgain is how long a seat is left alone after it was taken over, doubled
	// each time up to levelMost: two VMs that disagree about who is live would
	// otherwise take a seat from one another for as long as they do.
	levelAgain = 10 * time.Second
	levelMost  = 10 * time.Minute
)

// Target is one seat to deal out: a backend server and where it stands.
type Target struct {
	Service ident.Service
	Server  ident.Server
	Centre  ident.Centre
}

// Pair are the VMs that a seat is dealt to, empty where there are too few.
type Pair struct{ Leader, Deputy ident.VM }

// AssignAll gives each seat to a VM as [Assign] does, and to no VM more than its fair
// share of them, rounded up, unless all VMs in other data centres than the
// server have theirs: the loss of one data centre must never take a server and
// its authority together, and that is worth more than evenness. Every VM
// computes the same from the same list.
func AssignAll(places []Target, live []vmlist.VM) map[Target]Pair {
	if len(live) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(places), func(a, b Target) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Server), string(b.Server)))
	})
	share := (len(places) + len(live) - 1) / len(live)
	held := make([]int, len(live))
	names := hashes(live)
	deal := make(map[Target]Pair, len(places))
	for _, p := range sorted {
		i := pick(p, live, names, held, share)
		held[i]++
		lead := &live[i]
		deal[p] = Pair{Leader: lead.ID, Deputy: deputyOf(lead, p.Centre, live)}
	}
	return deal
}

func hashes(live []vmlist.VM) []uint64 {
	all := make([]uint64, len(live))
	for i, vm := range live {
		all[i] = xxhash.Sum64String(string(vm.ID))
	}
	return all
}

// pick returns the VM for a seat: in another data centre, with room in its
// share, and of those the first in rendezvous order.
func pick(p Target, live []vmlist.VM, names []uint64, held []int, share int) int {
	seed := xxhash.Sum64String(string(p.Service) + "\x00" + string(p.Server))
	rank := func(i int) int {
		over := max(held[i]+1-share, 0)
		if live[i].Centre == p.Centre {
			return over + 1<<32
		}
		return over
	}
	found, foundRank, foundHash := 0, rank(0), mix(seed, names[0])
	for i := 1; i < len(live); i++ {
		r, h := rank(i), mix(seed, names[i])
		if r < foundRank || r == foundRank && h > foundHash {
			found, foundRank, foundHash = i, r, h
		}
	}
	return found
}

// mix joins two hashes to one that orders VMs differently for each seat
// (the finisher of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// dealt is the deal in force on this VM, and what levelling remembers.
type dealt struct {
	pairs map[Target]Pair
	live  []vmlist.VM
	since time.Time // of the list
	next  time.Time // of a take-over
	waits map[Target]wait
}

// wait keeps a seat from being taken over again too soon.
type wait struct {
	until time.Time
	pause time.Duration
}

func (c *chair) place() Target { return Target{c.seatName.svc, c.srv, c.cfg.centre} }

// deal works out who should hold which seat.
func (k *Manager) deal(live []vmlist.VM) map[Target]Pair {
	pairs := AssignAll(k.places, live)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Equal(k.dealt.live, live) {
		k.dealt.since = time.Now()
	}
	k.dealt.pairs, k.dealt.live = pairs, slices.Clone(live)
	return pairs
}

// Pair returns the VMs that a seat is dealt to.
func (k *Manager) Pair(svc ident.Service, srv ident.Server) Pair {
	c, ok := k.seats[seatName{svc, srv}]
	if !ok {
		return Pair{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dealt.pairs[c.place()]
}

// level takes over, now and then, one seat that was dealt to this VM and is held
// by another.
func (k *Manager) level(ctx context.Context) error {
	t := time.NewTicker(levelPace)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.levelOne(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// levelOne starts at most one take-over.
func (k *Manager) levelOne(now time.Time) {
	for _, c := range k.dealtHere(now) {
		s := c.loop.Model().(lessor.Lessor).Status()
		if s.Holder == "" || s.Holder == k.VM || s.Epoch != 0 || !k.Accepting(c.srv) {
			continue // a server that leaves has a holder at work on its moves
		}
		if k.levelling(c.place(), now) {
			k.effect.Go(func(ctx context.Context) error {
				k.relieve(ctx, c, s.Holder)
				return nil
			})
			return
		}
	}
}

// relieve takes a seat over from its holder, if the server answers here. A
// server may have been lost a moment ago, and the holder is then waiting for its
// lease to run out: a new holder knows of no lease but that the old one ended
// just now, and would wait a whole one again, 0.7 s more for all its keys.
func (k *Manager) relieve(ctx context.Context, c *chair, holder ident.VM) {
	ctx, cancel := context.WithTimeout(ctx, k.Times.CallTimeout)
	defer cancel()
	if _, err := k.Control.Read(ctx, c.cfg.control, c.seatName.svc, c.srv); err != nil {
		return
	}
	k.Log.Info("seat taken over to even them out", "service", c.seatName.svc, "server", c.srv, "from", holder)
	c.loop.Send(lessor.TakeOverMsg{VM: holder})
}

// dealtHere lists the seats that this VM was dealt, if it is time to look.
func (k *Manager) dealtHere(now time.Time) []*chair {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.dealt.next) || now.Sub(k.dealt.since) < levelAfter {
		return nil
	}
	var mine []*chair
	for _, c := range k.seats {
		if k.dealt.pairs[c.place()].Leader == k.VM {
			mine = append(mine, c)
		}
	}
	slices.SortFunc(mine, func(a, b *chair) int { return strings.Compare(string(a.srv), string(b.srv)) })
	return mine
}

// levelling reports whether a seat may be taken over now, and notes that it is.
func (k *Manager) levelling(p Target, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.dealt.waits[p]
	if now.Before(w.until) {
		return false
	}
	if now.Sub(w.until) > levelMost {
		w.pause = 0 // it stayed in its place for long
	}
	w.pause = min(max(2*w.pause, levelAgain), levelMost)
	w.until = now.Add(w.pause)
	if k.dealt.waits == nil {
		k.dealt.waits = map[Target]wait{}
	}
	k.dealt.waits[p] = w
	k.dealt.next = now.Add(levelPace + time.Duration(len(k.dealt.live))*levelShare)
	return true
}
