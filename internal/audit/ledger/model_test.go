package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// bench drives several models against one map of write-once objects. Every
// effect waits until the test lets it happen, in any order, so a write can take
// effect long after its answer was given up.
type bench struct {
	now    time.Time
	models []Model
	out    []pending
	late   []pending // writes whose answer was already given as Ambiguous
	kept   map[uint64]Segment
	acked  map[uint64]kinds.Kind
	calls  int
}

type pending struct {
	who int
	cmd loop.Cmd
	at  time.Time // for timers
}

func newBench(n int, lim Limits) *bench {
	b := &bench{now: time.Unix(1_790_000_000, 0), kept: map[uint64]Segment{}, acked: map[uint64]kinds.Kind{}}
	for i := range n {
		b.models = append(b.models, NewModel("log/x", fmt.Sprint("tok", i), lim))
		b.send(i, TickMsg{})
	}
	return b
}

func (b *bench) send(who int, msg loop.Msg) {
	next, cmds := b.models[who].Update(b.now, msg)
	b.models[who] = next.(Model)
	for _, c := range cmds {
		switch c := c.(type) {
		case AckCmd:
			b.acked[c.Ticket] = c.Kind
		case DoneCmd:
		case loop.AfterCmd:
			b.out = append(b.out, pending{who, c, b.now.Add(c.D)})
		default:
			b.out = append(b.out, pending{who, c, b.now})
		}
	}
}

// fate says how one store call goes.
type fate int

const (
	fine  fate = iota
	lost       // takes effect, answered Ambiguous
	blank      // no effect, answered Ambiguous
	tardy      // answered Ambiguous now, takes effect later
	down       // no effect, answered Down
)

func (b *bench) write(p pending, tok string) kinds.Kind {
	cmd := p.cmd.(PutCmd)
	if _, taken := b.kept[cmd.N]; taken {
		return kinds.Conflict
	}
	s, err := decodeSegment(cmd.Value)
	if err != nil || s.N != cmd.N || s.Tok != tok {
		return kinds.Malformed
	}
	b.kept[cmd.N] = s
	return kinds.None
}

func (b *bench) carry(i int, f fate) {
	p := b.out[i]
	b.out = slices.Delete(b.out, i, i+1)
	if after, ok := p.cmd.(loop.AfterCmd); ok {
		if b.now.Before(p.at) {
			b.now = p.at
		}
		b.send(p.who, after.Msg)
		return
	}
	b.calls++
	tok := fmt.Sprint("tok", p.who)
	switch cmd := p.cmd.(type) {
	case PutCmd:
		kind := kinds.Ambiguous
		switch f {
		case fine:
			kind = b.write(p, tok)
		case lost:
			b.write(p, tok)
		case tardy:
			b.late = append(b.late, p)
		case down:
			kind = kinds.Unavailable
		}
		b.send(p.who, PutMsg{cmd.N, kind})
	case ReadCmd:
		if f != fine {
			b.send(p.who, ReadMsg{N: cmd.N, Kind: kinds.Unavailable})
			return
		}
		s, ok := b.kept[cmd.N]
		if !ok {
			b.send(p.who, ReadMsg{N: cmd.N, Kind: kinds.NotFound})
			return
		}
		b.send(p.who, ReadMsg{N: cmd.N, Tok: s.Tok})
	case TailCmd:
		if f != fine {
			b.send(p.who, TailMsg{Kind: kinds.Unavailable})
			return
		}
		next := cmd.From
		for n := range b.kept {
			next = max(next, n+1)
		}
		b.send(p.who, TailMsg{Next: next})
	}
}

// land lets a tardy write take effect at last. It may lose its race.
func (b *bench) land(i int) {
	p := b.late[i]
	b.late = slices.Delete(b.late, i, i+1)
	b.write(p, fmt.Sprint("tok", p.who))
}

// settle lets everything that is out happen without faults.
func (b *bench) settle() {
	for range 10_000 {
		if len(b.out) == 0 {
			return
		}
		b.carry(0, fine)
	}
}

func (b *bench) count() map[string]int {
	n := map[string]int{}
	for _, s := range b.kept {
		for _, it := range s.Items {
			n[string(it)]++
		}
	}
	return n
}

func entry(id int) []byte {
	b, err := wire.Encode(id)
	if err != nil {
		panic(err)
	}
	return b
}

