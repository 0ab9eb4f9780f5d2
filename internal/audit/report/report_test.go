package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/retain"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
)

var discardLog = slog.New(slog.NewJSONHandler(io.Discard, nil))

func open(store *objmem.Store, path string) *ledger.Journal {
	return ledger.Open(store, path, ledger.WithLog(discardLog))
}

// writeHistory writes a small history through two VMs, which are closed afterwards.
func writeHistory(t *testing.T, store *objmem.Store) (start time.Time) {
	start = time.Now()
	const slices = 8
	slice := ident.SliceOf("scale-7", slices)
	for vm := range 2 {
		j := open(store, fmt.Sprint("log/vm-", vm))
		for i := range 10 {
			j.Append(record.Decision{
				At: time.Now(), Action: record.Route, ID: ident.Request(fmt.Sprint(vm, "-", i)), VM: ident.VM(fmt.Sprint("vm-", vm)),
				Key: ident.Key(fmt.Sprint("scale-", i%2+6)), Caller: ident.Caller(fmt.Sprint("hauler-", i%5)), Service: "ledger",
				Server: ident.Server(fmt.Sprint("ledger-", i%3)), Rule: "receipts", Rev: 4, Ran: kinds.RanYes, Status: 201,
				Took: time.Duration(i+1) * time.Millisecond,
			})
			time.Sleep(time.Minute)
		}
		assert.NilError(t, j.Close())
	}
	own := open(store, ledger.OwnershipPath("ledger"))
	own.Append(record.Decision{At: time.Now(), Action: record.Place, Service: "ledger", Slice: slice, PrevOwner: "ledger-1", Server: "ledger-2", Rev: 9})
	own.Append(record.Decision{At: time.Now(), Action: record.Place, Service: "ledger", Slice: (slice + 1) % slices, PrevOwner: "ledger-1", Server: "ledger-2", Rev: 9})
	assert.NilError(t, own.Close())
	return start
}

func runQuery(t *testing.T, store *objmem.Store, q Query) *Report {
	t.Helper()
	r, err := Run(t.Context(), store, q)
	assert.NilError(t, err)
	return r
}

// The entry VMs have all been replaced. A query about one key must still be answered from
// the journals in the store.
func TestReportAnswersAfterEveryVMIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		start := writeHistory(t, store)
		r := runQuery(t, store, Query{
			Key:    "scale-7",
			Slices: func(ident.Service) uint32 { return 8 },
			Author: func(rev ident.Revision) string { return fmt.Sprint("operator of ", rev) },
		})
		assert.Equal(t, len(r.Rows), 11) // ten receipts and one move of its slice
		assert.Equal(t, r.Rows[0].Author, "operator of 4")
		assert.Equal(t, r.Rows[10].Action, record.Place)
		assert.Equal(t, len(runQuery(t, store, Query{Caller: "hauler-3"}).Rows), 4)
		assert.Equal(t, len(runQuery(t, store, Query{Server: "ledger-1"}).Rows), 6+2)
		assert.Equal(t, len(runQuery(t, store, Query{ID: "1-4"}).Rows), 1)
		assert.Equal(t, len(runQuery(t, store, Query{Rule: "other"}).Rows), 0)
		assert.Equal(t, len(runQuery(t, store, Query{Since: start.Add(15 * time.Minute), Action: record.Route}).Rows), 5)
		assert.Equal(t, len(runQuery(t, store, Query{Until: start.Add(90 * time.Second)}).Rows), 2)
	})
}

func TestTableCountsAndJSONAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		writeHistory(t, store)
		r := runQuery(t, store, Query{})
		var table, counts, doc bytes.Buffer
		assert.NilError(t, r.WriteTable(&table))
		assert.Equal(t, strings.Count(table.String(), "receipts"), 20)
		assert.Assert(t, strings.Contains(table.String(), "ledger-1 > ledger-2"))
		assert.NilError(t, r.WriteCounts(&counts, ByServer))
		assert.Assert(t, strings.Contains(counts.String(), "22 decisions"), counts.String())
		assert.DeepEqual(t, r.Counts(ByServer)[0], Count{Name: "ledger-0", All: 8, Ran: 8, P50: 7 * time.Millisecond, P99: 10 * time.Millisecond})
		assert.Equal(t, len(r.Counts(ByHour)), 1)
		moves := runQuery(t, store, Query{Action: record.Place}).Counts(ByServer)
		assert.DeepEqual(t, moves, []Count{{Name: "ledger-2", All: 2}})
		assert.NilError(t, r.WriteJSON(&doc))
		var back Report
		assert.NilError(t, json.Unmarshal(doc.Bytes(), &back))
		assert.Equal(t, len(back.Rows), 22)
		assert.Equal(t, back.Rows[3].Server, r.Rows[3].Server)
	})
}

// A VM was lost between accepting a submission and recording its outcome, and another one
// dropped decisions during an outage. The report must show both, as it would look
// complete otherwise.
func TestReportShowsWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		j := open(store, "log/vm-1")
		for _, d := range []record.Decision{
			{Action: record.Accept, ID: "finished"},
			{Action: record.Route, ID: "finished", Ran: kinds.RanYes},
			{Action: record.Accept, ID: "open"},
			{Action: record.Lost, Count: 7, Reason: "the ring of decisions was full"},
		} {
			d.At = time.Now()
			j.Append(d)
		}
		assert.NilError(t, j.Close())
		end, err := ledger.Tail(t.Context(), store, "log/vm-1", 0, ledger.DefaultWindow)
		assert.NilError(t, err)
		_, err = store.Put(t.Context(), fmt.Sprint("log/vm-1/", end), []byte{0xff}, 0)
		assert.NilError(t, err)
		r := runQuery(t, store, Query{})
		assert.Equal(t, len(r.Rows), 2)
		assert.Equal(t, r.Rows[1].ID, ident.Request("open"))
		assert.Equal(t, r.Rows[1].Ran, kinds.RanUnknown)
		assert.Equal(t, len(r.Gaps), 2)
		var out bytes.Buffer
		assert.NilError(t, r.WriteTable(&out))
		assert.Assert(t, strings.Contains(out.String(), "missing: 7 in log/vm-1"))
		assert.Equal(t, r.Counts(ByKey)[0].Unknown, 1)
	})
}

// A store that fails during the query must not lead to a partial report.
func TestStoreFailureIsNotAnEmptyReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		writeHistory(t, store)
		store.SetFault(func(_ objmem.Op, name string) objmem.Fault {
			return objmem.Fault{Down: strings.HasPrefix(name, "log/vm-1/")}
		})
		_, err := Run(t.Context(), store, Query{})
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
	})
}

// BenchmarkLastMinutes queries five minutes of one key in a history of ten VMs with
// 2,000 segments each, and reports the number of reads.
func BenchmarkLastMinutes(b *testing.B) {
	store := objmem.New()
	start := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	const vms, segments, entries = 10, 2000, 50
	for vm := range vms {
		writeLongJournal(b, store, fmt.Sprint("log/vm-", vm), start, segments, entries)
	}
	before := store.Usage()
	q := Query{Key: "scale-7", Since: start.Add(20 * time.Hour), Until: start.Add(20*time.Hour + 5*time.Minute)}
	for b.Loop() {
		r, err := Run(b.Context(), store, q)
		if err != nil || len(r.Rows) != vms*6*entries/10 {
			b.Fatal(err, len(r.Rows))
		}
	}
	after := store.Usage()
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
	b.ReportMetric(float64(vms*segments), "segments")
}

