package demo

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
)

var runStart = time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)

func atSecond(n float64) time.Time { return runStart.Add(time.Duration(n * float64(time.Second))) }

// goodEvidence returns the evidence of a run in which all promises held: a key moved from
// server a to b, a submission was sent twice, an upload was refused, and server c drained.
func goodEvidence(t *testing.T) *evidence {
	const key = ident.Key("scale-7")
	slice := ident.SliceOf(key, 2)
	first, err := table.New("lookup", 2, "a", "b", "c")
	assert.NilError(t, err)
	first, err = first.WithAssigned(table.Move{Slice: slice, To: "a"}, table.Move{Slice: 1 - slice, To: "b"})
	assert.NilError(t, err)
	tab, err := first.WithMoves("a", 0, table.Move{Slice: slice, To: "b"})
	assert.NilError(t, err)
	move := record.Decision{At: atSecond(2), Action: record.Place, Service: "lookup", Slice: slice, PrevOwner: "a", Server: "b", Rev: tab.Rev}
	fence := ident.Fence{Epoch: 1, Seq: 1}
	answered := func(c class, id ident.Request, start float64) attempt {
		return attempt{class: c, id: id, key: key, start: atSecond(start), took: time.Second / 10, status: http.StatusOK, ran: kinds.RanYes, intact: true}
	}
	return &evidence{
		spec: siteSpecs[0], finalTable: tab, tableHistory: []storedTable{{first, atSecond(0)}, {tab, atSecond(2)}}, maxTableRev: tab.Rev, moves: []record.Decision{move}, vmCount: 2, lostServer: "a", leftVM: 1, shutdownStart: atSecond(6), shutdownEnd: atSecond(7), outageStart: atSecond(8), outageEnd: atSecond(9),
		attempts: []attempt{
			answered(classLookup, "l-1", 1), answered(classLookup, "l-2", 3), answered(classSubmission, "s-1", 4),
			{class: classSubmission, id: "s-1", start: atSecond(4), status: http.StatusConflict, ran: kinds.RanUnknown},
			{class: classHurried, id: "h-1", start: atSecond(5), status: http.StatusTooManyRequests, ran: kinds.RanNo},
			answered(classLookup, "l-4", 8.2),
			{class: classLookup, id: "l-3", key: key, vm: 1, start: atSecond(6.5), took: time.Second, status: http.StatusOK, ran: kinds.RanYes, intact: true},
		},
		served: []origin.Served{
			{Server: "a", ID: "l-1", Key: key, At: atSecond(1), Fence: fence},
			{Server: "b", ID: "l-2", Key: key, At: atSecond(3), Fence: fence},
			{Server: "r", ID: "s-1", At: atSecond(4)},
			{Server: "c", ID: "x", At: atSecond(4.5)},
			{Server: "b", ID: "l-3", Key: key, At: atSecond(9), Fence: fence},
		},
		drainedAt: map[ident.Server]time.Time{"c": atSecond(4)},
		ruleEdit:  ruleEdit{rev: 2, writtenAt: atSecond(3), acceptedAt: atSecond(3), quorum: quorum.Record{Rev: 2, Confirmed: 2, Live: 2}, inForceAt: []time.Time{atSecond(3), atSecond(4)}},
		report: &report.Report{Rows: []report.Row{
			{Decision: record.Decision{Action: record.Route, ID: "s-1", Key: key, Service: "receipts", Server: "r", Rule: "submissions", Ran: kinds.RanYes}},
			{Decision: move},
		}},
	}
}

func TestChecksPassOnAGoodRun(t *testing.T) {
	e := goodEvidence(t)
	for _, r := range runChecks(e) {
		assert.Assert(t, r.passed(), "%s: %d checks, %v", r.promise, r.checks, r.failures)
	}
	var out bytes.Buffer
	assert.NilError(t, printReport(&out, e, runChecks(e)))
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("BROKEN")))
}

