package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
)

// A server is lost, its keys move, and afterwards every entry VM is shut down. An
// auditor must still find each receipt, and every moved slice exactly once.
func TestDecisionsOutliveTheVMs(t *testing.T) {
	c := newCluster(t)
	d := c.startVM("north")
	waitUntil(t, "all keys served", servesAllKeys(t, d))
	code, _ := send(t, d, "POST", "/receipts/north", "load-1")
	assert.Equal(t, code, http.StatusOK)
	gone := ident.Server("lookup-0")
	assert.NilError(t, c.origins[gone].Close())
	waitUntil(t, "no slice left with the lost server", func() bool {
		svc, _ := d.State().Service("lookup")
		for x := range svc.Slices {
			if svc.View().Table().OwnerOf(ident.Slice(x)) == gone {
				return false
			}
		}
		return true
	})
	assert.NilError(t, d.Close())

	r, err := report.Run(t.Context(), objcli.New(c.apiAddr), report.Query{Server: gone, Action: record.Place})
	assert.NilError(t, err)
	moved := map[ident.Slice]int{}
	for _, row := range r.Rows {
		assert.Equal(t, row.PrevOwner, gone)
		moved[row.Slice]++
	}
	assert.Equal(t, len(moved), 22) // of 64 slices over three servers
	for slice, n := range moved {
		assert.Equal(t, n, 1, "slice %d", slice)
	}
	r, err = report.Run(t.Context(), objcli.New(c.apiAddr), report.Query{ID: "load-1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Rows), 1)
	assert.Equal(t, r.Rows[0].Ran, kinds.RanYes)
	assert.Equal(t, r.Rows[0].Rule, "receipts")
}

// A rule keeps only submissions in the journal, so lookups that succeed are left out.
// After every entry VM is gone, an auditor must find each receipt, and how many lookups
// were left out under which rule instead of nothing.
func TestDecisionsLeftOutByARuleAreCounted(t *testing.T) {
	c := newCluster(t)
	c.saveRules(strings.Replace(rules, "idempotent = true", `keep = "submissions", idempotent = true`, 1))
	d := c.startVM("north")
	waitUntil(t, "all keys served", servesAllKeys(t, d))
	const lookups = 30
	before := d.Status().Skipped
	for i := range lookups {
		code, _ := send(t, d, "GET", fmt.Sprint("/scales/s", i%7), "")
		assert.Equal(t, code, http.StatusOK)
	}
	code, _ := send(t, d, "POST", "/receipts/north", "load-1")
	assert.Equal(t, code, http.StatusOK)
	code, _ = send(t, d, "POST", "/scales/s1", "weighing-1")
	assert.Equal(t, code, http.StatusOK)
	waitUntil(t, "all counted", func() bool { return d.Status().Skipped >= before+lookups })
	skipped := d.Status().Skipped
	assert.NilError(t, d.Close())

	r, err := report.Run(t.Context(), objcli.New(c.apiAddr), report.Query{Action: record.Route})
	assert.NilError(t, err)
	kept := map[ident.Request]string{}
	for _, row := range r.Rows {
		assert.Assert(t, row.Rule != "lookups" || row.ID == "weighing-1" || row.Ran != kinds.RanYes, "%+v", row.Decision)
		kept[row.ID] = row.Rule
	}
	assert.Equal(t, kept["load-1"], "receipts")
	assert.Equal(t, kept["weighing-1"], "lookups")
	assert.Equal(t, len(r.Skips), 1)
	assert.Equal(t, r.Skips[0].Rule, "lookups")
	assert.Equal(t, r.Skips[0].Count, skipped)
	assert.Equal(t, len(r.Gaps), 0)
}
