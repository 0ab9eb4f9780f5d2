package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
)

var discardLog = slog.New(slog.NewJSONHandler(io.Discard, nil))

func open(store *objmem.Store, vm string, opts ...Option) *Journal {
	return Open(store, LogPath(ident.VM(vm)), append([]Option{WithLog(discardLog)}, opts...)...)
}

// readAll returns the ids of all decisions in all journals, and the errors.
func readAll(t *testing.T, store *objmem.Store, since time.Time) (ids map[string]int, errs []error) {
	t.Helper()
	ids = map[string]int{}
	paths, err := Paths(t.Context(), store)
	assert.NilError(t, err)
	for _, x := range paths {
		assert.NilError(t, Scan(t.Context(), store, x, since, time.Time{}, func(s Segment, err error) {
			if err != nil {
				errs = append(errs, err)
			}
			all, bad := s.Decisions()
			assert.Equal(t, bad, 0)
			for _, d := range all {
				ids[string(d.ID)]++
			}
		}))
	}
	return ids, errs
}

func decision(id string) record.Decision {
	return record.Decision{At: time.Now(), Action: record.Route, ID: ident.Request(id), Key: "scale-7"}
}

// The store loses the answer to every second write after it took effect. An entry that
// was confirmed must be in the journal exactly once.
func TestCommitSurvivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		n := 0
		store.SetFault(func(op objmem.Op, _ string) objmem.Fault {
			n++
			return objmem.Fault{Delay: 3 * time.Millisecond, LoseAnswer: op == objmem.Put && n%2 == 0, LoseWrite: op == objmem.Put && n%5 == 0}
		})
		j := open(store, "vm-1")
		for i := range 40 {
			assert.NilError(t, j.Commit(t.Context(), decision(fmt.Sprint(i))))
		}
		assert.NilError(t, j.Close())
		store.SetFault(nil)
		ids, errs := readAll(t, store, time.Time{})
		assert.Equal(t, len(errs), 0)
		assert.Equal(t, len(ids), 40)
		for id, n := range ids {
			assert.Equal(t, n, 1, id)
		}
	})
}

// An entry VM is lost and its replacement starts under a new name. Every confirmed entry
// must still be found; only the entries waiting at that moment may be missing.
func TestLostVMLosesOnlyWhatWasNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		first := open(store, "vm-1")
		for i := range 10 {
			assert.NilError(t, first.Commit(t.Context(), decision(fmt.Sprint("kept-", i))))
		}
		for i := range 5 {
			first.Append(decision(fmt.Sprint("waiting-", i)))
		}
		synctest.Wait()
		waiting := first.Status().Waiting
		store.SetDown(true) // no more writes of the lost VM arrive
		assert.Equal(t, kinds.Of(first.Close()), kinds.NotDurable)
		store.SetDown(false)
		second := open(store, "vm-2")
		assert.NilError(t, second.Commit(t.Context(), decision("after")))
		assert.NilError(t, second.Close())
		ids, _ := readAll(t, store, time.Time{})
		assert.Equal(t, ids["after"], 1)
		for i := range 10 {
			assert.Equal(t, ids[fmt.Sprint("kept-", i)], 1)
		}
		assert.Equal(t, len(ids), 1+10+5-waiting)
	})
}

// A process ends with writes in flight, so holes stay at the tail of its journal, and
// another process continues the same journal. A reader that stops at the first hole
// would miss all later entries.
func TestRestartFillsTheHolesOfThePreviousProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		path := LogPath("vm-1")
		for _, n := range []uint64{0, 1, 3, 4} { // 2 was never written
			s := Segment{Head: Head{FormatVersion: Version, Path: path, Address: n, WriterToken: "old", From: time.Now(), To: time.Now()}}
			value, err := s.Encode()
			assert.NilError(t, err)
			_, err = store.Put(t.Context(), objectName(path, n), value, 0)
			assert.NilError(t, err)
		}
		j := open(store, "vm-1")
		for i := range 20 {
			assert.NilError(t, j.Commit(t.Context(), decision(fmt.Sprint(i))))
		}
		assert.NilError(t, j.Close())
		_, err := Read(t.Context(), store, path, 2)
		assert.NilError(t, err)
		end, err := Tail(t.Context(), store, path, 0, DefaultWindow)
		assert.NilError(t, err)
		assert.Equal(t, end, uint64(25))
		ids, _ := readAll(t, store, time.Now().Add(-time.Hour))
		assert.Equal(t, len(ids), 20)
	})
}

