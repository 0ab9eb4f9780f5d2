package lessor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/fake/world"
)

const ms = time.Millisecond

// regressionHistories are drawn histories that failed once, written out in
// full: the number of a drawn history names another one as soon as the drawing
// changes.
var regressionHistories = map[string]history{
	// The network duplicated a write of the table. The store refused the first
	// copy, which promises that nothing was or will be written, and obeyed the
	// second when it was back. The fault was in the fake store (fixed in
	// world.request).
	"a refused write took effect": {
		opt: world.Options{Seed: 20, VMs: 3, Servers: 3, FenceChecks: true, Standby: true, Skew: 5, Term: shortTerm},
		faults: []fault{
			{"store", 1742 * ms, 113 * ms, 0, 2},
			{"noise", 6332 * ms, 466 * ms, 2, 1},
			{"noise", 302 * ms, 3969 * ms, 0, 1},
			{"noise", 583 * ms, 97 * ms, 3, 2},
			{"move", 2695 * ms, 81 * ms, 1, 2},
			{"hot", 307 * ms, 3691 * ms, 1, 0},
			{"cutpeer", 303 * ms, 52 * ms, 2, 2},
			{"restartvm", 6699 * ms, 51 * ms, 1, 0},
			{"drain", 311 * ms, 65 * ms, 0, 3},
			{"store", 308 * ms, 55 * ms, 1, 0},
			{"holderstore", 674 * ms, 51 * ms, 2, 0},
			{"store", 538 * ms, 57 * ms, 1, 0},
			{"store", 307 * ms, 845 * ms, 2, 0},
			{"lendkill", 313 * ms, 488 * ms, 3, 0},
		},
	},
	// A process of vm1 sent its takeover of s1 and ended, and the next process
	// read the record before the write took effect. The record named vm1, which
	// did not know it, and the keys of s1 stayed unserved (successor.go).
	"a holder that does not know": {
		opt: world.Options{Seed: 5, VMs: 2, Servers: 3, Standby: true, Skew: 5, Term: shortTerm},
		faults: []fault{
			{"pause", 2257 * ms, 169 * ms, 0, 0},
			{"restartvm", 2188 * ms, 5000 * ms, 1, 0},
			{"noise", 324 * ms, 3325 * ms, 2, 3},
			{"restartvm", 329 * ms, 65 * ms, 0, 0},
			{"pause", 7000 * ms, 178 * ms, 0, 1},
		},
	},
}

// Replays histories that once broke a property, for the reason beside each.
func TestRegressionHistoriesPass(t *testing.T) {
	for name, h := range regressionHistories {
		w := h.run()
		assert.Equal(t, len(w.Check()), 0, "%s: %v", name, w.Errs)
		assert.Equal(t, len(unserved(w)), 0, "%s: %v", name, unserved(w))
	}
}
