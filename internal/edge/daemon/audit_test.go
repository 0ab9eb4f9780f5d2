package daemon

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
)

// A server is lost, its keys move, and afterwards every entry VM is shut down.
// An auditor still finds each receipt, and every slice that moved once.
func TestDecisionsOutliveTheVMs(t *testing.T) {
	s := newSite(t)
	d := s.start("north")
	until(t, "all keys served", serves(t, d))
	code, _ := send(t, d, "POST", "/receipts/north", "load-1")
	assert.Equal(t, code, http.StatusOK)
	gone := ident.Server("lookup-0")
	assert.NilError(t, s.origins[gone].Close())
	until(t, "no slice left with the lost server", func() bool {
		svc, _ := d.State().Service("lookup")
		for x := range svc.Slices {
			if svc.View().Table().OwnerOf(ident.Slice(x)) == gone {
				return false
			}
		}
		return true
	})
	assert.NilError(t, d.Close())

	r, err := report.Run(t.Context(), objcli.New(s.at), report.Query{Server: gone, Sort: record.Place})
	assert.NilError(t, err)
	moved := map[ident.Slice]int{}
	for _, row := range r.Rows {
		assert.Equal(t, row.Former, gone)
		moved[row.Slice]++
	}
	assert.Equal(t, len(moved), 22) // of 64 slices over three servers
	for slice, n := range moved {
		assert.Equal(t, n, 1, "slice %d", slice)
	}
	r, err = report.Run(t.Context(), objcli.New(s.at), report.Query{ID: "load-1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Rows), 1)
	assert.Equal(t, r.Rows[0].Ran, kinds.RanYes)
	assert.Equal(t, r.Rows[0].Rule, "receipts")
}
