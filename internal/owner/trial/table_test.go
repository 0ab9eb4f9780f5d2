package trial

import (
	"os"
	"strconv"
	"testing"
)

// TestTable prints the fault table of the design note:
//
//	HAWTHORN_TABLE=100 go test -v -run TestTable ./internal/owner/trial
func TestTable(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv("HAWTHORN_TABLE"))
	if err != nil {
		t.Skip("a measurement: set HAWTHORN_TABLE to the number of runs")
	}
	rows := Run(1, runs)
	t.Log("\n" + Markdown(rows))
	for _, r := range rows {
		if r.Bad > 0 {
			t.Errorf("%s: %d runs broke a promise", r.Fault, r.Bad)
		}
	}
}