// The store loses answers, refuses, and lets writes take effect long after they
// were given up, while several processes write the same journal. An entry that
// was confirmed must stand in the journal exactly once, for an auditor counts
// truckloads by it; one that was refused must not stand there twice either.
func TestConfirmedEntriesAreKeptExactlyOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		writers := rapid.IntRange(1, 3).Draw(t, "writers")
		lim := Limits{Batch: 12, Window: rapid.IntRange(1, 4).Draw(t, "window"), Rate: 1000, Budget: 1e6}
		if writers > 1 {
			lim.Window = 1
		}
		b := newBench(writers, lim)
		ids := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 4:
				ids++
				b.send(rapid.IntRange(0, writers-1).Draw(t, "who"), AddMsg{Data: entry(ids), At: b.now, Ticket: uint64(ids)})
			case step < 9 && len(b.out) > 0:
				f := fate(rapid.IntRange(int(fine), int(down)).Draw(t, "fate"))
				b.carry(rapid.IntRange(0, len(b.out)-1).Draw(t, "call"), f)
			case len(b.late) > 0:
				b.land(rapid.IntRange(0, len(b.late)-1).Draw(t, "late"))
			}
			checkWindow(t, b, writers, uint64(lim.Window))
		}
		b.settle()
		for len(b.late) > 0 {
			b.land(0)
		}
		kept := b.count()
		for id := 1; id <= ids; id++ {
			n := kept[string(entry(id))]
			kind, answered := b.acked[uint64(id)]
			if !answered || n > 1 || kind == kinds.None && n != 1 {
				t.Fatalf("entry %d: kept %d times, answered %v with %v", id, n, answered, kind)
			}
		}
	})
}

// checkWindow holds the promise that readers rely on: no hole lies further than
// the window below the last written address.
func checkWindow(t *rapid.T, b *bench, writers int, window uint64) {
	if writers > 1 {
		window = 1
	}
	var end uint64
	for n := range b.kept {
		end = max(end, n+1)
	}
	for n := uint64(0); n+window < end; n++ {
		if _, ok := b.kept[n]; !ok {
			t.Fatalf("hole at %d, end %d, window %d", n, end, window)
		}
	}
}

func TestWritesFollowTheRateOfTheFleet(t *testing.T) {
	for vms, want := range map[int]int{1: 10 * 60, 10: 10 * 60, 50: 120, 520: 11} {
		b := newBench(1, Limits{})
		b.send(0, FleetMsg{vms})
		b.settle()
		start, writes := b.now, 0
		for id := 0; b.now.Before(start.Add(time.Minute)); id++ {
			b.send(0, AddMsg{Data: entry(id), At: b.now})
			for i := 0; i < len(b.out); {
				if _, timer := b.out[i].cmd.(loop.AfterCmd); timer && b.now.Before(b.out[i].at) {
					i++
					continue
				}
				b.carry(i, fine)
			}
			b.now = b.now.Add(10 * time.Millisecond)
		}
		writes = len(b.kept)
		assert.Assert(t, writes >= want && writes <= want+burst+1, "%d VMs: %d writes in a minute, want about %d", vms, writes, want)
	}
}

// The store is away for ten minutes during harvest. Requests whose rule demands
// a durable record get their refusal at once, not after a wait; the decisions
// of all others are held up to the bound, what is beyond it is counted, and the
// store is asked about once in two seconds.
func TestOutageIsBoundedAndSaidInTheJournal(t *testing.T) {
	b := newBench(1, Limits{Buffer: 3000, Batch: 1000})
	b.settle()
	start := b.now
	ticket, refusedAt := uint64(0), 0
	for b.now.Before(start.Add(10 * time.Minute)) {
		ticket++
		b.send(0, AddMsg{Data: entry(int(ticket) + 1000), At: b.now, Ticket: ticket})
		if b.acked[ticket] == kinds.NotDurable {
			refusedAt++
		}
		b.send(0, AddMsg{Data: entry(int(ticket)), At: b.now})
		for i := 0; i < len(b.out); {
			if _, timer := b.out[i].cmd.(loop.AfterCmd); timer && b.now.Before(b.out[i].at) {
				i++
				continue
			}
			b.carry(i, down)
		}
		b.now = b.now.Add(100 * time.Millisecond)
	}
	st := b.models[0].Status
	assert.Assert(t, st.Down && st.Bytes <= 3000+1000*DefaultWindow, "%+v", st)
	assert.Assert(t, st.Lost > 0)
	assert.Assert(t, refusedAt > int(ticket)*99/100, "%d of %d refused on the spot", refusedAt, ticket)
	for id, kind := range b.acked {
		assert.Equal(t, kind, kinds.NotDurable, "ticket %d", id)
	}
	assert.Equal(t, len(b.acked), int(ticket))
	assert.Assert(t, b.calls < 10*60/2+10, "%d calls in ten minutes", b.calls)

	b.settle()
	told, entries := uint64(0), 0
	for _, s := range b.kept {
		told += s.Lost
		entries += len(s.Items)
	}
	st = b.models[0].Status
	assert.Equal(t, told, st.Lost)
	assert.Equal(t, st.Waiting, 0)
	assert.Equal(t, entries+int(st.Lost)+refusedAt, 2*int(ticket))
}

// Entries that do not compress, say long reasons full of ids, come in a burst.
// A value beyond the platform's limit would be refused for ever, and the journal
// would stand still behind it.
func TestEntriesThatCompressBadlyStillFit(t *testing.T) {
	b := newBench(1, Limits{})
	b.settle()
	for i := range 60 {
		data, err := wire.Encode(noise(i))
		assert.NilError(t, err)
		b.send(0, AddMsg{Data: data, At: b.now})
	}
	b.settle()
	kept := 0
	for _, s := range b.kept {
		kept += len(s.Items)
		assert.Assert(t, len(s.Pack) <= maxValue)
	}
	assert.Equal(t, kept, 60)
	assert.Assert(t, len(b.kept) >= 2)
}