// writeLongJournal writes a journal with one segment for each minute.
func writeLongJournal(b *testing.B, store *objmem.Store, path string, start time.Time, segments, entries int) {
	b.Helper()
	for n := range segments {
		at := start.Add(time.Duration(n) * time.Minute)
		s := ledger.Segment{Head: ledger.Head{FormatVersion: ledger.Version, Path: path, Address: uint64(n), From: at, To: at}}
		for i := range entries {
			d := record.Decision{At: at, Action: record.Route, ID: ident.Request(fmt.Sprint(path, n, i)), Key: ident.Key(fmt.Sprint("scale-", i%10))}
			item, err := wire.Encode(&d)
			assert.NilError(b, err)
			s.Items = append(s.Items, item)
		}
		value, err := s.Encode()
		assert.NilError(b, err)
		_, err = store.Put(b.Context(), fmt.Sprint(path, "/", n), value, 0)
		assert.NilError(b, err)
	}
	value, err := wire.Encode(ledger.Index{FormatVersion: ledger.Version, Path: path, Created: start, Window: ledger.DefaultWindow})
	assert.NilError(b, err)
	_, err = store.Put(b.Context(), ledger.IndexPrefix+path, value, 0)
	assert.NilError(b, err)
}

// Two VMs leave most lookups out of the journal under the rules. A report about a key must
// tell a key without requests from one whose decisions were left out, and must show no
// skip counts for a key in the sample, as nothing of it was left out.
func TestReportShowsWhatRulesLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		start := time.Now()
		sample := retain.Sample(8)
		in, out := ident.Key(""), ident.Key("")
		for i := 0; in == "" || out == ""; i++ {
			if key := ident.Key(fmt.Sprint("scale-", i)); sample.RetainsKey(key) {
				in = key
			} else {
				out = key
			}
		}
		for vm := range 2 {
			j := open(store, fmt.Sprint("log/vm-", vm))
			s := ledger.NewFilter(j)
			for i := range 60 {
				key := in
				if i%3 != 0 {
					key = out
				}
				for _, rule := range []string{"windows", "views"} {
					d := record.Decision{
						At: time.Now(), Action: record.Route, ID: ident.Request(fmt.Sprint(rule, vm, "-", i)), Key: key,
						Service: ident.Service(rule), Rule: rule, Rev: ident.Revision(4 + vm), Ran: kinds.RanYes, Keep: retain.None,
					}
					if rule == "windows" {
						d.Keep = sample
					}
					d.Skip = !d.Keep.Retains(retain.Case{Key: key, Safe: true, Succeeded: true})
					s.Append(d)
				}
				time.Sleep(time.Second)
			}
			assert.NilError(t, s.Close())
			assert.NilError(t, j.Close())
		}
		r := runQuery(t, store, Query{})
		assert.Equal(t, len(r.Rows), 40)
		assert.Equal(t, len(r.Gaps), 0)
		assert.DeepEqual(t, r.Skips, []Skip{
			{Service: "views", Rule: "views", Rev: 5, Keep: retain.None, Count: 120, From: start, To: start.Add(119 * time.Second)},
			{Service: "windows", Rule: "windows", Rev: 5, Keep: sample, Count: 80, From: start.Add(time.Second), To: start.Add(119 * time.Second)},
		})
		var text bytes.Buffer
		assert.NilError(t, r.WriteTable(&text))
		assert.Assert(t, strings.Contains(text.String(), `not kept: 80 decisions of rule windows (revision 5, keep = "1/8"), 2000-01-01 00:00:01 to 2000-01-01 00:01:59`), text.String())

		whole := runQuery(t, store, Query{Key: in, Rule: "windows"})
		assert.Equal(t, len(whole.Rows), 40)
		assert.Equal(t, len(whole.Skips), 0, "nothing of this key was left out")
		absent := runQuery(t, store, Query{Key: out, Service: "windows"})
		assert.Equal(t, len(absent.Rows), 0)
		assert.Equal(t, absent.Skips[0].Count, uint64(80))
		assert.Equal(t, len(runQuery(t, store, Query{Action: record.Place}).Skips), 0)
		late := runQuery(t, store, Query{Since: start.Add(90 * time.Second), Rule: "views"})
		assert.Assert(t, late.Skips[0].Count >= 30 && late.Skips[0].Count <= 36, "%d", late.Skips[0].Count)
	})
}
