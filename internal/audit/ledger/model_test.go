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

// simStore runs several models against one map of write-once objects. The test chooses
// when each command is executed and in which order, so a write can take effect long
// after its writer was answered Ambiguous.
type simStore struct {
	now     time.Time
	models  []Model
	pending []pendingCmd
	late    []pendingCmd // writes already answered as Ambiguous that take effect later
	stored  map[uint64]Segment
	acked   map[uint64]kinds.Kind
	calls   int
}

// pendingCmd is a command that waits to be executed.
type pendingCmd struct {
	writer int
	cmd    loop.Cmd
	at     time.Time // time at which a timer fires
}

func newSimStore(n int, lim Limits) *simStore {
	sim := &simStore{now: time.Unix(1_790_000_000, 0), stored: map[uint64]Segment{}, acked: map[uint64]kinds.Kind{}}
	for i := range n {
		sim.models = append(sim.models, NewModel("log/x", fmt.Sprint("tok", i), lim))
		sim.send(i, TickMsg{})
	}
	return sim
}

func (sim *simStore) send(writer int, msg loop.Msg) {
	next, cmds := sim.models[writer].Update(sim.now, msg)
	sim.models[writer] = next.(Model)
	for _, c := range cmds {
		switch c := c.(type) {
		case AckCmd:
			sim.acked[c.Ticket] = c.Kind
		case DoneCmd:
		case loop.AfterCmd:
			sim.pending = append(sim.pending, pendingCmd{writer, c, sim.now.Add(c.D)})
		default:
			sim.pending = append(sim.pending, pendingCmd{writer, c, sim.now})
		}
	}
}

// outcome is the result of one store call.
type outcome int

const (
	succeeds    outcome = iota
	answerLost          // takes effect, answered Ambiguous
	writeLost           // no effect, answered Ambiguous
	appliedLate         // answered Ambiguous now, takes effect later
	unavailable         // no effect, answered Unavailable
)

// write executes a PutCmd on the stored objects.
func (sim *simStore) write(p pendingCmd, tok string) kinds.Kind {
	cmd := p.cmd.(PutCmd)
	if _, taken := sim.stored[cmd.Address]; taken {
		return kinds.Conflict
	}
	s, err := decodeSegment(cmd.Value)
	if err != nil || s.Address != cmd.Address || s.WriterToken != tok {
		return kinds.Malformed
	}
	sim.stored[cmd.Address] = s
	return kinds.None
}

// execute executes the command at index i with the given outcome.
func (sim *simStore) execute(i int, result outcome) {
	p := sim.pending[i]
	sim.pending = slices.Delete(sim.pending, i, i+1)
	if after, ok := p.cmd.(loop.AfterCmd); ok {
		if sim.now.Before(p.at) {
			sim.now = p.at
		}
		sim.send(p.writer, after.Msg)
		return
	}
	sim.calls++
	tok := fmt.Sprint("tok", p.writer)
	switch cmd := p.cmd.(type) {
	case PutCmd:
		kind := kinds.Ambiguous
		switch result {
		case succeeds:
			kind = sim.write(p, tok)
		case answerLost:
			sim.write(p, tok)
		case appliedLate:
			sim.late = append(sim.late, p)
		case unavailable:
			kind = kinds.Unavailable
		}
		sim.send(p.writer, PutMsg{cmd.Address, kind})
	case ReadCmd:
		if result != succeeds {
			sim.send(p.writer, ReadMsg{Address: cmd.Address, Kind: kinds.Unavailable})
			return
		}
		s, ok := sim.stored[cmd.Address]
		if !ok {
			sim.send(p.writer, ReadMsg{Address: cmd.Address, Kind: kinds.NotFound})
			return
		}
		sim.send(p.writer, ReadMsg{Address: cmd.Address, WriterToken: s.WriterToken})
	case TailCmd:
		if result != succeeds {
			sim.send(p.writer, TailMsg{Kind: kinds.Unavailable})
			return
		}
		next := cmd.From
		for n := range sim.stored {
			next = max(next, n+1)
		}
		sim.send(p.writer, TailMsg{NextAddress: next})
	}
}

// applyLate executes the late write at index i. It may find its address taken.
func (sim *simStore) applyLate(i int) {
	p := sim.late[i]
	sim.late = slices.Delete(sim.late, i, i+1)
	sim.write(p, fmt.Sprint("tok", p.writer))
}

// executeAll executes all pending commands without faults.
func (sim *simStore) executeAll() {
	for range 10_000 {
		if len(sim.pending) == 0 {
			return
		}
		sim.execute(0, succeeds)
	}
}

