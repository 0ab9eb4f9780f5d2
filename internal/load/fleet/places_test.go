package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against places that are taken from a full server's count of requests that it will never answer.
func TestUnansweredRequestsInALoadAreNotPlaces(t *testing.T) {
	var p Places
	for load, n := range map[int]int{1: 500, 4: 107, 5: 89, 6: 65, 7: 51, 8: 42, 9: 39, 10: 37, 11: 5, 12: 3, 14: 4, 16: 2, 26: 1} {
		for range n {
			p.Add(load, 2)
		}
	}
	assert.Equal(t, p.Value(), 10)
}

// Guards against places taken from a few reports, and against an estimate that falls because the fleet keeps to it.
func TestPlacesAreLearnedFromEnoughReportsAndThenKept(t *testing.T) {
	var p Places
	for range minPlaceReports - 1 {
		p.Add(10, 2)
	}
	assert.Equal(t, p.Value(), 0)
	for range maxPlaceReports {
		p.Add(10, 2)
	}
	for range maxPlaceReports {
		p.Add(5, 2)
	}
	assert.Equal(t, p.Value(), 10)
}