// A newer version of the program wrote segments that this one cannot decode. It must
// report them, write after them, and still read all others.
func TestNewerSegmentsAreKeptAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		path := LogPath("vm-1")
		value, err := wire.Encode(struct {
			Head
			Pack string `cbor:"pack"`
		}{Head{FormatVersion: Version + 1, Path: path, From: time.Now(), To: time.Now()}, "of another shape"})
		assert.NilError(t, err)
		_, err = store.Put(t.Context(), objectName(path, 0), value, 0)
		assert.NilError(t, err)
		j := open(store, "vm-1")
		assert.NilError(t, j.Commit(t.Context(), decision("mine")))
		assert.NilError(t, j.Close())
		ids, errs := readAll(t, store, time.Time{})
		assert.Equal(t, ids["mine"], 1)
		assert.Equal(t, len(errs), 1)
		assert.Equal(t, kinds.Of(errs[0]), kinds.NewerVersion)
	})
}

// Several VMs write the ownership history of one service and race for each address.
// Every move must be in it exactly once.
func TestSharedHistoryKeepsEveryWritersMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		store.SetFault(func(objmem.Op, string) objmem.Fault { return objmem.Fault{Delay: time.Millisecond} })
		var g group.Group
		for vm := range 3 {
			g.Go(func(context.Context) error {
				j := Open(store, OwnershipPath("lookup"), WithLog(discardLog))
				for i := range 10 {
					if err := j.Commit(t.Context(), decision(fmt.Sprint(vm, "/", i))); err != nil {
						return err
					}
				}
				return j.Close()
			})
		}
		assert.NilError(t, g.Wait())
		store.SetFault(nil)
		ids, _ := readAll(t, store, time.Time{})
		assert.Equal(t, len(ids), 30)
		for id, n := range ids {
			assert.Equal(t, n, 1, id)
		}
	})
}

func TestCommitFailsWhenItsContextEndsAndAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		store.SetDown(true)
		j := open(store, "vm-1")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		assert.Equal(t, kinds.Of(j.Commit(ctx, decision("a"))), kinds.NotDurable)
		start := time.Now()
		assert.Equal(t, kinds.Of(j.Commit(t.Context(), decision("b"))), kinds.NotDurable)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Equal(t, kinds.Of(j.Close()), kinds.NotDurable)
		assert.Equal(t, kinds.Of(j.Commit(t.Context(), decision("c"))), kinds.NotDurable)
	})
}

// A query for the last minutes must not read the whole journal.
func TestScanSkipsSegmentsByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		j := open(store, "vm-1")
		const segments = 3000
		for i := range segments {
			assert.NilError(t, j.Commit(t.Context(), decision(fmt.Sprint(i))))
			time.Sleep(time.Minute)
		}
		assert.NilError(t, j.Close())
		before := store.Usage().Reads
		ids, _ := readAll(t, store, time.Now().Add(-5*time.Minute))
		assert.Equal(t, len(ids), 5)
		reads := store.Usage().Reads - before
		assert.Assert(t, reads < 50, "%d reads", reads)
	})
}

// FuzzSegment decodes arbitrary bytes as a segment.
func FuzzSegment(f *testing.F) {
	good, _ := Segment{Head: Head{FormatVersion: Version, Path: "log/x", Address: 3}, Items: []cbor.RawMessage{entry(7)}}.Encode()
	f.Add(good)
	bomb, _ := Segment{Items: []cbor.RawMessage{slices.Concat([]byte{0x5a, 1, 0, 0, 0}, make([]byte, maxUnpacked))}}.Encode()
	if _, err := decodeSegment(bomb); kinds.Of(err) != kinds.Malformed {
		f.Fatal("a small segment decompresses without a limit")
	}
	f.Add([]byte(strings.Repeat("\x81", 64)))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSegment(b)
		if k := kinds.Of(err); k != kinds.None && k != kinds.NewerVersion && k != kinds.Malformed {
			t.Fatalf("kind %v", k)
		}
		s.Decisions()
	})
}

// A VM was lost with writes in flight, so there are holes near the tail of its journal.
// The last written segment must be found for every pattern of holes.
func TestTailIsFoundForEveryPatternOfHoles(t *testing.T) {
	const window = 4
	for length := range 24 {
		for holes := range 1 << (window - 1) { // the last address is written
			store := objmem.New()
			for n := range length {
				back := length - 1 - n
				if back >= 1 && back < window && holes>>(back-1)&1 == 1 {
					continue
				}
				_, err := store.Put(t.Context(), objectName("log/x", uint64(n)), []byte("x"), 0)
				assert.NilError(t, err)
			}
			end, err := Tail(t.Context(), store, "log/x", 0, window)
			assert.NilError(t, err)
			assert.Equal(t, end, uint64(length), "holes %b", holes)
		}
	}
}