// count returns how often each entry is stored.
func (sim *simStore) count() map[string]int {
	n := map[string]int{}
	for _, s := range sim.stored {
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

// The store loses answers, refuses calls, and applies writes late, while several
// processes write the same journal. A confirmed entry must be stored exactly once, and
// a refused one at most once, because an auditor counts receipts by them.
func TestConfirmedEntriesAreKeptExactlyOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		writers := rapid.IntRange(1, 3).Draw(t, "writers")
		lim := Limits{Batch: 12, Window: rapid.IntRange(1, 4).Draw(t, "window"), Rate: 1000, Budget: 1e6}
		if writers > 1 {
			lim.Window = 1
		}
		sim := newSimStore(writers, lim)
		ids := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 4:
				ids++
				sim.send(rapid.IntRange(0, writers-1).Draw(t, "who"), AddMsg{Data: entry(ids), At: sim.now, Ticket: uint64(ids)})
			case step < 9 && len(sim.pending) > 0:
				result := outcome(rapid.IntRange(int(succeeds), int(unavailable)).Draw(t, "fate"))
				sim.execute(rapid.IntRange(0, len(sim.pending)-1).Draw(t, "call"), result)
			case len(sim.late) > 0:
				sim.applyLate(rapid.IntRange(0, len(sim.late)-1).Draw(t, "late"))
			}
			checkWindow(t, sim, writers, uint64(lim.Window))
		}
		sim.executeAll()
		for len(sim.late) > 0 {
			sim.applyLate(0)
		}
		stored := sim.count()
		for id := 1; id <= ids; id++ {
			n := stored[string(entry(id))]
			kind, answered := sim.acked[uint64(id)]
			if !answered || n > 1 || kind == kinds.None && n != 1 {
				t.Fatalf("entry %d: stored %d times, answered %v with %v", id, n, answered, kind)
			}
		}
	})
}

// checkWindow checks the invariant that readers rely on: no hole lies further than the
// window below the last written address.
func checkWindow(t *rapid.T, sim *simStore, writers int, window uint64) {
	if writers > 1 {
		window = 1
	}
	var end uint64
	for n := range sim.stored {
		end = max(end, n+1)
	}
	for n := uint64(0); n+window < end; n++ {
		if _, ok := sim.stored[n]; !ok {
			t.Fatalf("hole at %d, end %d, window %d", n, end, window)
		}
	}
}

// Without a shared budget the journals alone would use up the store as VMs are added.
func TestWriteRateFallsWithTheNumberOfVMs(t *testing.T) {
	for vms, want := range map[int]int{1: 10 * 60, 10: 10 * 60, 50: 120, 520: 11} {
		sim := newSimStore(1, Limits{})
		sim.send(0, VMCountMsg{vms})
		sim.executeAll()
		start, writes := sim.now, 0
		for id := 0; sim.now.Before(start.Add(time.Minute)); id++ {
			sim.send(0, AddMsg{Data: entry(id), At: sim.now})
			for i := 0; i < len(sim.pending); {
				if _, timer := sim.pending[i].cmd.(loop.AfterCmd); timer && sim.now.Before(sim.pending[i].at) {
					i++
					continue
				}
				sim.execute(i, succeeds)
			}
			sim.now = sim.now.Add(10 * time.Millisecond)
		}
		writes = len(sim.stored)
		assert.Assert(t, writes >= want && writes <= want+burst+1, "%d VMs: %d writes in a minute, want about %d", vms, writes, want)
	}
}

// The store is down for ten minutes. Durable entries must be refused at once. Other
// entries are buffered up to the limit, those beyond it are counted, and the store is
// called about once every two seconds.
func TestOutageIsBoundedAndReportedInTheJournal(t *testing.T) {
	sim := newSimStore(1, Limits{Buffer: 3000, Batch: 1000})
	sim.executeAll()
	start := sim.now
	ticket, refusedAt := uint64(0), 0
	for sim.now.Before(start.Add(10 * time.Minute)) {
		ticket++
		sim.send(0, AddMsg{Data: entry(int(ticket) + 1000), At: sim.now, Ticket: ticket})
		if sim.acked[ticket] == kinds.NotDurable {
			refusedAt++
		}
		sim.send(0, AddMsg{Data: entry(int(ticket)), At: sim.now})
		for i := 0; i < len(sim.pending); {
			if _, timer := sim.pending[i].cmd.(loop.AfterCmd); timer && sim.now.Before(sim.pending[i].at) {
				i++
				continue
			}
			sim.execute(i, unavailable)
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
	}
	st := sim.models[0].Status
	assert.Assert(t, st.Down && st.Bytes <= 3000+1000*DefaultWindow, "%+v", st)
	assert.Assert(t, st.Lost > 0)
	assert.Assert(t, refusedAt > int(ticket)*99/100, "%d of %d refused at once", refusedAt, ticket)
	for id, kind := range sim.acked {
		assert.Equal(t, kind, kinds.NotDurable, "ticket %d", id)
	}
	assert.Equal(t, len(sim.acked), int(ticket))
	assert.Assert(t, sim.calls < 10*60/2+10, "%d calls in ten minutes", sim.calls)

	sim.executeAll()
	reported, entries := uint64(0), 0
	for _, s := range sim.stored {
		reported += s.Lost
		entries += len(s.Items)
	}
	st = sim.models[0].Status
	assert.Equal(t, reported, st.Lost)
	assert.Equal(t, st.Waiting, 0)
	assert.Equal(t, entries+int(st.Lost)+refusedAt, 2*int(ticket))
}

// A burst of entries does not compress, for example long reasons full of ids. An object
// beyond the platform's size limit would be refused forever and block the journal.
func TestEntriesThatCompressBadlyStillFit(t *testing.T) {
	sim := newSimStore(1, Limits{})
	sim.executeAll()
	for i := range 60 {
		data, err := wire.Encode(incompressible(i))
		assert.NilError(t, err)
		sim.send(0, AddMsg{Data: data, At: sim.now})
	}
	sim.executeAll()
	stored := 0
	for _, s := range sim.stored {
		stored += len(s.Items)
		assert.Assert(t, len(s.Packed) <= maxValue)
	}
	assert.Equal(t, stored, 60)
	assert.Assert(t, len(sim.stored) >= 2)
}