// Guards against checks that overlook a broken promise. Each case corrupts the evidence
// in the way in which a fault of the router would.
func TestEveryCheckCanFail(t *testing.T) {
	for name, tc := range map[string]struct {
		promise int
		corrupt func(e *evidence)
	}{
		"the former owner runs again":        {0, func(e *evidence) { e.served[4].Server = "a" }},
		"the former owner runs for too long": {0, func(e *evidence) { e.served[0].At = atSecond(2.1) }},
		"the next owner runs too early":      {0, func(e *evidence) { e.served[1].At = atSecond(1.9) }},
		"a server that owns nothing runs":    {0, func(e *evidence) { e.served[1].Server = "c" }},
		"a move is not in the table":         {1, func(e *evidence) { e.moves[0].Server = "c" }},
		"a move is logged twice":             {1, func(e *evidence) { e.moves = append(e.moves, e.moves[0]) }},
		"a move is logged too early":         {1, func(e *evidence) { e.moves[0].Rev-- }},
		"a table is made from an older one":  {1, func(e *evidence) { e.tableHistory[1].Rows[0].Rev = 0 }},
		"a table has the revision before":    {1, func(e *evidence) { e.tableHistory[1].Rev = e.tableHistory[0].Rev }},
		"the last table is lost":             {1, func(e *evidence) { e.finalTable = e.tableHistory[0].Table }},
		"the table is older than VMs saw":    {1, func(e *evidence) { e.maxTableRev++ }},
		"slices stay with the lost server":   {1, func(e *evidence) { e.lostServer = "b" }},
		"an answer is another's":             {2, func(e *evidence) { e.attempts[1].intact = false }},
		"what was refused ran":               {3, func(e *evidence) { e.served = append(e.served, origin.Served{ID: "h-1"}) }},
		"a submission runs twice":            {4, func(e *evidence) { e.served = append(e.served, origin.Served{ID: "s-1"}) }},
		"a submission is answered, not run":  {4, func(e *evidence) { e.served[2].ID = "s-9" }},
		"new work on the leaving server":     {5, func(e *evidence) { e.served = append(e.served, origin.Served{Server: "c", At: atSecond(7.1)}) }},
		"a request is cut off":               {6, func(e *evidence) { e.attempts[6].connBroke = true }},
		"rules come late":                    {7, func(e *evidence) { e.ruleEdit.inForceAt[1] = atSecond(11) }},
		"rules never come":                   {7, func(e *evidence) { e.ruleEdit.inForceAt[0] = time.Time{} }},
		"rules accepted by half":             {7, func(e *evidence) { e.ruleEdit.quorum.Confirmed = 1 }},
		"rules go back":                      {7, func(e *evidence) { e.ruleEdit.reverted = true }},
		"a lookup fails without the store":   {8, func(e *evidence) { e.attempts[5].status = 503 }},
		"the report names another server":    {9, func(e *evidence) { e.report.Rows[0].Server = "q" }},
		"the report misses something":        {9, func(e *evidence) { e.report.Gaps = []report.Gap{{Count: 1}} }},
		"the promise was never checked":      {3, func(e *evidence) { e.attempts[4].ran = kinds.RanUnknown }},
	} {
		t.Run(name, func(t *testing.T) {
			e := goodEvidence(t)
			tc.corrupt(e)
			all := runChecks(e)
			assert.Assert(t, !all[tc.promise].passed(), all[tc.promise].promise)
			assert.Assert(t, !allPassed(all))
		})
	}
}

// Guards against a false alarm about two owners of a key. A VM logs a move when it learns
// that the table has it: a slow VM logs it after another VM's next move of the same keys,
// and a VM that lost its authority meanwhile logs nothing.
func TestTheOrderOfMovesIsTakenFromTheStore(t *testing.T) {
	for name, logMoves := range map[string]func(e *evidence){
		"logged late": func(e *evidence) { e.moves[0], e.moves[1] = e.moves[1], e.moves[0]; e.moves[1].Rev += 5 },
		"not logged":  func(e *evidence) { e.moves = e.moves[:1] },
	} {
		t.Run(name, func(t *testing.T) {
			e := goodEvidence(t)
			movedTable, err := e.finalTable.WithMoves("b", 0, table.Move{Slice: e.moves[0].Slice, To: "c"})
			assert.NilError(t, err)
			secondMove := e.moves[0]
			secondMove.PrevOwner, secondMove.Server, secondMove.Rev = "b", "c", movedTable.Rev
			e.moves = append(e.moves, secondMove)
			e.finalTable, e.tableHistory = movedTable, append(e.tableHistory, storedTable{movedTable, atSecond(5)})
			e.drainedAt = nil
			e.served[4].Server = "c"
			logMoves(e)
			for _, r := range []checkResult{checkOneOwner(e), checkAssignmentsSurvive(e)} {
				assert.Assert(t, r.passed(), "%s: %v", r.promise, r.failures)
			}
		})
	}
}

// Runs the whole demonstration for a shorter time. Promises with a time limit are checked
// by the command and not here, because a busy machine alone can exceed the limit.
func TestTheDemonstrationHolds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes ten seconds")
	}
	perSite, err := runSites(t.Context(), Options{Length: 8 * time.Second})
	assert.NilError(t, err)
	for _, e := range perSite {
		for _, r := range runChecks(e) {
			t.Logf("%s: %s: %d checks, %d broken", e.spec.name, r.promise, r.checks, len(r.failures))
			assert.Assert(t, r.timeBound || r.passed(), "%s: %s: %d checks, %v", e.spec.name, r.promise, r.checks, r.failures)
		}
	}
}
