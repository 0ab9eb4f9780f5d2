package pick

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server that is drawn as often as one with four times the slots, and against
// one that is never drawn.
func TestDrawFollowsTheWeights(t *testing.T) {
	var s Set
	r := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, s.Draw(r, 4, func(int) float64 { return 1 }), -1)
	for i := range 10 {
		s.Put(i, true)
	}
	drawn := [10]int{}
	for range 10_000 {
		drawn[s.Draw(r, 4, func(i int) float64 { return float64(1 + i%2*3) })]++
	}
	assert.Assert(t, drawn[1] > 3*drawn[0] && drawn[0] > 200, "%v", drawn)
}

// Guards against the server of the failed attempt while there are others, and against none when
// it is the only one.
func TestChooseFirstAvoidsOneServer(t *testing.T) {
	var s Set
	r := rand.New(rand.NewPCG(1, 1))
	one := func(int) float64 { return 1 }
	s.Put(3, true)
	i, _ := s.ChooseFirst(r, Candidates, 3, 1, one, one)
	assert.Equal(t, i, 3)
	s.Put(4, true)
	for range 100 {
		i, took := s.ChooseFirst(r, Candidates, 3, 1, one, func(i int) float64 { return float64(i) })
		assert.Assert(t, i == 4 && took == 4)
	}
}

// Guards against an idle slow server that is preferred to a fast one with a short queue, and
// against a fast one with a long queue.
func TestCompletionWeighsSpeedAndBacklog(t *testing.T) {
	slow := Completion{Mean: 0.3, Cost: 0.5, Slots: 2, Speed: 0.7}.Seconds()
	fast := Completion{Backlog: 2, Mean: 0.3, Cost: 0.5, Slots: 2, Speed: 1.6}.Seconds()
	full := Completion{Backlog: 9, Mean: 0.3, Cost: 0.5, Slots: 2, Speed: 1.6}.Seconds()
	assert.Assert(t, fast < slow && slow < full, "%v %v %v", fast, slow, full)
}
